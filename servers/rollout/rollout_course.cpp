/*
 * calicoscale: rollout_course.cpp
 * How much of a service's work goes to the target of a roll-out, by the time since the order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/rollout_course.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr double LEAST_ON_TRIAL = 3.0;
/** Part of the time in which the whole of a service's work stays within half of what a bad version may get. */
constexpr double RISE_PART = 0.5;
constexpr duration SHORTEST_RISE = std::chrono::milliseconds(500);
constexpr duration LONGEST_RISE = std::chrono::seconds(5);

double get_unit(std::string_view p_bytes, std::uint64_t p_seed) {
	return static_cast<double>(hash_bytes(p_bytes, p_seed) >> 11U) * 0x1.0p-53;
}

} // namespace

duration rollout_course::get_rise_time() const {
	const duration within_bound(static_cast<duration::rep>(static_cast<double>(_time.count()) * _bounds.exposure_share * RISE_PART));
	return std::clamp(within_bound, SHORTEST_RISE, LONGEST_RISE);
}

double rollout_course::get_share(duration p_moving_for) const {
	const double risen = std::clamp(to_seconds(p_moving_for) / to_seconds(get_rise_time()), 0.0, 1.0);
	return get_trial_share() + (1.0 - get_trial_share()) * risen;
}

bool rollout_course::is_chosen(std::string_view p_request, double p_share) {
	constexpr std::uint64_t REQUEST_SEED = 0x726f6c6c;
	return get_unit(p_request, REQUEST_SEED) < p_share;
}

bool rollout_course::is_on_trial(std::string_view p_endpoint, std::size_t p_endpoints, double p_share) const {
	constexpr std::uint64_t ENDPOINT_SEED = 0x656e6470;
	const double endpoints = static_cast<double>(std::max<std::size_t>(1, p_endpoints));
	return get_unit(p_endpoint, ENDPOINT_SEED) < std::max(p_share, LEAST_ON_TRIAL / endpoints);
}

} // namespace calicoscale
