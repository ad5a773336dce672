/*
 * calicoscale: stage_times.h
 * Estimated service times of stages, by pool and size class.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_TIMES_H
#define STAGE_TIMES_H

#include "core/quantile_sketch.h"

#include <map>
#include <string>
#include <string_view>

namespace calicoscale {

/** Kind of a measured time. */
enum class time_kind {
	TOTAL, ///< From the start to the complete answer.
	FIRST_TOKEN, ///< From the start to the first token of a stream.
	UNLOADED, ///< As TOTAL, but with a long half-life; its low quantiles estimate the time without queueing.
};

/** Class of input sizes; the bounds of classes are spaced by a factor of four, as the cost grows with the size. */
using size_class = std::uint8_t;

/** Returns the class of an input of p_input_bytes that generates up to p_max_tokens tokens. */
size_class get_size_class(std::size_t p_input_bytes, int p_max_tokens);

/** Quantile sketches of service times by pool, kind and size class. */
class stage_times {
	struct key {
		std::string pool;
		time_kind part;
		size_class size;
		auto operator<=>(const key &p_other) const = default;
	};

	std::map<key, quantile_sketch> _sketches;

public:
	/** Adds one measured time. */
	void add(const std::string &p_pool, time_kind p_part, size_class p_size, duration p_elapsed, instant p_now);

	/**
	 * Returns a quantile of a stage's time. If the class has too few samples, the nearest class with enough is used
	 * instead; zero if the pool has none.
	 */
	duration estimate(const std::string &p_pool, time_kind p_part, size_class p_size, double p_quantile, instant p_now) const;

	/** Returns the number of stored sketches. */
	std::size_t get_sketch_count() const { return _sketches.size(); }
};

} // namespace calicoscale

#endif // STAGE_TIMES_H
