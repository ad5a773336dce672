/*
 * calicoscale: version_record.cpp
 * All answers since an order, also those that nodes counted which are gone.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_record.h"

namespace calicoscale {

namespace {

/** Sums reach all nodes and have lasted within one more window. */
constexpr duration WINDOW = std::chrono::seconds(2);
/** A node that goes from one hub to another is in the sums of both for less than this. */
constexpr duration LASTING = std::chrono::milliseconds(600);

} // namespace

void version_record::advance_to(duration p_age) {
	advance_to(static_cast<std::uint32_t>(p_age / WINDOW));
}

void version_record::advance_to(std::uint32_t p_index) {
	if (p_index <= get_index()) {
		return;
	}
	_past.add(_kept.get_previous().get_cells());
	if (p_index - get_index() > 1) {
		_past.add(_kept.get_current().get_cells());
	}
	_kept.advance_to(p_index);
	_latest.advance_to(p_index);
}

void version_record::take_total(const version_windows &p_total, instant p_now) {
	advance_to(p_total.get_index());
	_latest = p_total;
	_latest.advance_to(get_index());
	for (lasting_sum &sum : _lasting) {
		sum.least.lower_to(_latest);
	}
	if (!_lasting.empty() && p_now - _lasting.front().since >= LASTING) {
		_kept.raise_to(_lasting.front().least);
		_lasting.pop_front();
	}
	if (_lasting.empty() || p_now - _lasting.back().since >= LASTING / 2) {
		_lasting.push_back(lasting_sum{ _latest, p_now });
	}
}

void version_record::take_past(const version_tally &p_past, std::uint32_t p_index) {
	advance_to(p_index);
	_past.raise_to(p_past);
}

version_tally version_record::get_all() const {
	version_windows open = _kept;
	open.raise_to(_latest);
	version_tally all = _past;
	all.add(open.get_previous().get_cells());
	all.add(open.get_current().get_cells());
	return all;
}

} // namespace calicoscale
