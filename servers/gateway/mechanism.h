/*
 * calicoscale: mechanism.h
 * What the gateway decides by, so that each part can be switched off and its worth measured.
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

/** Parts of the gateway's decisions. What is kept for a rule's sake alone says so in docs/DECISIONS.md. */
enum class mechanism {
	SHARED_DISPATCH, ///< One node dispatches a pool for all.
	ASKED_LISTS, ///< A node that knows no endpoints asks one peer after the other for them; else peers tell them unasked.
	POOL_SHARDS, ///< A large pool has several dispatchers, each for a part of its replicas.
	DISPATCH_BY_SIZE, ///< Only the larger nodes dispatch.
	HOLD_AT_START, ///< Requests with stages wait until a starting node knows its peers.
	TOLD_RESULTS, ///< A pool's new dispatcher is told what room is taken.
	LOST_RESULTS, ///< Results of lost nodes are released.
	ADMISSION, ///< What is predicted to be late is refused.
	MEASURED_CAPACITY, ///< A pool with a backlog counts for what it does.
	PREDICTED_RETURN, ///< Times to come back follow from the prediction.
	STAGE_DUE_TIMES, ///< A stage is due before its request by what follows it.
	PRIORITY_ORDER, ///< More urgent work goes before other in the queue.
	LATE_LAST, ///< Work that cannot be in time goes behind.
	REPLICA_ZONE, ///< Replicas in the zone of large inputs are preferred.
	REPLICA_SLOWNESS, ///< Slow replicas are avoided.
	TOLD_PACE, ///< What replicas tell of their machines counts for the calls of the next moments.
	ROOM, ///< Calls are cut to the room for results.
	REPEATED_CALLS, ///< Calls over their time are made elsewhere.
	OVERDUE_CALLS, ///< Calls far over their time are given up.
	ENGINE_WAIT, ///< Engines with much to read are avoided.
	ENGINE_SLOWNESS, ///< Slow engines are avoided.
	ENGINE_CACHE, ///< Engines that have read the prompt are preferred.
	SHARED_PART_PRICE, ///< Reading shared parts again costs beyond its time.
	PROMPTS_TOLD, ///< Nodes tell each other what they sent to engines.
	ENGINE_RANKS, ///< Nodes agree on engines by a hash.
	ENGINE_IN_FLIGHT, ///< Engines with fewer requests of this node are preferred.
	REGIONS, ///< Work and results stay in their region while it has capacity.
	ENGINE_ZONE, ///< Engines in the zone of the results are preferred.
	COLD_RANKS, ///< Endpoints that take only so much, as cold ones do, have a few senders each; off: all nodes send to them, rarely.
	EJECTION, ///< Endpoints that fail are left out for a while.
	REPEATS, ///< Requests that may run again are sent again.
	STORE_READERS, ///< One node a zone reads the store for the others.
	ZONE_SILENCE, ///< A silent zone is taken for cut off.
	COUNT, ///< Number of the others.
};

/** Name of a mechanism, e.g. "stage_due_times". */
std::string_view get_name(mechanism p_mechanism);

/** The mechanism of a name. */
std::optional<mechanism> find_mechanism(std::string_view p_name);

/** Mechanisms by which the gateway decides; all, but for those that were switched off. */
class mechanism_set {
	std::bitset<static_cast<std::size_t>(mechanism::COUNT)> _off;

public:
	void switch_off(mechanism p_mechanism) { _off.set(static_cast<std::size_t>(p_mechanism)); }
	/** Whether a mechanism is in force. */
	bool has(mechanism p_mechanism) const { return !_off.test(static_cast<std::size_t>(p_mechanism)); }
	bool is_empty() const { return _off.none(); }
};

} // namespace calicoscale

#endif // MECHANISM_H
