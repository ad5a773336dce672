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

/** Answer that is sent to a caller. */
struct caller_answer {
	int status = 500;
	std::string content_type;
	std::string body;
	duration retry_after = duration::zero();
};

/**
 * Writes a problem document (application/problem+json) with verdict, reason and a sentence for people.
 * @param p_retry_after Time after which a retry may succeed; zero leaves it out.
 * @param p_detail Sentence for people; empty selects one by verdict.
 * @param p_request_id Id of the request; empty leaves it out.
 */
caller_answer write_problem(const outcome &p_result, duration p_retry_after, const std::string &p_detail, const std::string &p_request_id);

/** Writes the answer to a request that ended: its output when it completed, otherwise a problem document. */
caller_answer write_end(const request_id &p_id, const finish_request &p_finish);

/** Returns the data of the last event of a completed stream. */
std::string write_done_event(const request_id &p_id, const finish_request &p_finish);

/** Returns one server-sent event; trailing line breaks of `p_data` are removed. */
std::string write_event(const std::string &p_name, const std::string &p_data);

/** Returns the data of a token event. */
std::string write_token(std::uint32_t p_sequence, const std::string &p_token);

} // namespace calicoscale

#endif // ANSWER_WRITER_H
