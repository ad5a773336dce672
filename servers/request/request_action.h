/*
 * calicoscale: request_action.h
 * Actions that a request_flow returns for its driver to carry out.
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

/** How an attempt starts its stream. */
enum class stream_start {
	FRESH, ///< Starts from the prompt.
	RESUME, ///< Reads the same stream at the same endpoint from the next offset on.
	CONTINUE, ///< Sends the prompt and the tokens received so far to another endpoint.
};

/** Category under which the cost of an attempt is recorded. */
enum class cost_use {
	USEFUL, ///< Its result is part of an answer that was completed in time.
	RETRIED, ///< It failed and another attempt followed.
	HEDGED, ///< The other attempt of a hedged pair was faster, or the hedge failed.
	LATE, ///< The request missed its deadline.
	CANCELLED, ///< The caller disconnected.
	FAILED, ///< The request failed otherwise.
};

/** Returns the name of a use, e.g. "useful". */
std::string_view get_name(cost_use p_use);
/** Returns the use with a name; FAILED if unknown. */
cost_use find_cost_use(std::string_view p_name);

/** Requests a slot from the stage's pool gate; the driver answers with on_slot_granted or on_slot_denied. */
struct acquire_slot {
	std::size_t stage = 0;
	instant start_by{}; ///< Latest start at which the request can still meet its deadline.
};

/** Releases the slot. */
struct release_slot {
	std::size_t stage = 0;
	slot_outcome use = slot_outcome::FAILED;
	duration held = duration::zero(); ///< Time for which the slot was held.
	double relative_latency = 1.0; ///< Latency divided by the typical one without queueing.
};

/** Cancels an acquire_slot that wasn't answered yet. */
struct cancel_slot_request {
	std::size_t stage = 0;
};

/** Sends one attempt to an endpoint. */
struct start_attempt {
	attempt_id id;
	endpoint_id endpoint = 0;
	instant give_up_at{}; ///< Time-out of the attempt.
	stream_start start = stream_start::FRESH;
	std::uint32_t from_offset = 0; ///< Number of tokens that were already received.
	attempt_id resume_of; ///< For RESUME: the attempt whose stream is resumed.
};

/** Cancels an attempt; its endpoint should stop executing it. */
struct cancel_attempt {
	attempt_id id;
	attempt_id settle_id; ///< Attempt id under which the endpoint executes the work; differs from id for a resumed stream.
	cost_use use = cost_use::HEDGED;
};

/** Forwards a token of the last stage to the caller. */
struct forward_token {
	std::uint32_t sequence = 0;
	std::string token;
};

/** Records the cost of a finished attempt. */
struct record_cost {
	std::size_t stage = 0;
	std::uint32_t attempt = 0;
	cost_use use = cost_use::USEFUL;
	double units = 0.0;
};

/** Requests the unknown cost of a failed attempt from its endpoint and records it. */
struct settle_cost {
	attempt_id id; ///< Attempt id under which the endpoint executed the work.
	endpoint_id endpoint = 0;
	cost_use use = cost_use::FAILED;
};

/** Schedules a call of on_wake; replaces the previously scheduled one. */
struct wake_at {
	instant at{};
};

/** Statistics of one completed stage. */
struct stage_report {
	std::string stage;
	std::string pool;
	duration elapsed = duration::zero();
	double units = 0.0;
	std::uint32_t attempts = 0;
};

/** Finishes the request; only settle_cost may follow. */
struct finish_request {
	outcome result;
	std::string output; ///< JSON text of the answer; for a stream its tokens were also forwarded before.
	std::vector<stage_report> stages;
	std::uint32_t token_count = 0;
	std::string digest; ///< Digest of the last stage's tokens.
	duration retry_after = duration::zero(); ///< Time after which the caller may retry; zero if a retry doesn't help.
};

using request_action = std::variant<acquire_slot, release_slot, cancel_slot_request, start_attempt, cancel_attempt, forward_token, record_cost, settle_cost, wake_at, finish_request>;

} // namespace calicoscale

#endif // REQUEST_ACTION_H
