/*
 * calicoscale: concurrency_limit.h
 * How many attempts of this node a pool may hold, adapted by latency and refusals.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONCURRENCY_LIMIT_H
#define CONCURRENCY_LIMIT_H

#include "core/time.h"

namespace calicoscale {

/**
 * Gradient limit: compares recent latency with the best lately seen. While they agree the limit grows by its square
 * root; when latency rises above the tolerance it shrinks in proportion. A refusal shrinks it at once.
 */
class concurrency_limit {
	double _limit;
	double _lowest;
	double _highest;
	double _base_latency = 0.0; ///< Microseconds per usual microsecond; slowly forgets.
	double _recent_latency = 0.0;
	int _in_flight = 0;
	instant _last_cut{};

public:
	/** @param p_start first limit. @param p_lowest never below. @param p_highest never above. */
	concurrency_limit(double p_start, double p_lowest, double p_highest);

	bool has_room() const { return _in_flight < static_cast<int>(_limit); }
	void on_started() { _in_flight++; }

	/** An attempt succeeded. @param p_relative_latency its latency over what is usual for its size. */
	void on_success(double p_relative_latency);

	/** An attempt was refused as too much. */
	void on_refused(instant p_now);

	/** An attempt ended and teaches nothing about load. */
	void on_ended();

	int get_in_flight() const { return _in_flight; }
	double get_limit() const { return _limit; }
};

} // namespace calicoscale

#endif // CONCURRENCY_LIMIT_H
