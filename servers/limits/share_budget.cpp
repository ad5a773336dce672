/*
 * calicoscale: share_budget.cpp
 * Budget for extra work, as a share of successful work.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/share_budget.h"

#include <algorithm>

namespace calicoscale {

share_budget::share_budget(double p_share, double p_highest, double p_reserve_per_second) :
		_share(p_share), _balance(1.0), _highest(p_highest), _reserve_per_second(p_reserve_per_second) {
}

void share_budget::_refill(instant p_now) {
	if (p_now <= _updated) {
		return;
	}
	// The reserve never lifts the balance above one unit: it covers a quiet node, not a busy one.
	if (_balance < 1.0) {
		_balance = std::min(1.0, _balance + _reserve_per_second * to_seconds(p_now - _updated));
	}
	_updated = p_now;
}

void share_budget::on_success(instant p_now) {
	_refill(p_now);
	_balance = std::min(_highest, _balance + _share);
}

bool share_budget::try_spend(instant p_now) {
	_refill(p_now);
	if (_balance < 1.0) {
		return false;
	}
	_balance -= 1.0;
	return true;
}

} // namespace calicoscale
