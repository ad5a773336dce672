/*
 * calicoscale: rollout_report.h
 * What nodes count of a roll-out, so that sums over the fleet can be told.
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

/** Of one node, or of several together. */
struct rollout_report {
	log_position order; ///< Reports of another order count for nothing.
	std::uint32_t nodes = 0;
	std::uint32_t moved = 0; ///< Nodes that send to the target alone.
	std::uint32_t open_at_present = 0; ///< Requests and calls at work at endpoints of the present version.
	version_windows answers;

	/** Adds a report of the same order; one of a later order replaces this one. */
	void add(const rollout_report &p_other);
};

/** By service. */
using rollout_reports = std::map<std::string, rollout_report>;

/** Adds reports service by service. */
void add_reports(rollout_reports &r_sum, const rollout_reports &p_reports);

} // namespace calicoscale

#endif // ROLLOUT_REPORT_H
