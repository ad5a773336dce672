/*
 * calicoscale: answer_buffers.h
 * Ends the largest answers that are being buffered when all of them together take too much memory.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ANSWER_BUFFERS_H
#define ANSWER_BUFFERS_H

#include "servers/limits/buffer_budget.h"

#include <functional>
#include <map>

namespace calicoscale {

/** Knows the sizes of all answers of endpoints that this node buffers until they are complete. */
class answer_buffers {
	buffer_budget _budget;
	std::map<buffer_id, std::function<void()>> _excess_hooks;

public:
	/** @param p_max_bytes memory for all buffers together. */
	explicit answer_buffers(std::size_t p_max_bytes) :
			_budget(p_max_bytes) {}

	/** Adds an empty buffer. @param p_on_excess called when this buffer must be given up; it counts as empty from then on. */
	buffer_id add(std::function<void()> p_on_excess);

	/** Sets the size of a buffer. Calls the hooks of the largest buffers, possibly of this one, while the memory does not suffice. */
	void set_size(buffer_id p_id, std::size_t p_bytes);

	void remove(buffer_id p_id);

	std::size_t get_total() const { return _budget.get_total(); }
};

} // namespace calicoscale

#endif // ANSWER_BUFFERS_H
