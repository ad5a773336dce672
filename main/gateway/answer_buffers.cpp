/*
 * calicoscale: answer_buffers.cpp
 * Ends the largest answers that are being buffered when all of them together take too much memory.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/answer_buffers.h"

#include <optional>
#include <utility>

namespace calicoscale {

buffer_id answer_buffers::add(std::function<void()> p_on_excess) {
	const buffer_id id = _budget.add();
	_excess_hooks.emplace(id, std::move(p_on_excess));
	return id;
}

void answer_buffers::set_size(buffer_id p_id, std::size_t p_bytes) {
	_budget.set_size(p_id, p_bytes);
	for (std::optional<buffer_id> excess = _budget.find_excess(); excess; excess = _budget.find_excess()) {
		_budget.set_size(*excess, 0);
		// Copied, as the hook may remove the buffer.
		const std::function<void()> hook = _excess_hooks.at(*excess);
		hook();
	}
}

void answer_buffers::remove(buffer_id p_id) {
	_budget.remove(p_id);
	_excess_hooks.erase(p_id);
}

} // namespace calicoscale
