/*
 * calicoscale: stage_call.h
 * Stage work, the calls that carry its pieces, and how they end.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_CALL_H
#define STAGE_CALL_H

#include "core/time.h"
#include "servers/request/request_fingerprint.h"
#include "servers/routing/endpoint_state.h"
#include "servers/routing/home_regions.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Names a piece of work inside one dispatcher. */
using work_id = std::uint64_t;

/** One stage of one request: some pieces that need the same inputs. */
struct stage_work {
	std::string attempt; ///< The caller's id of the request.
	std::size_t stage = 0;
	std::size_t pieces = 0;
	std::string caller_key; ///< What the caller gave for stages without inputs.
	std::vector<std::string> inputs;
	instant give_up_at{}; ///< Nobody waits any longer.
	instant due_at{}; ///< The stage must be done by then for the answer to begin within its objective.
	int priority = 0; ///< 0 is the most urgent.
	std::string zone; ///< Where the inputs lie or the results will be used; empty when it does not matter.
	std::size_t transfer_bytes = 0; ///< What would cross zones elsewhere.
	std::size_t result_bytes = 0;
	request_fingerprint run; ///< Of the request; it is known by it where a replica ends under it.
	bool is_alone = false; ///< A replica may end under it: it shares no call with other requests, and each piece is tried once.
	home_regions homes; ///< Only replicas there make its pieces.
};

/** One piece in a call. */
struct stage_item {
	work_id work = 0;
	std::size_t piece = 0;
};

/** A call to send. */
struct stage_call {
	std::uint64_t id = 0;
	endpoint_identity replica;
	network_address to;
	std::string zone; ///< Of the replica.
	std::vector<stage_item> items;
};

/** How one piece of an answered call ended. */
enum class item_end {
	DONE,
	LATE,
	INPUT_GONE,
	NO_ROOM,
	FAILED,
};

/** One piece of an answer. */
struct item_result {
	item_end end = item_end::FAILED;
	std::string handle; ///< Of the result, when done.
};

/** How a call ended. */
enum class call_end {
	ANSWERED,
	REFUSED, ///< The replica says that nothing ran.
	UNREACHABLE, ///< Nothing was sent.
	BROKEN, ///< Whether anything ran is not known.
};

/** How the work of one stage ended. */
enum class work_end {
	DONE,
	INPUT_GONE, ///< A result it needs is lost.
	LATE, ///< Nobody waits any more.
	FAILED,
	DROPPED, ///< By the node that it was handed to; its owner may ask again.
};

/** Name of an end, e.g. "input_gone". */
std::string_view get_name(work_end p_end);

/** Work that ended. */
struct work_result {
	work_id id = 0;
	work_end end = work_end::FAILED;
	std::vector<std::string> handles; ///< One for each piece, when done.
	std::vector<std::uint64_t> incarnations; ///< Of the replicas that made them.
};

/** A result that somebody holds, as told to the pool. */
struct held_result {
	std::string handle;
	network_address maker; ///< The replica that made it.
	std::uint64_t incarnation = 0; ///< Of that replica; 0 when it is not known.
	double bytes = 0.0;
};

} // namespace calicoscale

#endif // STAGE_CALL_H
