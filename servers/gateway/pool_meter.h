/*
 * calicoscale: pool_meter.h
 * Measures the throughput of a stage pool while work waits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef POOL_METER_H
#define POOL_METER_H

#include "servers/gateway/gateway_configuration.h"

#include <cstddef>
#include <optional>

namespace calicoscale {

/**
 * Measures the capacity of a pool in time windows in which work waited nearly all the time, so that partly filled calls,
 * lack of memory for results and slow replicas are accounted for. Without a backlog the throughput does not show the capacity.
 */
class pool_meter {
	instant _window_started{};
	instant _ticked_at{};
	duration _backlogged = duration::zero(); ///< Time within the window in which at least one full call of items waited.
	std::size_t _completed_items = 0; ///< Items completed in the window.
	std::optional<double> _capacity;

public:
	/** Counts a completed item. */
	void on_item_completed() { _completed_items++; }

	/** Closes the window when it is over. Must be called regularly. */
	void tick(const stage_pool_spec &p_spec, std::size_t p_waiting_items, instant p_now);

	/** Returns the capacity in typical replicas that run full calls; empty when the last window had no backlog. */
	std::optional<double> get_capacity() const { return _capacity; }
};

} // namespace calicoscale

#endif // POOL_METER_H
