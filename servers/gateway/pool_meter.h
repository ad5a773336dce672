/*
 * calicoscale: pool_meter.h
 * What a stage pool is seen to do while work waits.
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
 * Measures a pool's capacity in windows in which work waited nearly all the time: calls that are not full, lack of room and
 * slow replicas all show there. Without a backlog nothing can be told.
 */
class pool_meter {
	instant _window_started{};
	instant _ticked_at{};
	duration _backlogged = duration::zero(); ///< Part of the window in which a call's pieces waited.
	std::size_t _made = 0; ///< Pieces made in the window.
	std::optional<double> _capacity;

public:
	/** A piece was made. */
	void on_made() { _made++; }

	/** Lets time pass. */
	void tick(const stage_pool_spec &p_spec, std::size_t p_waiting_pieces, instant p_now);

	/** In usual replicas whose calls are full; empty when the last window had no backlog. */
	std::optional<double> get_capacity() const { return _capacity; }
};

} // namespace calicoscale

#endif // POOL_METER_H
