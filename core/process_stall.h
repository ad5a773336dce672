/*
 * calicoscale: process_stall.h
 * Detects that the process was stalled, and whether its VM was suspended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROCESS_STALL_H
#define PROCESS_STALL_H

#include "core/time.h"

#include <string_view>

namespace calicoscale {

/** Values of the two monotonic clocks of a VM, read at the same moment. */
struct clock_reading {
	instant since_boot{}; ///< Includes time in which the VM was suspended; all decisions use this clock.
	instant running{}; ///< Excludes time in which the VM was suspended; used only to distinguish a suspension from a pause.
};

/** Why a process was stalled. */
enum class stall_cause {
	PAUSE, ///< The process was stopped, got no processor time, or ran one callback for long.
	SUSPENSION, ///< The VM was suspended.
};

/** Name of a cause, e.g. "suspension". */
std::string_view get_name(stall_cause p_cause);

/** A process stall: a period in which the process did not run timers that were due. */
struct process_stall {
	duration late = duration::zero(); ///< Delay of the timer that was due first; zero when there was no stall.
	stall_cause cause = stall_cause::PAUSE;
};

/** Detects process stalls. The caller passes the current time. */
class stall_detector {
	clock_reading _last;

public:
	/** Minimum delay of a timer that counts as a stall. Input that waited for such a time did so because of the stall, not because it was sent late. */
	static constexpr duration MIN_STALL = std::chrono::milliseconds(100);

	/** Records that the process runs. @param p_late delay of the timer that is due first. @return the stall; its delay is zero when there was none. */
	process_stall note(const clock_reading &p_now, duration p_late);
};

} // namespace calicoscale

#endif // PROCESS_STALL_H
