/*
 * calicoscale: buffer_budget.h
 * Bounds the memory that many buffers take together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef BUFFER_BUDGET_H
#define BUFFER_BUDGET_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace calicoscale {

/** Identifies a buffer within its budget; never reused. */
using buffer_id = std::uint64_t;

/** Keeps the sizes of buffers. While their sum exceeds the budget the largest one is to be given up, so that one that grows without end does not harm the others. */
class buffer_budget {
	std::size_t _max_bytes;
	std::size_t _total = 0;
	buffer_id _next_id = 1;
	std::map<buffer_id, std::size_t> _sizes;
	std::set<std::pair<std::size_t, buffer_id>> _by_size; ///< Buffers that are not empty.

public:
	/** @param p_max_bytes sum of the sizes up to which no buffer is given up. */
	explicit buffer_budget(std::size_t p_max_bytes) :
			_max_bytes(p_max_bytes) {}

	/** Adds an empty buffer. */
	buffer_id add();

	/** Sets the size of a buffer in bytes. */
	void set_size(buffer_id p_id, std::size_t p_bytes);

	void remove(buffer_id p_id);

	/** Returns the largest buffer if the budget is exceeded. */
	std::optional<buffer_id> find_excess() const;

	std::size_t get_total() const { return _total; }
};

} // namespace calicoscale

#endif // BUFFER_BUDGET_H
