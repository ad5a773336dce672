/*
 * calicoscale: result_room.h
 * Room that results hold at the replicas of a stage pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RESULT_ROOM_H
#define RESULT_ROOM_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Counts the results that a pool's replicas keep, by who holds them. What replicas keep beyond that, as they showed by
 * refusing a piece, is taken to go with its time to live.
 */
class result_room {
	struct kept_result {
		endpoint_identity replica;
		double bytes = 0.0;
		instant expires_at{};
		std::string owner; ///< Who it was handed to; empty for this node itself.
	};

	struct replica_room {
		double used = 0.0; ///< By results that are known.
		double lost = 0.0; ///< By results that are not, as far as refused pieces told.
		instant lost_at{};
	};

	double _room_bytes = 0.0; ///< Of each replica; 0 when it has no bound.
	duration _time_to_live = duration::zero();
	std::map<std::string, kept_result> _results; ///< By handle.
	std::map<endpoint_identity, replica_room> _replicas;

public:
	/** Takes a replica's room and how long a result is kept at most. */
	void set_bounds(double p_room_bytes, duration p_time_to_live);

	/** A replica keeps a result from now on. One that is known already changes nothing. */
	void keep(const std::string &p_handle, const endpoint_identity &p_replica, double p_bytes, const std::string &p_owner, instant p_now);

	/** Results were handed to a node, which releases them or is lost with them. */
	void set_owner(const std::vector<std::string> &p_handles, const std::string &p_owner);

	/** Handles of the results that a node holds. */
	std::vector<std::string> get_results_of(const std::string &p_owner) const;

	/** Results are kept no more, or their makers were told so. */
	void release(const std::vector<std::string> &p_handles);

	/** Releases what has outlived its time. */
	void expire(instant p_now);

	/** A replica refused a piece for lack of room. @param p_known what its known results took when the call was sent, and made since. */
	void on_refused(const endpoint_identity &p_replica, double p_known, instant p_now);

	/** What the known results of a replica take. */
	double get_used(const endpoint_identity &p_replica) const;

	/** Bytes that a replica has room for; infinite without a bound. */
	double get_left(const endpoint_identity &p_replica, instant p_now) const;

	/** Whether a replica has room for so much more. */
	bool has_room(const endpoint_identity &p_replica, double p_bytes, instant p_now) const { return p_bytes <= get_left(p_replica, p_now); }

	/** Forgets a replica that is gone, and with it its results. */
	void forget_replica(const endpoint_identity &p_replica);
};

} // namespace calicoscale

#endif // RESULT_ROOM_H
