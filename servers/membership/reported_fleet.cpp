/*
 * calicoscale: reported_fleet.cpp
 * State of the fleet as reported by a hub to a node that is no hub.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/reported_fleet.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** A hub detects a failure within three heartbeats and reports it with the next one; until then this node goes by its own broken link. */
constexpr duration LINK_DOWN_MEMORY = std::chrono::milliseconds(1500);

} // namespace

std::vector<std::string> reported_fleet::take(std::vector<std::string> p_dispatchers, std::size_t p_node_count) {
	_node_count = p_node_count;
	std::sort(p_dispatchers.begin(), p_dispatchers.end());
	std::vector<std::string> removed;
	std::set_difference(_dispatchers.begin(), _dispatchers.end(), p_dispatchers.begin(), p_dispatchers.end(), std::back_inserter(removed));
	_dispatchers = std::move(p_dispatchers);
	for (const std::string &vm : _dispatchers) {
		_failed.erase(vm);
	}
	return removed;
}

void reported_fleet::on_contact(const std::string &p_vm) {
	_failed.erase(p_vm);
	_down_at.erase(p_vm);
}

bool reported_fleet::is_down(const std::string &p_vm, instant p_now) const {
	const auto down = _down_at.find(p_vm);
	return down != _down_at.end() && p_now - down->second < LINK_DOWN_MEMORY;
}

} // namespace calicoscale
