/*
 * calicoscale: random_source.h
 * Random numbers for decisions, with a seed set by the caller so that runs can be replayed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RANDOM_SOURCE_H
#define RANDOM_SOURCE_H

#include <cstddef>
#include <cstdint>
#include <random>

namespace calicoscale {

/** Seeded random generator, passed as a parameter to code that makes random decisions. */
class random_source {
	std::mt19937_64 _engine;

public:
	explicit random_source(std::uint64_t p_seed) :
			_engine(p_seed) {}

	/** Returns an integer in [0, p_count); 0 when p_count is 0. The bias of the product method is below 2^-32 for table sizes. */
	std::size_t get_below(std::size_t p_count) {
		const std::uint64_t high = _engine() >> 32U;
		return static_cast<std::size_t>((high * p_count) >> 32U);
	}

	/** Returns a number in [0, 1). */
	double get_unit() { return static_cast<double>(_engine() >> 11U) * 0x1.0p-53; }

	/** Returns 64 random bits. */
	std::uint64_t get_bits() { return _engine(); }
};

} // namespace calicoscale

#endif // RANDOM_SOURCE_H
