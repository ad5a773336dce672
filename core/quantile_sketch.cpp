/*
 * calicoscale: quantile_sketch.cpp
 * Quantiles of durations with exponential decay of old samples.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/quantile_sketch.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

constexpr double SMALLEST_MICROSECONDS = 50.0;
constexpr double BUCKET_RATIO = 1.12;
constexpr double RESCALE_ABOVE = 1e6;

} // namespace

quantile_sketch::quantile_sketch(duration p_half_life) :
		_half_life(p_half_life) {
}

double quantile_sketch::_get_weight(instant p_now) const {
	if (p_now <= _epoch) {
		return 1.0;
	}
	return std::exp2(to_seconds(p_now - _epoch) / to_seconds(_half_life));
}

void quantile_sketch::_rescale(instant p_now) {
	const double factor = 1.0 / _get_weight(p_now);
	_total = 0.0;
	for (float &weight : _weights) {
		weight = static_cast<float>(weight * factor);
		_total += weight;
	}
	_epoch = p_now;
}

void quantile_sketch::add(duration p_sample, instant p_now) {
	if (!_started) {
		_epoch = p_now;
		_started = true;
	}
	if (_get_weight(p_now) > RESCALE_ABOVE) {
		_rescale(p_now);
	}
	const double value = std::max(static_cast<double>(p_sample.count()), SMALLEST_MICROSECONDS);
	const double position = std::log(value / SMALLEST_MICROSECONDS) / std::log(BUCKET_RATIO);
	const std::size_t bucket = std::min(static_cast<std::size_t>(position), BUCKET_COUNT - 1);
	const double weight = _get_weight(p_now);
	_weights[bucket] += static_cast<float>(weight);
	_total += weight;
}

std::optional<duration> quantile_sketch::get_quantile(double p_quantile) const {
	if (_total <= 0.0) {
		return std::nullopt;
	}
	const double wanted = _total * std::clamp(p_quantile, 0.0, 1.0);
	double seen = 0.0;
	std::size_t last = 0;
	for (std::size_t bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		if (_weights[bucket] <= 0.0F) {
			continue;
		}
		last = bucket;
		seen += _weights[bucket];
		if (seen >= wanted) {
			break;
		}
	}
	const double value = SMALLEST_MICROSECONDS * std::pow(BUCKET_RATIO, static_cast<double>(last) + 0.5);
	return duration(static_cast<duration::rep>(value));
}

double quantile_sketch::get_count(instant p_now) const {
	return _total / _get_weight(p_now);
}

} // namespace calicoscale
