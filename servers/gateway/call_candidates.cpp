/*
 * calicoscale: call_candidates.cpp
 * Replicas of a stage pool that a call may be sent to, computed once for one search.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/call_candidates.h"

#include <algorithm>

namespace calicoscale {

void call_candidates::add(const std::string &p_zone, std::size_t p_replicas, const call_candidate &p_candidate) {
	auto zone = std::find_if(_zones.begin(), _zones.end(), [&p_zone](const zone_candidates &p_entry) { return p_entry.zone == p_zone; });
	if (zone == _zones.end()) {
		zone = _zones.insert(zone, zone_candidates{ p_zone, p_replicas, {}, {} });
	}
	(p_candidate.is_busy ? zone->busy : zone->free).push_back(p_candidate);
}

void call_candidates::sort() {
	for (zone_candidates &zone : _zones) {
		for (std::vector<call_candidate> *candidates : { &zone.free, &zone.busy }) {
			std::stable_sort(candidates->begin(), candidates->end(), [](const call_candidate &p_left, const call_candidate &p_right) { return p_left.finish < p_right.finish; });
		}
	}
}

const call_candidate *call_candidates::find_first_with_capacity(const std::vector<call_candidate> &p_candidates, double p_bytes) {
	const auto found = std::find_if(p_candidates.begin(), p_candidates.end(), [p_bytes](const call_candidate &p_candidate) { return p_bytes <= p_candidate.room; });
	return found == p_candidates.end() ? nullptr : &*found;
}

} // namespace calicoscale
