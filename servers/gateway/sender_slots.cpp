/*
 * calicoscale: sender_slots.cpp
 * Selects the nodes that send to an endpoint that accepts only a few requests a second from all nodes together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/sender_slots.h"

#include "core/digest.h"

#include <algorithm>
#include <limits>

namespace calicoscale {

namespace {

/** The one-second window of the rate limit, plus the time of some heartbeats, by which a node becomes known to the others of its zone. */
constexpr duration SLOT_ACTIVATION_DELAY = std::chrono::milliseconds(1500);
/** Delay reported while this node has not received the list of nodes: it may receive it within this time. */
constexpr duration SETTLE_DELAY = std::chrono::milliseconds(100);

std::uint64_t get_score(const std::string &p_node, const endpoint_identity &p_endpoint) {
	return hash_bytes(p_node, hash_bytes(p_endpoint.vm, p_endpoint.incarnation));
}

} // namespace

void sender_slots::set_senders(const known_senders &p_senders, instant p_now) {
	_fleet_nodes = std::max<std::size_t>(1, p_senders.fleet_nodes);
	_is_settled = p_senders.is_settled;
	_first_view_at = _first_view_at == instant{} ? p_now : _first_view_at;
	while (_views.size() > 1 && p_now - _views.front().replaced_at >= SLOT_ACTIVATION_DELAY) {
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

std::size_t sender_slots::_count_in(sender_view &r_view, const endpoint_identity &p_endpoint, std::size_t p_slots) const {
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
	return rank ? p_slots / nodes.size() + (*rank < p_slots % nodes.size() ? 1 : 0) : 0;
}

std::size_t sender_slots::count_own(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_slots, instant p_now) {
	if (!_is_settled || !_is_own_zone(p_zone) || p_now - _first_view_at < SLOT_ACTIVATION_DELAY) {
		return 0;
	}
	std::size_t min_slots = std::numeric_limits<std::size_t>::max();
	for (sender_view &view : _views) {
		const bool counts = view.replaced_at == instant{} || p_now - view.replaced_at < SLOT_ACTIVATION_DELAY;
		min_slots = counts ? std::min(min_slots, _count_in(view, p_endpoint, p_slots)) : min_slots;
	}
	return min_slots;
}

std::size_t sender_slots::count_future_slots(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_slots) {
	return _views.empty() || !_is_own_zone(p_zone) ? 0 : _count_in(_views.back(), p_endpoint, p_slots);
}

duration sender_slots::get_activation_delay(instant p_now) const {
	instant active_at = _first_view_at + SLOT_ACTIVATION_DELAY;
	if (_views.size() > 1) {
		active_at = std::max(active_at, _views[_views.size() - 2].replaced_at + SLOT_ACTIVATION_DELAY);
	}
	return std::max(active_at - p_now, _is_settled ? duration::zero() : SETTLE_DELAY);
}

double sender_slots::get_phase(const endpoint_identity &p_endpoint) const {
	return static_cast<double>(get_score(_vm, p_endpoint)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void sender_slots::forget(const endpoint_identity &p_endpoint) {
	for (sender_view &view : _views) {
		view.ranks.erase(p_endpoint);
	}
}

} // namespace calicoscale
