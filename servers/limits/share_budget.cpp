/*
 * calicoscale: share_budget.cpp
 * Budget for extra attempts, as a share of successful requests.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/share_budget.h"

#include <algorithm>

namespace calicoscale {

share_budget::share_budget(double p_share, double p_max_balance, double p_reserve_per_second) :
		_share(p_share), _balance(1.0), _max_balance(p_max_balance), _reserve_per_second(p_reserve_per_second) {
}

void share_budget::_refill(instant p_now) {
	if (p_now <= _updated_at) {
		return;
	}
	// The refill by time never raises the balance above one unit, as it is meant for nodes with few requests only.
	if (_balance < 1.0) {
		_balance = std::min(1.0, _balance + _reserve_per_second * to_seconds(p_now - _updated_at));
	}
	_updated_at = p_now;
}

void share_budget::on_success(instant p_now) {
	_refill(p_now);
	_balance = std::min(_max_balance, _balance + _share);
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
