/*
 * calicoscale: read_schedule.cpp
 * Decides when a topic of the store is read again, and how.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/read_schedule.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Each read that waits in vain holds a connection until it times out; the calls that a silent store costs are bounded so. */
constexpr int MOST_OPEN_READS = 4;
/** Times between reads double up to here. */
constexpr int MOST_DOUBLINGS = 4;

} // namespace

planned_read read_schedule::_plan(bool p_is_first) {
	_open++;
	planned_read read;
	read.reading = _reading;
	const bool is_trusted = p_is_first && _is_heard;
	read.wait = is_trusted ? _times.wait : duration::zero();
	read.on_new_connection = !is_trusted;
	read.check_in = is_trusted ? _times.wait + _times.overdue : get_repeat();
	return read;
}

planned_read read_schedule::begin() {
	_reading++;
	_open = 0;
	return _plan(true);
}

planned_read read_schedule::begin_after_absence() {
	_reading++;
	_open = 0;
	return _plan(false);
}

std::optional<planned_read> read_schedule::check() {
	if (_open == 0) {
		return begin();
	}
	_is_heard = false;
	if (_open >= MOST_OPEN_READS) {
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
	_is_heard = true;
	_failures = 0;
	_repeats = 0;
	return true;
}

duration read_schedule::_space_out(duration p_first, int p_count) const {
	if (!_is_patient || p_count == 0) {
		return p_first;
	}
	const duration doubled = p_first * (1 << std::min(p_count - 1, MOST_DOUBLINGS));
	return std::clamp(doubled, p_first, std::max(p_first, _times.longest_retry));
}

duration read_schedule::get_first_wait(duration p_since_start) const {
	const duration wait = _times.first_wait + _times.place_step * static_cast<duration::rep>(_place);
	return _is_patient ? std::max(duration::zero(), wait - p_since_start) : duration::zero();
}

duration read_schedule::get_retry() const {
	return _space_out(_times.retry, _failures);
}

duration read_schedule::get_repeat() const {
	return _space_out(_times.repeat, _repeats);
}

void read_schedule::abandon() {
	_reading++;
	_open = 0;
	// Others were answered, so what fails or is silent next is another outage.
	_failures = 0;
	_repeats = 0;
}

bool read_schedule::on_failed(std::uint64_t p_reading) {
	if (p_reading != _reading) {
		return false;
	}
	_open--;
	_is_heard = false;
	_failures++;
	return true;
}

} // namespace calicoscale
