/*
 * calicoscale: retry_window.h
 * Limits the repeated sends of all nodes to one service within a sliding window.
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

/** Limits on repeated sends that apply to all nodes together. */
struct retry_bounds {
	double ratio = 0.2; ///< Maximum number of repeated sends per request.
	double slack = 50.0; ///< Repeats in a window in addition to the ratio, all nodes together.
	duration window = std::chrono::seconds(10);
};

/** Outcome of a request for a repeat, with the state of the limit that decided it. */
struct retry_decision {
	bool is_allowed = false;
	double requests = 0.0; ///< Requests in the window.
	double repeats = 0.0; ///< Earlier repeats in the window.
	double limit = 0.0; ///< Maximum number of repeats in the window.
};

/**
 * Counts requests and repeats to one service in buckets of a tenth of the window. A node uses only its share of the slack
 * and not all of the ratio, because the repeats of nodes that crashed are no longer counted by any node.
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
	/** Counts a request for the service. */
	void on_request(const retry_bounds &p_bounds, instant p_now);

	/**
	 * Decides on a repeat, and counts it if the limit of the window allows it.
	 * @param p_nodes number of live nodes that share the limits.
	 */
	retry_decision try_repeat(const retry_bounds &p_bounds, std::size_t p_nodes, instant p_now);
};

} // namespace calicoscale

#endif // RETRY_WINDOW_H
