/*
 * calicoscale: slack_share.cpp
 * One holder's part of the slack in the limit on repeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/slack_share.h"

namespace calicoscale {

namespace {

/** Share of its part that a holder uses in each window once it has held it for a whole window. */
constexpr double HELD_SHARE = 0.6;
/** Share that a holder gains during its first window. The lives of several holders in one window add up to one window at most. */
constexpr double GAINED_SHARE = 1.0 - HELD_SHARE;

} // namespace

void slack_share::set_part(double p_part, instant p_now) {
	if (_part <= 0.0) {
		_held_since = p_now;
	}
	_part = p_part;
}

duration slack_share::get_age(instant p_now) const {
	return _part > 0.0 ? p_now - _held_since : duration::zero();
}

double slack_share::get_slack(const retry_bounds &p_bounds, instant p_now) const {
	const duration age = get_age(p_now);
	const double share = age >= p_bounds.window ? HELD_SHARE : GAINED_SHARE * static_cast<double>(age.count()) / static_cast<double>(p_bounds.window.count());
	return p_bounds.slack * _part * share;
}

} // namespace calicoscale
