/*
 * calicoscale: zone_reachability.cpp
 * Detects which availability zones this node can reach.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/zone_reachability.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Time in which two heartbeats of all nodes of a zone are missed, and some delay. */
constexpr duration ZONE_TIMEOUT = std::chrono::milliseconds(450);
/** A longer gap between checks means that this process stalled and received nothing. */
constexpr duration MAX_CHECK_GAP = std::chrono::milliseconds(250);

} // namespace

bool zone_reachability::_is_silent(const zone_state &p_state, instant p_now) {
	const instant last_contact_at = std::max(p_state.last_node_contact_at, p_state.last_endpoint_contact_at);
	return p_state.last_node_contact_at != instant{} && p_now - last_contact_at >= ZONE_TIMEOUT;
}

void zone_reachability::on_node_contact(const std::string &p_zone, instant p_now) {
	_zones[p_zone].last_node_contact_at = p_now;
}

void zone_reachability::on_endpoint_contact(const std::string &p_zone, instant p_now) {
	_zones[p_zone].last_endpoint_contact_at = p_now;
}

bool zone_reachability::is_reached(const std::string &p_zone, instant p_now) const {
	const auto found = _zones.find(p_zone);
	return p_zone == _own_zone || found == _zones.end() || !_is_silent(found->second, p_now);
}

std::vector<zone_reachability::change> zone_reachability::check(instant p_now) {
	const bool was_stalled = _checked_at != instant{} && p_now - _checked_at > MAX_CHECK_GAP;
	_checked_at = p_now;
	std::vector<change> changes;
	for (auto &[zone, state] : _zones) {
		if (was_stalled && state.was_reachable && state.last_node_contact_at != instant{}) {
			state.last_node_contact_at = p_now;
		}
		const bool is_reachable_now = is_reached(zone, p_now);
		if (is_reachable_now != state.was_reachable) {
			state.was_reachable = is_reachable_now;
			changes.push_back(change{ zone, is_reachable_now });
		}
	}
	return changes;
}

std::set<std::string> zone_reachability::get_unreachable() const {
	std::set<std::string> zones;
	for (const auto &[zone, state] : _zones) {
		if (!state.was_reachable) {
			zones.insert(zone);
		}
	}
	return zones;
}

} // namespace calicoscale
