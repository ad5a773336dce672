/*
 * calicoscale: activity_report.h
 * Tells what a node spends its time on.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ACTIVITY_REPORT_H
#define ACTIVITY_REPORT_H

#include "main/gateway/gateway_context.h"

namespace calicoscale {

/** Counts the time of each activity, and logs a node that is busy or did one thing for long. */
class activity_report {
	gateway_context &_context;
	timer _timer;
	instant _since{};

	void _report();
	void _log(const work_sum &p_sum, duration p_window);

public:
	explicit activity_report(gateway_context &p_context);

	void start();
};

} // namespace calicoscale

#endif // ACTIVITY_REPORT_H
