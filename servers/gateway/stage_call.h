/*
 * calicoscale: stage_call.h
 * Stage work, the calls that carry its items, and their outcomes.
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

/** Identifies one stage_work within one dispatcher. */
using work_id = std::uint64_t;

/** One stage of one request: a number of items that need the same inputs. */
struct stage_work {
	std::string attempt; ///< The caller's id of the request.
	std::size_t stage = 0;
	std::size_t pieces = 0;
	std::string caller_key; ///< Key that the caller gave, for stages without inputs.
	std::vector<std::string> inputs;
	instant give_up_at{}; ///< Deadline of the request; the work ends as late then.
	instant due_at{}; ///< Time by which the stage must be done for the answer to begin within its objective.
	int priority = 0; ///< 0 is the most urgent.
	std::string zone; ///< Zone where the inputs are stored or the results will be used; empty when it does not matter.
	std::size_t transfer_bytes = 0; ///< Bytes that cross zones when the work runs in another zone.
	std::size_t result_bytes = 0;
	request_fingerprint run; ///< Fingerprint of the request, which identifies it when a replica crashes while running it.
	bool is_alone = false; ///< The request may crash a replica: it shares no call with other requests, and each item is tried once.
	home_regions homes; ///< Only replicas in these run its items.
};

/** One item in a call. */
struct stage_item {
	work_id work = 0;
	std::size_t piece = 0;
};

/** A call to send. */
struct stage_call {
	std::uint64_t id = 0;
	endpoint_identity replica;
	network_address to;
	std::string zone; ///< Zone of the replica.
	std::vector<stage_item> items;
};

/** Outcome of one item of an answered call. */
enum class item_end {
	DONE,
	LATE,
	INPUT_LOST,
	NO_CAPACITY,
	FAILED,
};

/** Result of one item in an answer. */
struct item_result {
	item_end end = item_end::FAILED;
	std::string handle; ///< Handle of the result, when done.
};

/** Outcome of a call. */
enum class call_end {
	ANSWERED,
	REFUSED, ///< The replica reported that nothing ran.
	UNREACHABLE, ///< Nothing was sent.
	BROKEN, ///< It is unknown whether anything ran.
};

/** Outcome of the work of one stage. */
enum class work_end {
	DONE,
	INPUT_LOST, ///< A result that it needs was lost.
	LATE, ///< Its deadline has passed.
	FAILED,
	DROPPED, ///< Dropped by the node that it was assigned to; its owner may request it again.
};

/** Returns the name of an outcome, e.g. "input_gone". */
std::string_view get_name(work_end p_end);

/** Work that ended. */
struct work_result {
	work_id id = 0;
	work_end end = work_end::FAILED;
	std::vector<std::string> handles; ///< One for each item, when done.
	std::vector<std::uint64_t> incarnations; ///< Incarnations of the replicas that produced them.
};

/** A result that a node owns, as reported to the pool. */
struct owned_result {
	std::string handle;
	network_address producer; ///< Replica that produced it.
	std::uint64_t incarnation = 0; ///< Incarnation of that replica; 0 when unknown.
	double bytes = 0.0;
};

} // namespace calicoscale

#endif // STAGE_CALL_H
