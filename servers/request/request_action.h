/*
 * calicoscale: request_action.h
 * What a request's flow asks its driver to do.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_ACTION_H
#define REQUEST_ACTION_H

#include "core/ids.h"
#include "core/verdict.h"
#include "servers/limits/pool_gate.h"
#include "servers/routing/endpoint_state.h"

#include <string>
#include <variant>
#include <vector>

namespace calicoscale {

/** How a stream attempt begins. */
enum class stream_start {
	FRESH, ///< From the prompt.
	RESUME, ///< Same stream on the same endpoint, from the next offset.
	CONTINUE, ///< Another endpoint, with prompt and the tokens sent so far.
};

/** What the cost of an attempt bought. */
enum class cost_use {
	USEFUL, ///< Its result is part of a complete answer in time.
	RETRIED, ///< Failed; another attempt took over.
	HEDGED, ///< Overtaken by a second attempt.
	LATE, ///< The request missed its deadline.
	CANCELLED, ///< The caller went away.
	FAILED, ///< The request failed otherwise.
};

/** Name of a use, e.g. "useful". */
std::string_view get_name(cost_use p_use);
/** Looks a use up by name; FAILED when unknown. */
cost_use find_cost_use(std::string_view p_name);

/** Ask the stage's pool gate for a place; answered by on_place_given or on_place_denied. */
struct ask_place {
	std::size_t stage = 0;
	instant start_by{};
};

/** Give the place back. */
struct return_place {
	std::size_t stage = 0;
	place_use use = place_use::FAILED;
	duration held = duration::zero();
	double relative_latency = 1.0;
};

/** Take back an ask_place that was not answered. */
struct withdraw_place {
	std::size_t stage = 0;
};

/** Send one attempt to an endpoint. */
struct start_attempt {
	attempt_id id;
	endpoint_id endpoint = 0;
	instant give_up_at{};
	stream_start start = stream_start::FRESH;
	std::uint32_t from_offset = 0; ///< Tokens that are there already.
	attempt_id resume_of; ///< For RESUME: the attempt whose stream goes on.
};

/** Stop an attempt; its endpoint should stop working on it. */
struct cancel_attempt {
	attempt_id id;
	attempt_id settle_id; ///< Attempt that the endpoint knows the work by; differs for a resumed stream.
	cost_use use = cost_use::HEDGED;
};

/** Pass tokens of the last stage on to the caller. */
struct forward_token {
	std::uint32_t sequence = 0;
	std::string token;
};

/** Book the cost of a finished attempt. */
struct book_cost {
	std::size_t stage = 0;
	std::uint32_t attempt = 0;
	cost_use use = cost_use::USEFUL;
	double units = 0.0;
};

/** The cost of a failed attempt is unknown: ask the endpoint, then book it. */
struct settle_cost {
	attempt_id id; ///< Attempt that the endpoint knows the work by.
	endpoint_id endpoint = 0;
	cost_use use = cost_use::FAILED;
};

/** Call on_wake at this time; replaces the one asked for before. */
struct wake_at {
	instant at{};
};

/** One stage of a complete answer. */
struct stage_report {
	std::string stage;
	std::string pool;
	duration elapsed = duration::zero();
	double units = 0.0;
	std::uint32_t attempts = 0;
};

/** The end of the request; nothing follows but settling. */
struct finish_request {
	outcome result;
	std::string output; ///< JSON text of the answer; with a stream also sent as tokens before.
	std::vector<stage_report> stages;
	std::uint32_t token_count = 0;
	std::string digest; ///< Over the last stage's tokens.
	duration retry_after = duration::zero(); ///< Zero when coming back does not help.
};

using request_action = std::variant<ask_place, return_place, withdraw_place, start_attempt, cancel_attempt, forward_token, book_cost, settle_cost, wake_at, finish_request>;

} // namespace calicoscale

#endif // REQUEST_ACTION_H
