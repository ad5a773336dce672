/*
 * calicoscale: work_report.h
 * Checks that a reported end of stage work belongs to the work that was assigned.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef WORK_REPORT_H
#define WORK_REPORT_H

#include "servers/gateway/stage_call.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace calicoscale {

/** End of assigned work, as its dispatcher reports it. */
struct work_report {
	std::uint8_t end = 0; ///< A work_end; other values are invalid.
	std::string attempt; ///< Attempt of the work; empty if the dispatcher does not report it.
	std::size_t stage = 0;
	std::size_t result_count = 0;
};

/** Difference between a report and the work that was assigned. */
enum class work_mismatch {
	NONE,
	END, ///< The outcome is invalid.
	ATTEMPT, ///< The work of another request.
	STAGE, ///< Another stage of the request.
	RESULT_COUNT, ///< The number of results differs from that of the items.
};

/** Name for logs, e.g. "result_count". */
std::string_view get_name(work_mismatch p_mismatch);

/** Returns the first difference between a report and the work that was assigned. */
work_mismatch find_mismatch(const stage_work &p_assigned, const work_report &p_report);

} // namespace calicoscale

#endif // WORK_REPORT_H
