/*
 * calicoscale: hybrid_clock.cpp
 * Hybrid logical clock that orders events across processes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/hybrid_clock.h"

namespace calicoscale {

namespace {

constexpr unix_milliseconds MAX_AHEAD_MS = 60'000;

} // namespace

hybrid_time hybrid_clock::tick(unix_milliseconds p_wall) {
	if (p_wall > _last.wall) {
		_last = hybrid_time{ p_wall, 0 };
	} else {
		_last.counter++;
	}
	return _last;
}

void hybrid_clock::observe(const hybrid_time &p_remote, unix_milliseconds p_wall) {
	if (p_remote.wall > p_wall + MAX_AHEAD_MS) {
		return;
	}
	if (p_remote > _last) {
		_last = p_remote;
	}
}

} // namespace calicoscale
