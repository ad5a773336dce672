/*
 * calicoscale: soak_random.h
 * Seeded choices of a soak.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_RANDOM_H
#define SOAK_RANDOM_H

#include "core/time.h"

#include <cstdint>
#include <random>

namespace calicoscale {

/** Choices that depend on the seed alone. */
class soak_random {
	std::mt19937_64 _engine;

public:
	explicit soak_random(std::uint64_t p_seed) :
			_engine(p_seed) {}

	/** A whole number from 0 to below the bound. */
	std::size_t pick(std::size_t p_bound) { return static_cast<std::size_t>(_engine() % p_bound); }
	/** From 0 to below 1. */
	double get_unit() { return static_cast<double>(_engine() >> 11U) * 0x1.0p-53; }
	bool has_luck(double p_share) { return get_unit() < p_share; }
	/** A time between two, in milliseconds. */
	duration pick_time(double p_least_ms, double p_most_ms) { return from_seconds((p_least_ms + (p_most_ms - p_least_ms) * get_unit()) / 1000.0); }
};

} // namespace calicoscale

#endif // SOAK_RANDOM_H
