/*
 * calicoscale: hold_up.h
 * How long a process stood still, and whether its VM did.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HOLD_UP_H
#define HOLD_UP_H

#include "core/time.h"

#include <string_view>

namespace calicoscale {

/** The two clocks of a VM at one moment. */
struct clock_reading {
	instant since_boot{}; ///< Counts the time in which the VM was suspended; all decisions go by it.
	instant running{}; ///< Does not count it; only tells a suspension from a pause.
};

/** What kept a process from running. */
enum class hold_up_cause {
	PAUSE, ///< It was stopped, got no processor, or did one thing for long.
	SUSPENSION, ///< Its VM was suspended.
};

/** Name of a cause, e.g. "suspension". */
std::string_view get_name(hold_up_cause p_cause);

/** A time in which the process did not do what was due. */
struct hold_up {
	duration late = duration::zero(); ///< Of the first timer that was due.
	hold_up_cause cause = hold_up_cause::PAUSE;
};

/** Notices that the process stood still. Told the time with each call. */
class hold_up_watch {
	clock_reading _last;

public:
	/** A timer that is later than this is told: what waited meanwhile is explained by it, not by what was sent to this process. */
	static constexpr duration LEAST = std::chrono::milliseconds(100);

	/** The process runs. @param p_late by how much the first timer that is due is late. @return a hold-up, or one that is no longer than nothing. */
	hold_up note(const clock_reading &p_now, duration p_late);
};

} // namespace calicoscale

#endif // HOLD_UP_H
