/*
 * calicoscale: call_candidates.h
 * Replicas of a stage pool that a call may be sent to, computed once for one search.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALL_CANDIDATES_H
#define CALL_CANDIDATES_H

#include "core/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace calicoscale {

struct stage_replica;

/** A replica that a call may be sent to now, with the figures that are the same for every work item. */
struct call_candidate {
	stage_replica *replica = nullptr;
	std::size_t rank = 0; ///< Position of the replica in its pool; breaks ties.
	duration finish = duration::zero(); ///< Time until a call to it would be finished: until the replica is free plus the call itself.
	double room = 0.0; ///< Free memory for results, in bytes.
	bool is_busy = false;
};

/**
 * Candidates grouped by availability zone and sorted by finish time. They are computed once for each search, so that a replica
 * isn't evaluated again for every work item.
 */
class call_candidates {
public:
	/** Replicas of one zone, sorted by finish time in ascending order. */
	struct zone_candidates {
		std::string zone;
		std::size_t replicas = 0; ///< Number of all listed replicas in the zone.
		std::vector<call_candidate> free;
		std::vector<call_candidate> busy;
	};

private:
	std::vector<zone_candidates> _zones;

public:
	/** @param p_replicas number of all listed replicas in the zone. */
	void add(const std::string &p_zone, std::size_t p_replicas, const call_candidate &p_candidate);

	/** Sorts by finish time. Call it after the last add(). */
	void sort();

	const std::vector<zone_candidates> &get_zones() const { return _zones; }

	/** Returns the first candidate with enough free memory for a result of p_bytes, or nullptr. */
	static const call_candidate *find_first_with_capacity(const std::vector<call_candidate> &p_candidates, double p_bytes);
};

} // namespace calicoscale

#endif // CALL_CANDIDATES_H
