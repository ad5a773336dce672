/*
 * calicoscale: work_report.cpp
 * Checks that a reported end of stage work belongs to the work that was assigned.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/work_report.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<work_mismatch>, 5> MISMATCH_NAMES{ {
		{ work_mismatch::NONE, "none" },
		{ work_mismatch::END, "end" },
		{ work_mismatch::ATTEMPT, "attempt" },
		{ work_mismatch::STAGE, "stage" },
		{ work_mismatch::RESULT_COUNT, "result_count" },
} };

} // namespace

std::string_view get_name(work_mismatch p_mismatch) {
	return find_name(MISMATCH_NAMES, p_mismatch);
}

work_mismatch find_mismatch(const stage_work &p_assigned, const work_report &p_report) {
	if (p_report.end > static_cast<std::uint8_t>(work_end::DROPPED)) {
		return work_mismatch::END;
	}
	if (!p_report.attempt.empty() && p_report.attempt != p_assigned.attempt) {
		return work_mismatch::ATTEMPT;
	}
	if (!p_report.attempt.empty() && p_report.stage != p_assigned.stage) {
		return work_mismatch::STAGE;
	}
	const bool is_done = static_cast<work_end>(p_report.end) == work_end::DONE;
	return is_done && p_report.result_count != p_assigned.pieces ? work_mismatch::RESULT_COUNT : work_mismatch::NONE;
}

} // namespace calicoscale
