/*
 * calicoscale: timer_queue.cpp
 * Which timers are due, in the order of their times.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/timer_queue.h"

namespace calicoscale {

void timer_queue::set(std::uint64_t p_id, instant p_due, timer_order p_order) {
	cancel(p_id);
	_entries.emplace(p_id, entry{ p_due, p_order });
	_all.emplace(p_due, p_id);
	if (p_order == timer_order::BEFORE_SOCKETS) {
		_before_sockets.emplace(p_due, p_id);
	}
}

void timer_queue::cancel(std::uint64_t p_id) {
	const auto found = _entries.find(p_id);
	if (found == _entries.end()) {
		return;
	}
	const place known{ found->second.due, p_id };
	_all.erase(known);
	_before_sockets.erase(known);
	_entries.erase(found);
}

std::optional<instant> timer_queue::get_next(bool p_only_before_sockets) const {
	const std::set<place> &places = p_only_before_sockets ? _before_sockets : _all;
	return places.empty() ? std::nullopt : std::optional(places.begin()->first);
}

std::optional<std::uint64_t> timer_queue::take_due(bool p_only_before_sockets, instant p_now) {
	const std::set<place> &places = p_only_before_sockets ? _before_sockets : _all;
	if (places.empty() || places.begin()->first > p_now) {
		return std::nullopt;
	}
	const std::uint64_t id = places.begin()->second;
	cancel(id);
	return id;
}

} // namespace calicoscale
