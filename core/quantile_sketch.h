/*
 * calicoscale: quantile_sketch.h
 * Quantiles of durations in which old samples fade.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef QUANTILE_SKETCH_H
#define QUANTILE_SKETCH_H

#include "core/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace calicoscale {

/**
 * Histogram over logarithmic buckets, each 12% wider than the one before, with forward decay:
 * a new sample weighs more instead of all old ones being rewritten.
 */
class quantile_sketch {
	static constexpr std::size_t BUCKET_COUNT = 128;

	std::array<float, BUCKET_COUNT> _weights{};
	double _total = 0.0;
	duration _half_life;
	instant _epoch{};
	bool _started = false;

	double _get_weight(instant p_now) const;
	void _rescale(instant p_now);

public:
	/** @param p_half_life time after which a sample counts half. */
	explicit quantile_sketch(duration p_half_life = std::chrono::seconds(20));

	/** Adds one sample. */
	void add(duration p_sample, instant p_now);

	/** Value below which the share p_quantile of the samples lies; empty without samples. Off by at most one bucket. */
	std::optional<duration> get_quantile(double p_quantile) const;

	/** Decayed number of samples as of p_now. */
	double get_count(instant p_now) const;
};

} // namespace calicoscale

#endif // QUANTILE_SKETCH_H
