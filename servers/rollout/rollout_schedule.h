/*
 * calicoscale: rollout_schedule.h
 * Share of a service's work that goes to the target of a roll-out, as a function of the time since the order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_SCHEDULE_H
#define ROLLOUT_SCHEDULE_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace calicoscale {

/** Bounds on roll-outs, from the settings. */
struct rollout_bounds {
	double exposure_share = 0.1; ///< Share of a service's requests that a bad version may get.
	duration rollback = std::chrono::seconds(5); ///< Time after its 50th bad answer within which a bad version must stop getting work.
};

/**
 * The share is small during the canary phase and then rises to 1. It rises late enough that a version which turns bad only then
 * has got less than its allowed exposure, and early enough that work at the current version can finish before the deadline.
 */
class rollout_schedule {
	rollout_bounds _bounds;
	duration _time;

public:
	/** @param p_time time from the order until its deadline. */
	rollout_schedule(const rollout_bounds &p_bounds, duration p_time) :
			_bounds(p_bounds), _time(p_time) {}

	/** Returns the target's share during the canary phase: half of a bad version's allowed exposure. */
	double get_canary_share() const { return 0.5 * _bounds.exposure_share; }

	/** Returns the time from the order until the share begins to rise. */
	duration get_rise_start() const { return _time * 6 / 10; }

	/** Returns the time that the share takes to rise to 1. */
	duration get_rise_time() const;

	/** Returns the target's share. @param p_rising_for time since the share began to rise. */
	double get_share(duration p_rising_for) const;

	/**
	 * Returns whether a request is selected for the target. The result is the same at each node, so the share holds over the
	 * whole fleet without messages, however uneven the nodes' loads are.
	 */
	static bool is_chosen(std::string_view p_request, double p_share);

	/**
	 * Returns whether an endpoint of the target gets work in the canary phase. The number of such endpoints follows from the
	 * share, with about three at least, so that each has about its normal load and a version that fails under load shows it.
	 * @param p_endpoints number of endpoints of the target.
	 */
	bool is_canary_endpoint(std::string_view p_endpoint, std::size_t p_endpoints, double p_share) const;
};

} // namespace calicoscale

#endif // ROLLOUT_SCHEDULE_H
