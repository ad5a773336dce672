/*
 * calicoscale: retry_window.cpp
 * Limits the repeated sends of all nodes to one service within a sliding window.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/retry_window.h"

namespace calicoscale {

namespace {

/** Share of the ratio that is used. The remainder covers repeats of processes that crashed since. */
constexpr double USED_RATIO_SHARE = 0.6;
constexpr long BUCKETS_PER_WINDOW = 10;

long get_index(const retry_bounds &p_bounds, instant p_now) {
	return static_cast<long>(p_now.time_since_epoch() / (p_bounds.window / BUCKETS_PER_WINDOW));
}

} // namespace

retry_window::bucket &retry_window::_get_bucket(const retry_bounds &p_bounds, instant p_now) {
	const long index = get_index(p_bounds, p_now);
	bucket &current = _buckets[static_cast<std::size_t>(index) % BUCKETS];
	if (current.index != index) {
		current = bucket{ index, 0.0, 0.0 };
	}
	return current;
}

void retry_window::on_request(const retry_bounds &p_bounds, instant p_now) {
	_get_bucket(p_bounds, p_now).requests += 1.0;
}

retry_decision retry_window::try_repeat(const retry_bounds &p_bounds, double p_slack, instant p_now) {
	const long oldest = get_index(p_bounds, p_now) - BUCKETS_PER_WINDOW;
	retry_decision decision;
	for (const bucket &entry : _buckets) {
		if (entry.index >= oldest) {
			decision.requests += entry.requests;
			decision.repeats += entry.repeats;
		}
	}
	decision.limit = USED_RATIO_SHARE * p_bounds.ratio * decision.requests + p_slack;
	decision.is_allowed = decision.repeats + 1.0 <= decision.limit;
	if (decision.is_allowed) {
		_get_bucket(p_bounds, p_now).repeats += 1.0;
	}
	return decision;
}

} // namespace calicoscale
