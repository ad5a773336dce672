/*
 * calicoscale: told_fleet.cpp
 * What a node that is no hub was told of the rest of the fleet.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/told_fleet.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** A hub notices a loss within three heartbeats and tells of it with the next; until then this node's broken link counts. */
constexpr duration DOWN_TIME = std::chrono::milliseconds(1500);

} // namespace

std::vector<std::string> told_fleet::take(std::vector<std::string> p_dispatchers, std::size_t p_nodes) {
	_nodes = p_nodes;
	std::sort(p_dispatchers.begin(), p_dispatchers.end());
	std::vector<std::string> dropped;
	std::set_difference(_dispatchers.begin(), _dispatchers.end(), p_dispatchers.begin(), p_dispatchers.end(), std::back_inserter(dropped));
	_dispatchers = std::move(p_dispatchers);
	for (const std::string &vm : _dispatchers) {
		_lost.erase(vm);
	}
	return dropped;
}

void told_fleet::on_heard(const std::string &p_vm) {
	_lost.erase(p_vm);
	_down_at.erase(p_vm);
}

bool told_fleet::is_down(const std::string &p_vm, instant p_now) const {
	const auto down = _down_at.find(p_vm);
	return down != _down_at.end() && p_now - down->second < DOWN_TIME;
}

} // namespace calicoscale
