/*
 * calicoscale: connection_shedder.cpp
 * Decides which new connections an overloaded node closes with nothing read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/connection_shedder.h"

namespace calicoscale {

bool connection_shedder::should_close(duration p_waited, instant p_now) {
	if (p_waited <= MAX_WAIT) {
		return false;
	}
	if (_late_at == instant{} || p_now - _late_at > MAX_GAP) {
		_late_since = p_now;
	}
	_late_at = p_now;
	return p_now - _late_since >= MAX_WAIT;
}

} // namespace calicoscale
