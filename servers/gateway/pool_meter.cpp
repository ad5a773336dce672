/*
 * calicoscale: pool_meter.cpp
 * Measures the throughput of a stage pool while work waits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/pool_meter.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Long enough for each replica to complete a few calls. */
constexpr duration MEASURE_WINDOW = std::chrono::milliseconds(800);
/** Minimum share of a window with a backlog for the window to count. */
constexpr double MIN_BACKLOGGED_SHARE = 0.8;
/** Lower bound, because a pool that completed nothing in a window still has some capacity. */
constexpr double MIN_CAPACITY = 0.2;

} // namespace

void pool_meter::tick(const stage_pool_spec &p_spec, std::size_t p_waiting_items, instant p_now) {
	if (_ticked_at != instant{} && p_waiting_items >= p_spec.batch) {
		_backlogged += p_now - _ticked_at;
	}
	_ticked_at = p_now;
	const duration window = p_now - _window_started;
	if (window < MEASURE_WINDOW) {
		return;
	}
	const bool was_backlogged = to_seconds(_backlogged) >= MIN_BACKLOGGED_SHARE * to_seconds(window);
	if (was_backlogged && window < MEASURE_WINDOW * 2) {
		const duration cost = p_spec.piece_time * static_cast<duration::rep>(_completed_items) + p_spec.call_time * static_cast<duration::rep>(_completed_items) / static_cast<duration::rep>(p_spec.batch);
		const double measured = std::max(MIN_CAPACITY, to_seconds(cost) / to_seconds(window));
		_capacity = _capacity ? (*_capacity + measured) / 2.0 : measured;
	} else {
		_capacity.reset();
	}
	_window_started = p_now;
	_backlogged = duration::zero();
	_completed_items = 0;
}

} // namespace calicoscale
