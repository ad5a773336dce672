/*
 * calicoscale: sender_places.cpp
 * Which nodes send to an endpoint that takes a few requests a second from all of them together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/sender_places.h"

#include "core/digest.h"

#include <algorithm>
#include <limits>

namespace calicoscale {

namespace {

/** A second in which sends count, and some heartbeats, in which a node becomes known to the others of its zone. */
constexpr duration PLACE_HELD = std::chrono::milliseconds(1500);
/** A node that has not settled may do so within this. */
constexpr duration SETTLE_PAUSE = std::chrono::milliseconds(100);

std::uint64_t get_score(const std::string &p_node, const endpoint_identity &p_endpoint) {
	return hash_bytes(p_node, hash_bytes(p_endpoint.vm, p_endpoint.incarnation));
}

} // namespace

void sender_places::set_senders(const known_senders &p_senders, instant p_now) {
	_fleet_nodes = std::max<std::size_t>(1, p_senders.fleet_nodes);
	_is_settled = p_senders.is_settled;
	_first_view_at = _first_view_at == instant{} ? p_now : _first_view_at;
	while (_views.size() > 1 && p_now - _views.front().replaced_at >= PLACE_HELD) {
		_views.pop_front();
	}
	if (!_views.empty() && _views.back().zone_nodes == p_senders.zone_nodes) {
		return;
	}
	if (!_views.empty()) {
		_views.back().replaced_at = p_now;
	}
	_views.push_back(sender_view{ p_senders.zone_nodes, instant{}, {} });
}

std::size_t sender_places::_count_in(sender_view &r_view, const endpoint_identity &p_endpoint, std::size_t p_places) const {
	const std::vector<std::string> &nodes = r_view.zone_nodes;
	const auto known = r_view.ranks.find(p_endpoint);
	if (known == r_view.ranks.end()) {
		std::optional<std::size_t> &rank = r_view.ranks[p_endpoint];
		if (std::find(nodes.begin(), nodes.end(), _vm) != nodes.end()) {
			const std::uint64_t own = get_score(_vm, p_endpoint);
			const auto is_before = [this, own, &p_endpoint](const std::string &p_node) {
				return p_node != _vm && get_score(p_node, p_endpoint) > own;
			};
			rank = static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), is_before));
		}
	}
	const std::optional<std::size_t> &rank = r_view.ranks.at(p_endpoint);
	return rank ? p_places / nodes.size() + (*rank < p_places % nodes.size() ? 1 : 0) : 0;
}

std::size_t sender_places::count_own(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_places, instant p_now) {
	if (!_is_settled || !_is_own_zone(p_zone) || p_now - _first_view_at < PLACE_HELD) {
		return 0;
	}
	std::size_t least = std::numeric_limits<std::size_t>::max();
	for (sender_view &view : _views) {
		const bool counts = view.replaced_at == instant{} || p_now - view.replaced_at < PLACE_HELD;
		least = counts ? std::min(least, _count_in(view, p_endpoint, p_places)) : least;
	}
	return least;
}

std::size_t sender_places::count_soon(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_places) {
	return _views.empty() || !_is_own_zone(p_zone) ? 0 : _count_in(_views.back(), p_endpoint, p_places);
}

duration sender_places::get_time_to_hold(instant p_now) const {
	instant held_at = _first_view_at + PLACE_HELD;
	if (_views.size() > 1) {
		held_at = std::max(held_at, _views[_views.size() - 2].replaced_at + PLACE_HELD);
	}
	return std::max(held_at - p_now, _is_settled ? duration::zero() : SETTLE_PAUSE);
}

double sender_places::get_phase(const endpoint_identity &p_endpoint) const {
	return static_cast<double>(get_score(_vm, p_endpoint)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void sender_places::forget(const endpoint_identity &p_endpoint) {
	for (sender_view &view : _views) {
		view.ranks.erase(p_endpoint);
	}
}

} // namespace calicoscale
