/*
 * calicoscale: forwarded_answer.h
 * Checks the parts of an answer that a peer forwards.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FORWARDED_ANSWER_H
#define FORWARDED_ANSWER_H

#include "drivers/endpoint_channels.h"

namespace calicoscale {

/**
 * Checks that what a peer forwards is one valid answer to the request that it carries out. The peer may run another version of the
 * software, so the node that owns the request checks what it would check on a connection of its own.
 */
class forwarded_answer {
	channel_request _request; ///< Without its bytes.
	connection_history _history;
	bool _has_head = false;
	bool _may_have_body = false;

public:
	explicit forwarded_answer(const channel_request &p_request);

	/** Checks the headers. @return whether they are valid, the first ones, and those of the answer to the request. */
	bool take_head(const http_head &p_head);

	/** Whether bytes of a body may follow. */
	bool may_have_body() const { return _may_have_body; }

	bool has_head() const { return _has_head; }
};

} // namespace calicoscale

#endif // FORWARDED_ANSWER_H
