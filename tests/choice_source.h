/*
 * calicoscale: choice_source.h
 * Choices of a property test, drawn ahead so that a failing case shrinks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CHOICE_SOURCE_H
#define CHOICE_SOURCE_H

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace calicoscale {

/** Hands out the choices of one generated case; past the end it hands out zeros, which tests make the harmless choice. */
class choice_source {
	std::vector<std::uint32_t> _choices;
	std::size_t _next = 0;

public:
	/** Draws up to so many choices from rapidcheck. */
	explicit choice_source(int p_size) :
			_choices(*rc::gen::resize(p_size, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 16U)))) {}

	/** A whole number in [0, p_count). */
	std::uint32_t pick(std::uint32_t p_count) {
		if (_next >= _choices.size() || p_count == 0) {
			return 0;
		}
		return _choices[_next++] % p_count;
	}

	/** True once in so many. */
	bool one_in(std::uint32_t p_count) { return !is_empty() && pick(p_count) == p_count - 1; }

	bool is_empty() const { return _next >= _choices.size(); }
};

} // namespace calicoscale

#endif // CHOICE_SOURCE_H
