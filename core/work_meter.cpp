/*
 * calicoscale: work_meter.cpp
 * Accounts the processor time of an event loop by activity.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/work_meter.h"

#include <utility>

namespace calicoscale {

void work_meter::_book(instant p_now) {
	const duration passed = p_now - _accounted_until;
	_sum.amounts[static_cast<std::size_t>(_open.back())].time += passed;
	_sum.busy += passed;
	_accounted_until = p_now;
}

void work_meter::begin(activity p_activity, instant p_now) {
	if (_open.empty()) {
		_begun_at = p_now;
		_accounted_until = p_now;
	} else {
		_book(p_now);
	}
	_open.push_back(p_activity);
	_sum.amounts[static_cast<std::size_t>(p_activity)].count++;
}

void work_meter::end(instant p_now) {
	if (_open.empty()) {
		return;
	}
	_book(p_now);
	const activity ended = _open.back();
	_open.pop_back();
	if (_open.empty() && p_now - _begun_at > _sum.longest) {
		_sum.longest = p_now - _begun_at;
		_sum.longest_by = ended;
	}
}

work_sum work_meter::take() {
	return std::exchange(_sum, work_sum());
}

} // namespace calicoscale
