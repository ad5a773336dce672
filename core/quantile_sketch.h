/*
 * calicoscale: quantile_sketch.h
 * Quantiles of durations with exponential decay of old samples.
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
 * Histogram over logarithmic buckets, each 12% wider than the one before, with forward decay: new samples get a growing weight,
 * so that the weights of old samples need no update.
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
	/** @param p_half_life time after which the weight of a sample has halved. */
	explicit quantile_sketch(duration p_half_life = std::chrono::seconds(20));

	void add(duration p_sample, instant p_now);

	/** Value below which the share p_quantile (0 to 1) of the samples lies, with an error of at most one bucket; empty without samples. */
	std::optional<duration> get_quantile(double p_quantile) const;

	/** Decayed number of samples as of p_now. */
	double get_count(instant p_now) const;
};

} // namespace calicoscale

#endif // QUANTILE_SKETCH_H
