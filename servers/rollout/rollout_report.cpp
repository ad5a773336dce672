/*
 * calicoscale: rollout_report.cpp
 * Counts of a roll-out that nodes add up over the fleet.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/rollout_report.h"

namespace calicoscale {

void rollout_report::add(const rollout_report &p_other) {
	if (p_other.order < order) {
		return;
	}
	if (order < p_other.order) {
		*this = p_other;
		return;
	}
	nodes += p_other.nodes;
	moved += p_other.moved;
	open_at_present += p_other.open_at_present;
	answers.add(p_other.answers);
}

void add_reports(rollout_reports &r_sum, const rollout_reports &p_reports) {
	for (const auto &[service, report] : p_reports) {
		r_sum[service].add(report);
	}
}

} // namespace calicoscale
