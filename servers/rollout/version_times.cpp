/*
 * calicoscale: version_times.cpp
 * How long answers of a service usually take, by route.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_times.h"

namespace calicoscale {

namespace {

constexpr int LEARNT_PARTS = 20;

} // namespace

bool version_times::is_slow(const std::string &p_service, const std::string &p_route, duration p_elapsed) const {
	const auto usual = _usual.find({ p_service, p_route });
	return usual != _usual.end() && p_elapsed > usual->second * SLOW_FACTOR;
}

void version_times::learn(const std::string &p_service, const std::string &p_route, duration p_elapsed) {
	const auto [usual, is_first] = _usual.try_emplace({ p_service, p_route }, p_elapsed);
	if (!is_first) {
		usual->second += (p_elapsed - usual->second) / LEARNT_PARTS;
	}
}

} // namespace calicoscale
