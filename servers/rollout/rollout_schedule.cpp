/*
 * calicoscale: rollout_schedule.cpp
 * Share of a service's work that goes to the target of a roll-out, as a function of the time since the order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/rollout_schedule.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr double MIN_CANARY_ENDPOINTS = 3.0;
/** Fraction of a bad version's allowed exposure that the rise may use even if all work went to the target meanwhile. */
constexpr double RISE_EXPOSURE_FRACTION = 0.5;
constexpr duration MIN_RISE_TIME = std::chrono::milliseconds(500);
constexpr duration MAX_RISE_TIME = std::chrono::seconds(5);

/** Hashes bytes to a number that is uniformly distributed in [0, 1). */
double hash_to_unit(std::string_view p_bytes, std::uint64_t p_seed) {
	return static_cast<double>(hash_bytes(p_bytes, p_seed) >> 11U) * 0x1.0p-53;
}

} // namespace

duration rollout_schedule::get_rise_time() const {
	const duration within_bound(static_cast<duration::rep>(static_cast<double>(_time.count()) * _bounds.exposure_share * RISE_EXPOSURE_FRACTION));
	return std::clamp(within_bound, MIN_RISE_TIME, MAX_RISE_TIME);
}

double rollout_schedule::get_share(duration p_rising_for) const {
	const double risen = std::clamp(to_seconds(p_rising_for) / to_seconds(get_rise_time()), 0.0, 1.0);
	return get_canary_share() + (1.0 - get_canary_share()) * risen;
}

bool rollout_schedule::is_chosen(std::string_view p_request, double p_share) {
	constexpr std::uint64_t REQUEST_SEED = 0x726f6c6c;
	return hash_to_unit(p_request, REQUEST_SEED) < p_share;
}

bool rollout_schedule::is_canary_endpoint(std::string_view p_endpoint, std::size_t p_endpoints, double p_share) const {
	constexpr std::uint64_t ENDPOINT_SEED = 0x656e6470;
	const double endpoints = static_cast<double>(std::max<std::size_t>(1, p_endpoints));
	return hash_to_unit(p_endpoint, ENDPOINT_SEED) < std::max(p_share, MIN_CANARY_ENDPOINTS / endpoints);
}

} // namespace calicoscale
