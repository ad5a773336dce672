/*
 * calicoscale: write_budget.h
 * Bounds what a node holds for callers that read slowly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef WRITE_BUDGET_H
#define WRITE_BUDGET_H

#include <cstddef>

namespace calicoscale {

/**
 * Counts the bytes that wait to be written to callers. A connection that holds its share is full, and its source is not read
 * until half of that is written. The share shrinks as the whole fills up, so that a few slow readers may hold much and many of
 * them little each.
 */
class write_budget {
	std::size_t _most;
	std::size_t _held = 0;

public:
	static constexpr std::size_t LARGEST_SHARE = 64UL * 1024;
	/** One event of a stream fits in, so that each reader goes on. */
	static constexpr std::size_t LEAST_SHARE = 2UL * 1024;
	/** Where nobody knows how much memory there is. */
	static constexpr std::size_t USUAL_MOST = 256UL * 1024 * 1024;

	/** @param p_most bytes for all connections together. */
	explicit write_budget(std::size_t p_most = USUAL_MOST) :
			_most(p_most) {}

	void add(std::size_t p_bytes) { _held += p_bytes; }
	void remove(std::size_t p_bytes) { _held -= p_bytes < _held ? p_bytes : _held; }

	/** Bytes that a connection may hold before its source is to wait. */
	std::size_t get_share() const;

	bool is_full(std::size_t p_on_connection) const { return p_on_connection > get_share(); }
	bool has_room(std::size_t p_on_connection) const { return p_on_connection <= get_share() / 2; }

	/** Whether more is held than may be: readers that take nothing are to be ended. */
	bool is_over() const { return _held > _most; }
	std::size_t get_held() const { return _held; }
};

} // namespace calicoscale

#endif // WRITE_BUDGET_H
