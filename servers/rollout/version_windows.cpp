/*
 * calicoscale: version_windows.cpp
 * Answers in the two latest time windows since an order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_windows.h"

#include <utility>

namespace calicoscale {

void version_windows::advance_to(std::uint32_t p_index) {
	if (p_index <= _index) {
		return;
	}
	_previous = p_index - _index == 1 ? std::exchange(_current, version_tally()) : version_tally();
	_current = version_tally();
	_index = p_index;
}

void version_windows::add(version_windows p_other) {
	advance_to(p_other._index);
	p_other.advance_to(_index);
	_current.add(p_other._current.get_cells());
	_previous.add(p_other._previous.get_cells());
}

void version_windows::raise_to(version_windows p_other) {
	advance_to(p_other._index);
	p_other.advance_to(_index);
	_current.raise_to(p_other._current);
	_previous.raise_to(p_other._previous);
}

void version_windows::lower_to(version_windows p_other) {
	advance_to(p_other._index);
	p_other.advance_to(_index);
	_current.lower_to(p_other._current);
	_previous.lower_to(p_other._previous);
}

} // namespace calicoscale
