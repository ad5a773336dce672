/*
 * calicoscale: concurrency_limit.h
 * Adaptive limit on this node's concurrent attempts at a pool, from latency and refusals.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONCURRENCY_LIMIT_H
#define CONCURRENCY_LIMIT_H

#include "core/time.h"

namespace calicoscale {

/**
 * Adaptive concurrency limit by latency gradient. Compares the recent latency with a baseline that follows the lowest latency.
 * While the recent latency is within the tolerance, the limit grows towards limit + sqrt(limit); above it, the limit shrinks in
 * proportion. A refusal shrinks it immediately.
 */
class concurrency_limit {
	double _limit;
	double _min_limit;
	double _max_limit;
	double _base_latency = 0.0; ///< Baseline of the relative latency; falls fast and rises slowly.
	double _recent_latency = 0.0; ///< Moving average of the relative latency.
	int _in_flight = 0;
	instant _last_decrease{};

public:
	/**
	 * @param p_start initial limit.
	 * @param p_min_limit lower bound of the limit.
	 * @param p_max_limit upper bound of the limit.
	 */
	concurrency_limit(double p_start, double p_min_limit, double p_max_limit);

	/** Returns whether one more attempt may start. */
	bool has_capacity() const { return _in_flight < static_cast<int>(_limit); }
	void on_started() { _in_flight++; }

	/** Records a successful attempt. @param p_relative_latency its latency divided by the typical one for its size. */
	void on_success(double p_relative_latency);

	/** Records an attempt that was refused because of overload. */
	void on_refused(instant p_now);

	/** Records the end of an attempt whose outcome says nothing about load. */
	void on_ended();

	int get_in_flight() const { return _in_flight; }
	double get_limit() const { return _limit; }
};

} // namespace calicoscale

#endif // CONCURRENCY_LIMIT_H
