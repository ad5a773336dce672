/*
 * calicoscale: call_candidates.h
 * Replicas of a stage pool that may get a call at one moment.
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

/** A replica that may get a call now, as all work sees it. */
struct call_candidate {
	stage_replica *replica = nullptr;
	std::size_t rank = 0; ///< In the order of replicas, for equal ones.
	duration finish = duration::zero(); ///< Of a call to it: until it is free, and at work.
	double room = 0.0; ///< Bytes.
	bool is_busy = false;
};

/**
 * What the search for a call knows of the replicas at one moment, by availability zone and by when they finish, so that each
 * replica is asked once and not once for each work.
 */
class call_candidates {
public:
	/** Replicas of one zone, those that finish first in front. */
	struct zone_candidates {
		std::string zone;
		std::size_t replicas = 0; ///< All of the zone that are listed.
		std::vector<call_candidate> free;
		std::vector<call_candidate> busy;
	};

private:
	std::vector<zone_candidates> _zones;

public:
	/** Adds a replica. @param p_replicas all of its zone that are listed. */
	void add(const std::string &p_zone, std::size_t p_replicas, const call_candidate &p_candidate);

	/** Puts those that finish first in front; to be called once all are added. */
	void sort();

	const std::vector<zone_candidates> &get_zones() const { return _zones; }

	/** First of some candidates with room for a result; nullptr if there is none. @param p_bytes size of the result. */
	static const call_candidate *find_first_with_room(const std::vector<call_candidate> &p_candidates, double p_bytes);
};

} // namespace calicoscale

#endif // CALL_CANDIDATES_H
