/*
 * calicoscale: version_history.cpp
 * All answers since an order, including those counted by nodes that have failed since.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_history.h"

namespace calicoscale {

namespace {

/** Long enough that a window's sums have reached all nodes and were stable for MIN_STABLE_TIME by the end of the next window. */
constexpr duration WINDOW_LENGTH = std::chrono::seconds(2);
/** A sum counts once it was not lower for this time. A node that changes its hub is in the sums of both hubs for less than this. */
constexpr duration MIN_STABLE_TIME = std::chrono::milliseconds(600);

} // namespace

void version_history::advance_to(duration p_age) {
	advance_to(static_cast<std::uint32_t>(p_age / WINDOW_LENGTH));
}

void version_history::advance_to(std::uint32_t p_index) {
	if (p_index <= get_index()) {
		return;
	}
	_past.add(_stable.get_previous().get_cells());
	if (p_index - get_index() > 1) {
		_past.add(_stable.get_current().get_cells());
	}
	_stable.advance_to(p_index);
	_latest.advance_to(p_index);
}

void version_history::set_total(const version_windows &p_total, instant p_now) {
	advance_to(p_total.get_index());
	_latest = p_total;
	_latest.advance_to(get_index());
	for (minimum_sum &sum : _minimum_sums) {
		sum.minimum.lower_to(_latest);
	}
	if (!_minimum_sums.empty() && p_now - _minimum_sums.front().since >= MIN_STABLE_TIME) {
		_stable.raise_to(_minimum_sums.front().minimum);
		_minimum_sums.pop_front();
	}
	if (_minimum_sums.empty() || p_now - _minimum_sums.back().since >= MIN_STABLE_TIME / 2) {
		_minimum_sums.push_back(minimum_sum{ _latest, p_now });
	}
}

void version_history::merge_past(const version_tally &p_past, std::uint32_t p_index) {
	advance_to(p_index);
	_past.raise_to(p_past);
}

version_tally version_history::get_all() const {
	version_windows open = _stable;
	open.raise_to(_latest);
	version_tally all = _past;
	all.add(open.get_previous().get_cells());
	all.add(open.get_current().get_cells());
	return all;
}

} // namespace calicoscale
