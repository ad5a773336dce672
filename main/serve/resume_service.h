/*
 * calicoscale: resume_service.h
 * Picks up a stream whose entry node is gone.
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

/** What a resume token says. */
struct resume_ticket {
	std::string customer;
	std::string pipeline;
	resume_point point;
	unix_milliseconds expires_at = 0;
};

/** What a resumed stream reports. */
struct resume_hooks {
	std::function<void(std::uint32_t p_sequence, const std::string &p_token)> on_token;
	std::function<void(const attempt_end &p_end)> on_end; ///< With count and digest over the whole answer when complete.
};

/**
 * The token a caller holds names endpoint, stream, customer and expiry, authenticated with the fleet key, so that any
 * node of the operator can pick the stream up and no other customer can.
 */
class resume_service {
	node_context &_context;
	router &_router;
	request_service &_requests;

	std::string _make_code(const std::string &p_text) const;

public:
	resume_service(node_context &p_context, router &p_router, request_service &p_requests);

	/** Writes the token for a stream. */
	std::string write_token(const resume_ticket &p_ticket) const;

	/** Reads a token; empty when it is not authentic, expired or another customer's. */
	std::optional<resume_ticket> read_token(const std::string &p_token, const std::string &p_customer) const;

	/** Goes on with a stream at an offset; the returned function stops it. Empty when its endpoint is not known. */
	std::function<void()> begin(const resume_ticket &p_ticket, std::uint32_t p_next, duration p_within, const resume_hooks &p_hooks);
};

} // namespace calicoscale

#endif // RESUME_SERVICE_H
