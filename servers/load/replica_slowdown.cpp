/*
 * calicoscale: replica_slowdown.cpp
 * Estimates by which factor one replica is slower than typical.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/load/replica_slowdown.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

constexpr double ESTIMATE_STEP = 0.4;
constexpr double MIN_SAMPLE = 0.3;
/** Time constant with which an estimate decays towards 1. A slow replica gets no calls that would correct its estimate, so the decay makes it eligible again. */
constexpr duration ESTIMATE_DECAY = std::chrono::seconds(3);
/** Time constant with which a reported factor decays towards 1; a replica's load changes many times a second. */
constexpr duration REPORT_DECAY = std::chrono::milliseconds(300);

double decay_factor(double p_factor, duration p_age, duration p_decay) {
	return 1.0 + (p_factor - 1.0) * std::exp(-std::max(0.0, to_seconds(p_age) / to_seconds(p_decay)));
}

} // namespace

double replica_slowdown::_get_estimated(instant p_now) const {
	return decay_factor(_estimated, p_now - _estimated_at, ESTIMATE_DECAY);
}

void replica_slowdown::tell(double p_factor, instant p_now) {
	_reported = std::clamp(p_factor, 1.0, MAX_FACTOR);
	_reported_at = p_now;
}

double replica_slowdown::get_reported(instant p_now) const {
	return decay_factor(_reported, p_now - _reported_at, REPORT_DECAY);
}

void replica_slowdown::learn(double p_sample, double p_reported_before, instant p_now) {
	// The answer reported the factor at the end of the call, so the mean of both ends is taken for the whole call.
	const double explained = (p_reported_before + get_reported(p_now)) / 2.0;
	const double sample = std::clamp(p_sample, MIN_SAMPLE, MAX_FACTOR) / explained;
	const double current = _get_estimated(p_now);
	_estimated = current + (sample - current) * ESTIMATE_STEP;
	_estimated_at = p_now;
}

void replica_slowdown::note_overrun(double p_min_factor, instant p_now) {
	_estimated = std::max(_get_estimated(p_now), p_min_factor);
	_estimated_at = p_now;
}

} // namespace calicoscale
