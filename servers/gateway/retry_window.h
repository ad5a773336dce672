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
	double share = 0.0; ///< Part of the fleet's slack that the node has, from 0 to 1.
	duration share_age = duration::zero(); ///< Time for which the node has had its part of the slack.
};

/**
 * Counts requests and repeats to one service in buckets of a tenth of the window. A node does not use all of the ratio, because
 * the repeats of processes that crashed are no longer counted by any node.
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
	 * @param p_slack repeats in a window that are allowed in addition to the ratio.
	 */
	retry_decision try_repeat(const retry_bounds &p_bounds, double p_slack, instant p_now);
};

} // namespace calicoscale

#endif // RETRY_WINDOW_H
