/*
 * calicoscale: buffer_budget.cpp
 * Bounds the memory that many buffers take together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/buffer_budget.h"

namespace calicoscale {

buffer_id buffer_budget::add() {
	const buffer_id id = _next_id++;
	_sizes.emplace(id, 0);
	return id;
}

void buffer_budget::set_size(buffer_id p_id, std::size_t p_bytes) {
	const auto found = _sizes.find(p_id);
	if (found == _sizes.end() || found->second == p_bytes) {
		return;
	}
	_by_size.erase({ found->second, p_id });
	_total = _total - found->second + p_bytes;
	found->second = p_bytes;
	if (p_bytes > 0) {
		_by_size.emplace(p_bytes, p_id);
	}
}

void buffer_budget::remove(buffer_id p_id) {
	set_size(p_id, 0);
	_sizes.erase(p_id);
}

std::optional<buffer_id> buffer_budget::find_excess() const {
	return _total > _max_bytes ? std::optional(_by_size.rbegin()->second) : std::nullopt;
}

} // namespace calicoscale
