/*
 * calicoscale: mechanism.h
 * Mechanisms of the gateway's decisions that can be switched off one by one, to measure their effect.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef MECHANISM_H
#define MECHANISM_H

#include <bitset>
#include <optional>
#include <string_view>

namespace calicoscale {

/** Mechanisms that can be switched off. docs/DECISIONS.md states which are kept only because of a requirement. */
enum class mechanism {
	SHARED_DISPATCH, ///< One node dispatches a pool for all nodes.
	REQUESTED_LISTS, ///< A node that knows no endpoints requests them from one peer after the other; off: peers send them unrequested.
	POOL_SHARDS, ///< A large pool has several dispatchers, each for a share of its replicas.
	DISPATCH_BY_SIZE, ///< Only the larger nodes dispatch.
	HOLD_AT_START, ///< Requests with stages wait until a starting node knows its peers.
	REPORTED_RESULTS, ///< A pool's new dispatcher receives reports of the result memory in use.
	LOST_RESULTS, ///< Results of failed nodes are released.
	ADMISSION, ///< Requests that are predicted to be late are rejected.
	MEASURED_CAPACITY, ///< The capacity of a pool with a backlog is its measured throughput.
	PREDICTED_RETURN, ///< Retry times are derived from the predicted wait.
	STAGE_DUE_TIMES, ///< A stage is due earlier than its request by the time of the stages after it.
	PRIORITY_ORDER, ///< More urgent work comes first in the queue.
	LATE_WORK_LAST, ///< Work that can't be in time comes last in the queue.
	REPLICA_ZONE, ///< Replicas in the zone of their large inputs are preferred.
	REPLICA_SLOWNESS, ///< Slow replicas are avoided.
	REPORTED_SLOWDOWN, ///< The slowdown that replicas report for their VM is applied to calls shortly afterwards.
	RESULT_CAPACITY, ///< Calls are limited to the free memory for results.
	REPEATED_CALLS, ///< Calls that exceed their expected time are repeated at another replica.
	OVERDUE_CALLS, ///< Calls that exceed their expected time by far are abandoned.
	ENGINE_WAIT, ///< Engines with many prompt tokens still to read are avoided.
	ENGINE_SLOWNESS, ///< Slow engines are avoided.
	ENGINE_CACHE, ///< Engines that have read the prompt are preferred.
	SHARED_PART_PRICE, ///< Reading shared parts again has a cost beyond its time.
	PROMPTS_TOLD, ///< Nodes report to each other which prompts they sent to engines.
	ENGINE_RANKS, ///< Nodes prefer engines in the same hash order.
	ENGINE_IN_FLIGHT, ///< Engines with fewer requests of this node are preferred.
	REGIONS, ///< Work and results stay in their region while it has capacity.
	ENGINE_ZONE, ///< Engines in the zone of the results are preferred.
	COLD_RANKS, ///< Endpoints with a bounded rate, such as cold ones, have a few senders each; off: all nodes send to them, each rarely.
	EJECTION, ///< Endpoints that fail are not used for a while.
	REPEATS, ///< Repeatable requests are sent again after a failure.
	STORE_READERS, ///< One node in each zone reads the store for the others.
	NAMED_CONTACTS, ///< One node of those that know each other dials unknown nodes that the store names.
	ZONE_SILENCE, ///< A zone from which nothing is received is treated as partitioned.
	CONNECTION_SHEDDING, ///< New connections are accepted last, and closed unread if they have waited too long.
	COUNT, ///< Number of the others.
};

/** Returns the name of a mechanism, e.g. "stage_due_times". */
std::string_view get_name(mechanism p_mechanism);

/** Returns the mechanism with a name; empty when there is none. */
std::optional<mechanism> find_mechanism(std::string_view p_name);

/** The enabled mechanisms: all except those that were switched off. */
class mechanism_set {
	std::bitset<static_cast<std::size_t>(mechanism::COUNT)> _off;

public:
	void switch_off(mechanism p_mechanism) { _off.set(static_cast<std::size_t>(p_mechanism)); }

	/** Returns whether a mechanism is enabled. */
	bool has(mechanism p_mechanism) const { return !_off.test(static_cast<std::size_t>(p_mechanism)); }

	/** Returns whether no mechanism was switched off. */
	bool is_empty() const { return _off.none(); }
};

} // namespace calicoscale

#endif // MECHANISM_H
