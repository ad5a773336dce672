/*
 * calicoscale: rollout_report.h
 * Counts of a roll-out that nodes add up over the fleet.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_REPORT_H
#define ROLLOUT_REPORT_H

#include "core/log_position.h"
#include "servers/rollout/version_windows.h"

#include <cstdint>
#include <map>
#include <string>

namespace calicoscale {

/** Counts of one node, or the sum over several. */
struct rollout_report {
	log_position order; ///< Log position of the order that this report belongs to. Reports of different orders aren't added up.
	std::uint32_t nodes = 0; ///< Nodes whose counts are included.
	std::uint32_t moved = 0; ///< Nodes that send to the target only.
	std::uint32_t open_at_present = 0; ///< Open requests and calls at endpoints of the current version.
	version_windows answers;

	/** Adds a report of the same order; one of a later order replaces this one, one of an earlier order is ignored. */
	void add(const rollout_report &p_other);
};

/** Reports by service. */
using rollout_reports = std::map<std::string, rollout_report>;

/** Adds reports service by service. */
void add_reports(rollout_reports &r_sum, const rollout_reports &p_reports);

} // namespace calicoscale

#endif // ROLLOUT_REPORT_H
