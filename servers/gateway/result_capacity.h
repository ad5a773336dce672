/*
 * calicoscale: result_capacity.h
 * Memory that stored results occupy at the replicas of a stage pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RESULT_CAPACITY_H
#define RESULT_CAPACITY_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Counts the results that the replicas of a pool store, by owner. When a replica refuses an item for lack of memory, it
 * stores results that are not known here; their size is estimated, and taken to shrink to zero over the time to live.
 */
class result_capacity {
	struct stored_result {
		endpoint_identity replica;
		double bytes = 0.0;
		instant expires_at{};
		std::string owner; ///< Node that received it; empty for this node itself.
	};

	struct replica_usage {
		double used = 0.0; ///< Bytes of known results.
		double unknown = 0.0; ///< Estimated bytes of results that are not known here, as of the last refusal.
		instant unknown_at{}; ///< Time of the last refusal.
	};

	double _capacity_bytes = 0.0; ///< Capacity of each replica; 0 for no limit.
	duration _time_to_live = duration::zero();
	std::map<std::string, stored_result> _results; ///< By handle.
	std::map<endpoint_identity, replica_usage> _replicas;

public:
	/** Sets the capacity of each replica in bytes and the maximum time for which a result is stored. */
	void set_bounds(double p_capacity_bytes, duration p_time_to_live);

	/** Records that a replica stores a result. A handle that is already known changes nothing. */
	void keep(const std::string &p_handle, const endpoint_identity &p_replica, double p_bytes, const std::string &p_owner, instant p_now);

	/** Records that a node owns the results: it releases them, and if it fails, get_results_of() names them. */
	void set_owner(const std::vector<std::string> &p_handles, const std::string &p_owner);

	/** Returns the handles of the results that a node owns. */
	std::vector<std::string> get_results_of(const std::string &p_owner) const;

	/** Removes results that were released, or whose producers were requested to release them. */
	void release(const std::vector<std::string> &p_handles);

	/** Removes results whose time to live has passed. */
	void expire(instant p_now);

	/**
	 * Records that a replica refused an item for lack of memory.
	 * @param p_known_bytes bytes of its known results when the call was sent, and of those that the call has produced.
	 */
	void on_refused(const endpoint_identity &p_replica, double p_known_bytes, instant p_now);

	/** Returns the bytes of the known results of a replica. */
	double get_used(const endpoint_identity &p_replica) const;

	/** Returns the free bytes of a replica; infinite without a limit. */
	double get_left(const endpoint_identity &p_replica, instant p_now) const;

	/** Returns whether a replica has that many bytes free. */
	bool has_capacity(const endpoint_identity &p_replica, double p_bytes, instant p_now) const { return p_bytes <= get_left(p_replica, p_now); }

	/** Removes a replica that is no longer listed, and its results. */
	void forget_replica(const endpoint_identity &p_replica);
};

} // namespace calicoscale

#endif // RESULT_CAPACITY_H
