/*
 * calicoscale: answer_writer.h
 * JSON bodies of answers to callers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ANSWER_WRITER_H
#define ANSWER_WRITER_H

#include "servers/request/request_action.h"

#include <string>

namespace calicoscale {

/** An answer as it goes to a caller. */
struct caller_answer {
	int status = 500;
	std::string content_type;
	std::string body;
	duration retry_after = duration::zero();
};

/** A problem: verdict, reason, when to come back where that helps, and a sentence for people. */
caller_answer write_problem(const outcome &p_result, duration p_retry_after, const std::string &p_detail, const std::string &p_request_id);

/** A request's end, complete or not. */
caller_answer write_end(const request_id &p_id, const finish_request &p_finish);

/** The data of a stream's last event. */
std::string write_done_event(const request_id &p_id, const finish_request &p_finish);

/** One server-sent event. */
std::string write_event(const std::string &p_name, const std::string &p_data);

/** The data of a token event. */
std::string write_token(std::uint32_t p_sequence, const std::string &p_token);

} // namespace calicoscale

#endif // ANSWER_WRITER_H
