/*
 * calicoscale: rollout_course.h
 * How much of a service's work goes to the target of a roll-out, by the time since the order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_COURSE_H
#define ROLLOUT_COURSE_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace calicoscale {

/** Bounds on roll-outs, as the settings give them. */
struct rollout_bounds {
	double exposure_share = 0.1; ///< Of a service's requests that a bad version may get.
	duration rollback = std::chrono::seconds(5); ///< After its 50th bad answer a bad version gets nothing more within this.
};

/**
 * The share is a trial at first and rises to the whole at the end, late enough that a version which turns out bad only then has
 * got less than it may have in all, and early enough that work at the present version can end before the deadline.
 */
class rollout_course {
	rollout_bounds _bounds;
	duration _time;

public:
	/** @param p_time from the order until its deadline. */
	rollout_course(const rollout_bounds &p_bounds, duration p_time) :
			_bounds(p_bounds), _time(p_time) {}

	/** While nothing is known against the version. */
	double get_trial_share() const { return 0.5 * _bounds.exposure_share; }

	/** Since the order, when the share begins to rise. */
	duration get_move_time() const { return _time * 6 / 10; }

	/** From then on until the target gets everything. */
	duration get_rise_time() const;

	/** @param p_moving_for since the share began to rise. */
	double get_share(duration p_moving_for) const;

	/**
	 * Whether a request is one for the target. The same at each node, so that requests of a share are chosen over the whole fleet
	 * without a message, however uneven the nodes' loads are.
	 */
	static bool is_chosen(std::string_view p_request, double p_share);

	/**
	 * Whether an endpoint of the target takes part in the trial. As many do as the share asks for, three at least, so that each is
	 * loaded about as usual and a version that is bad under load shows it.
	 * @param p_endpoints of the target.
	 */
	bool is_on_trial(std::string_view p_endpoint, std::size_t p_endpoints, double p_share) const;
};

} // namespace calicoscale

#endif // ROLLOUT_COURSE_H
