/*
 * calicoscale: process_stall.cpp
 * Detects that the process was stalled, and whether its VM was suspended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/process_stall.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<stall_cause>, 2> CAUSE_NAMES{ {
		{ stall_cause::PAUSE, "pause" },
		{ stall_cause::SUSPENSION, "suspension" },
} };

} // namespace

std::string_view get_name(stall_cause p_cause) {
	return find_name(CAUSE_NAMES, p_cause);
}

process_stall stall_detector::note(const clock_reading &p_now, duration p_late) {
	const clock_reading last = _last;
	_last = p_now;
	if (p_late < MIN_STALL || last.since_boot == instant{}) {
		return {};
	}
	const duration suspended = (p_now.since_boot - last.since_boot) - (p_now.running - last.running);
	// A process may also be paused around a suspension of its VM. The stall counts as a suspension when the VM was suspended for more than half of it.
	return process_stall{ p_late, suspended * 2 > p_late ? stall_cause::SUSPENSION : stall_cause::PAUSE };
}

} // namespace calicoscale
