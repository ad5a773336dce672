/*
 * calicoscale: work_meter.h
 * Accounts the processor time of an event loop by activity.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef WORK_METER_H
#define WORK_METER_H

#include "core/activity.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace calicoscale {

/** Time and number of runs of one activity. */
struct work_amount {
	duration time = duration::zero();
	std::uint64_t count = 0;
};

/** Amounts of all activities since the last call of work_meter::take(). */
struct work_sum {
	std::array<work_amount, ACTIVITY_COUNT> amounts{};
	duration busy = duration::zero();
	duration longest = duration::zero(); ///< Longest time that ran without a return to the event loop.
	activity longest_by = activity::TIMERS; ///< Outermost activity of that run.

	const work_amount &get(activity p_activity) const { return amounts[static_cast<std::size_t>(p_activity)]; }
};

/**
 * Attributes time to activities. Activities nest: the time of an inner activity isn't attributed to the outer one, which continues
 * afterwards. The caller passes the current time.
 */
class work_meter {
	std::vector<activity> _open; ///< Running activities, innermost last.
	instant _accounted_until{}; ///< End of the time that is already added to _sum.
	instant _begun_at{}; ///< Start of the outermost activity.
	work_sum _sum;

	void _book(instant p_now);

public:
	void begin(activity p_activity, instant p_now);
	void end(instant p_now);

	/** Returns the amounts since the last call and resets them. */
	work_sum take();
};

} // namespace calicoscale

#endif // WORK_METER_H
