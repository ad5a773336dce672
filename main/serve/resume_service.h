/*
 * calicoscale: resume_service.h
 * Resumes a stream on another entry node after the first one has failed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RESUME_SERVICE_H
#define RESUME_SERVICE_H

#include "main/serve/request_service.h"

#include <functional>
#include <optional>
#include <string>

namespace calicoscale {

/** Contents of a resume token. */
struct resume_ticket {
	std::string customer;
	std::string pipeline;
	resume_point point;
	unix_milliseconds expires_at = 0;
};

/** Callbacks of a resumed stream. */
struct resume_hooks {
	std::function<void(std::uint32_t p_sequence, const std::string &p_token)> on_token;
	std::function<void(const attempt_end &p_end)> on_end; ///< When complete, with the token count and digest of the complete answer.
};

/**
 * Resumes streams by tokens that callers store. A token names endpoint, stream, customer and expiry and is authenticated
 * with the fleet key, so that any node of the operator can resume the stream and no other customer can.
 */
class resume_service {
	node_context &_context;
	router &_router;
	request_service &_requests;

	std::string _make_code(const std::string &p_text) const;

public:
	resume_service(node_context &p_context, router &p_router, request_service &p_requests);

	/** Returns the authenticated token for a stream. */
	std::string write_token(const resume_ticket &p_ticket) const;

	/** Parses a token; returns nothing when it is not authentic, has expired or belongs to another customer. */
	std::optional<resume_ticket> read_token(const std::string &p_token, const std::string &p_customer) const;

	/** Continues a stream at token offset `p_next`. Returns a function that stops it, or an empty one when its endpoint is unknown. */
	std::function<void()> begin(const resume_ticket &p_ticket, std::uint32_t p_next, duration p_within, const resume_hooks &p_hooks);
};

} // namespace calicoscale

#endif // RESUME_SERVICE_H
