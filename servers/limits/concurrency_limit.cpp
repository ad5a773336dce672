/*
 * calicoscale: concurrency_limit.cpp
 * Adaptive limit on this node's concurrent attempts at a pool, from latency and refusals.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

/** Weights of a new sample in the moving averages below. */
constexpr double RECENT_WEIGHT = 0.1;
constexpr double BASE_FALL_WEIGHT = 0.2;
constexpr double BASE_RISE_WEIGHT = 0.0002;
/** The limit shrinks if the latency exceeds the baseline by this factor. Batching engines get somewhat slower under load by design. */
constexpr double TOLERANCE = 2.0;
constexpr double MIN_GRADIENT = 0.5;
constexpr double LIMIT_WEIGHT = 0.05;
constexpr double REFUSED_FACTOR = 0.85;
constexpr duration MIN_DECREASE_INTERVAL = std::chrono::milliseconds(100);

} // namespace

concurrency_limit::concurrency_limit(double p_start, double p_min_limit, double p_max_limit) :
		_limit(p_start), _min_limit(p_min_limit), _max_limit(p_max_limit) {
}

void concurrency_limit::on_success(double p_relative_latency) {
	const bool was_used = static_cast<double>(_in_flight) * 2.0 >= _limit;
	_in_flight--;
	if (_base_latency <= 0.0) {
		_base_latency = p_relative_latency;
		_recent_latency = p_relative_latency;
	}
	const double base_weight = p_relative_latency < _base_latency ? BASE_FALL_WEIGHT : BASE_RISE_WEIGHT;
	_base_latency += (p_relative_latency - _base_latency) * base_weight;
	_recent_latency += (p_relative_latency - _recent_latency) * RECENT_WEIGHT;
	const double gradient = std::clamp(TOLERANCE * _base_latency / std::max(_recent_latency, 1e-9), MIN_GRADIENT, 1.0);
	if (gradient >= 1.0 && !was_used) {
		// While the limit isn't reached, the latency doesn't show whether a higher limit would work.
		return;
	}
	const double target = _limit * gradient + std::sqrt(_limit);
	_limit = std::clamp(_limit + (target - _limit) * LIMIT_WEIGHT, _min_limit, _max_limit);
}

void concurrency_limit::on_refused(instant p_now) {
	_in_flight--;
	if (p_now - _last_decrease < MIN_DECREASE_INTERVAL) {
		return;
	}
	_last_decrease = p_now;
	_limit = std::max(_min_limit, _limit * REFUSED_FACTOR);
}

void concurrency_limit::on_ended() {
	_in_flight--;
}

} // namespace calicoscale
