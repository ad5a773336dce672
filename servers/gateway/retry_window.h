/*
 * calicoscale: retry_window.h
 * Bounds the repeats of all nodes at one service by a sliding window.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H

#include "core/time.h"

#include <array>
#include <cstddef>

namespace calicoscale {

/** Bounds on repeated sends that hold for all nodes together. */
struct retry_bounds {
	double ratio = 0.2; ///< Repeats for each request.
	double slack = 50.0; ///< Repeats in a window beyond the ratio, all nodes together.
	duration window = std::chrono::seconds(10);
};

/**
 * Counts requests and repeats at one service in buckets of a tenth of the window. A node spends only its part of the
 * slack, and only part of the ratio, as nodes that died have spent some that nobody remembers.
 */
class retry_window {
	static constexpr std::size_t BUCKETS = 12;

	struct bucket {
		long index = -1;
		double requests = 0.0;
		double repeats = 0.0;
	};

	std::array<bucket, BUCKETS> _buckets;

	bucket &_get_bucket(const retry_bounds &p_bounds, instant p_now);

public:
	/** A request for the service came in. */
	void on_request(const retry_bounds &p_bounds, instant p_now);

	/** Takes the right to send once more; false when the window's is used up. @param p_nodes live nodes that share the bounds. */
	bool try_repeat(const retry_bounds &p_bounds, std::size_t p_nodes, instant p_now);
};

} // namespace calicoscale

#endif // RETRY_WINDOW_H
