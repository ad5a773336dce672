/*
 * calicoscale: write_budget.h
 * Limits the memory used for output to callers that read slowly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef WRITE_BUDGET_H
#define WRITE_BUDGET_H

#include <cstddef>

namespace calicoscale {

/**
 * Counts the bytes that wait to be written to callers. A connection that buffers more than its share is full, and its source isn't
 * read until the buffer has shrunk to half of the share. The share shrinks as the total grows, so that a few slow readers may have
 * large buffers, and many slow readers small ones.
 */
class write_budget {
	std::size_t _max_bytes;
	std::size_t _buffered_bytes = 0;

public:
	static constexpr std::size_t MAX_SHARE = 64UL * 1024;
	/** Fits one event of a stream, so that each reader makes progress. */
	static constexpr std::size_t MIN_SHARE = 2UL * 1024;
	/** Used when the amount of memory is unknown. */
	static constexpr std::size_t DEFAULT_MAX_BYTES = 256UL * 1024 * 1024;

	/** @param p_max_bytes maximum number of bytes for all connections together. */
	explicit write_budget(std::size_t p_max_bytes = DEFAULT_MAX_BYTES) :
			_max_bytes(p_max_bytes) {}

	void add(std::size_t p_bytes) { _buffered_bytes += p_bytes; }
	void remove(std::size_t p_bytes) { _buffered_bytes -= p_bytes < _buffered_bytes ? p_bytes : _buffered_bytes; }

	/** Number of bytes that a connection may buffer before its source has to wait. */
	std::size_t get_share() const;

	bool is_full(std::size_t p_on_connection) const { return p_on_connection > get_share(); }
	bool has_capacity(std::size_t p_on_connection) const { return p_on_connection <= get_share() / 2; }

	/** Whether the total exceeds the maximum, so that connections whose callers read nothing are to be closed. */
	bool is_over() const { return _buffered_bytes > _max_bytes; }
	std::size_t get_buffered_bytes() const { return _buffered_bytes; }
};

} // namespace calicoscale

#endif // WRITE_BUDGET_H
