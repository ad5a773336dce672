/*
 * calicoscale: read_schedule.cpp
 * Schedules the reads of one topic of the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/read_schedule.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Each unanswered read occupies a connection until it times out, so this bounds the reads that a silent store causes. */
constexpr int MAX_OPEN_READS = 4;
/** Maximum number of times that the time between reads doubles. */
constexpr int MAX_DOUBLINGS = 4;
/** Maximum number of times that the wait for a turn doubles. */
constexpr int MAX_TURN_DOUBLINGS = 10;

} // namespace

planned_read read_schedule::_plan(bool p_is_first) {
	_open++;
	planned_read read;
	read.reading = _reading;
	const bool is_normal_read = p_is_first && _is_responsive;
	read.wait = is_normal_read ? _times.wait : duration::zero();
	read.on_new_connection = !is_normal_read;
	read.check_in = is_normal_read ? _times.wait + _times.overdue : get_repeat();
	return read;
}

planned_read read_schedule::begin() {
	_reading++;
	_open = 0;
	return _plan(true);
}

planned_read read_schedule::begin_after_stall() {
	_reading++;
	_open = 0;
	return _plan(false);
}

std::optional<planned_read> read_schedule::check() {
	if (_open == 0) {
		return begin();
	}
	_is_responsive = false;
	if (_open >= MAX_OPEN_READS) {
		return std::nullopt;
	}
	_repeats++;
	return _plan(false);
}

bool read_schedule::on_answered(std::uint64_t p_reading) {
	if (p_reading != _reading) {
		return false;
	}
	_reading++;
	_open = 0;
	_is_responsive = true;
	_failures = 0;
	_repeats = 0;
	return true;
}

duration read_schedule::_apply_backoff(duration p_first, int p_count) const {
	if (!_has_peer_reader || p_count == 0) {
		return p_first;
	}
	const duration doubled = p_first * (1 << std::min(p_count - 1, MAX_DOUBLINGS));
	return std::clamp(doubled, p_first, std::max(p_first, _times.longest_retry));
}

duration read_schedule::get_first_wait(duration p_since_start) const {
	const duration wait = _times.first_wait + _times.rank_step * static_cast<duration::rep>(_read_position);
	return _has_peer_reader ? std::max(duration::zero(), wait - p_since_start) : duration::zero();
}

duration read_schedule::get_turn_wait(duration p_step) const {
	if (!_has_peer_reader || _turn < 2) {
		return duration::zero();
	}
	// Without the growth, the nodes that begin to read one after the other would add up.
	const duration::rep attempts = duration::rep{ 1 } << std::min(_failures + _repeats, MAX_TURN_DOUBLINGS);
	return p_step * static_cast<duration::rep>(_turn - 1) * attempts;
}

duration read_schedule::get_retry() const {
	return _apply_backoff(_times.retry, _failures);
}

duration read_schedule::get_repeat() const {
	return _apply_backoff(_times.repeat, _repeats);
}

void read_schedule::abandon() {
	_reading++;
	_open = 0;
	// A peer was answered, so the next failure or silence belongs to another outage.
	_failures = 0;
	_repeats = 0;
}

bool read_schedule::on_failed(std::uint64_t p_reading) {
	if (p_reading != _reading) {
		return false;
	}
	_open--;
	_is_responsive = false;
	_failures++;
	return true;
}

} // namespace calicoscale
