/*
 * calicoscale: stage_call.cpp
 * Stage work, the calls that carry its items, and their outcomes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_call.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<work_end>, 5> END_NAMES{ {
		{ work_end::DONE, "done" },
		{ work_end::INPUT_LOST, "input_gone" },
		{ work_end::LATE, "late" },
		{ work_end::FAILED, "failed" },
		{ work_end::DROPPED, "dropped" },
} };

} // namespace

std::string_view get_name(work_end p_end) {
	return find_name(END_NAMES, p_end);
}

} // namespace calicoscale
