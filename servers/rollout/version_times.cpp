/*
 * calicoscale: version_times.cpp
 * Typical answer times of services, by route.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_times.h"

namespace calicoscale {

namespace {

/** The moving average moves by one part in this many towards each new time. */
constexpr int AVERAGE_DIVISOR = 20;

} // namespace

bool version_times::is_slow(const std::string &p_service, const std::string &p_route, duration p_elapsed) const {
	const auto typical = _typical.find({ p_service, p_route });
	return typical != _typical.end() && p_elapsed > typical->second * SLOW_FACTOR;
}

void version_times::learn(const std::string &p_service, const std::string &p_route, duration p_elapsed) {
	const auto [typical, is_first] = _typical.try_emplace({ p_service, p_route }, p_elapsed);
	if (!is_first) {
		typical->second += (p_elapsed - typical->second) / AVERAGE_DIVISOR;
	}
}

} // namespace calicoscale
