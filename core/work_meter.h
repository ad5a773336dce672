/*
 * calicoscale: work_meter.h
 * What an event loop spent its time on.
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

/** Time and number of one activity. */
struct work_amount {
	duration time = duration::zero();
	std::uint64_t count = 0;
};

/** What was done since the last time it was asked. */
struct work_sum {
	std::array<work_amount, ACTIVITY_COUNT> amounts{};
	duration busy = duration::zero();
	duration longest = duration::zero(); ///< Of all that ran without a return to the loop.
	activity longest_by = activity::TIMERS; ///< What it began with.

	const work_amount &get(activity p_activity) const { return amounts[static_cast<std::size_t>(p_activity)]; }
};

/**
 * Books time to activities. One that runs within another has its time to itself; the outer one goes on afterwards. Told the time
 * with each call.
 */
class work_meter {
	std::vector<activity> _open; ///< Innermost last.
	instant _booked_until{};
	instant _begun_at{}; ///< Of the outermost.
	work_sum _sum;

	void _book(instant p_now);

public:
	void begin(activity p_activity, instant p_now);
	void end(instant p_now);

	/** Hands out the sum and begins anew. */
	work_sum take();
};

} // namespace calicoscale

#endif // WORK_METER_H
