/*
 * calicoscale: timer_queue.cpp
 * Queue of timers, ordered by due time.
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
	const timer_key key{ found->second.due, p_id };
	_all.erase(key);
	_before_sockets.erase(key);
	_entries.erase(found);
}

std::optional<instant> timer_queue::get_next(bool p_only_before_sockets) const {
	const std::set<timer_key> &timers = p_only_before_sockets ? _before_sockets : _all;
	return timers.empty() ? std::nullopt : std::optional(timers.begin()->first);
}

std::optional<std::uint64_t> timer_queue::take_due(bool p_only_before_sockets, instant p_now) {
	const std::set<timer_key> &timers = p_only_before_sockets ? _before_sockets : _all;
	if (timers.empty() || timers.begin()->first > p_now) {
		return std::nullopt;
	}
	const std::uint64_t id = timers.begin()->second;
	cancel(id);
	return id;
}

} // namespace calicoscale
