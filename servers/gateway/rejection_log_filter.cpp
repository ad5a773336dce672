/*
 * calicoscale: rejection_log_filter.cpp
 * Selects the rejected records that are logged.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/rejection_log_filter.h"

namespace calicoscale {

bool rejection_log_filter::is_new(const std::string &p_key, entry_fault p_fault, instant p_now) {
	const auto found = _logged_faults.find(p_key);
	if (found != _logged_faults.end() && found->second == p_fault) {
		return false;
	}
	if (!_log_rate.try_take(1.0, p_now)) {
		_suppressed++;
		return false;
	}
	if (_logged_faults.size() >= MAX_KEYS) {
		_logged_faults.clear();
	}
	_logged_faults[p_key] = p_fault;
	return true;
}

} // namespace calicoscale
