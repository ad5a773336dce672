/*
 * calicoscale: activity_report.h
 * Reports how a node uses its processor time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ACTIVITY_REPORT_H
#define ACTIVITY_REPORT_H

#include "main/gateway/gateway_context.h"

namespace calicoscale {

/** Counts the time of each activity, and writes a log line when the node is busy or a single turn of the event loop was long. */
class activity_report {
	gateway_context &_context;
	timer _timer;
	instant _window_began_at{};

	void _report();
	void _log(const work_sum &p_sum, duration p_window);

public:
	explicit activity_report(gateway_context &p_context);

	void start();
};

} // namespace calicoscale

#endif // ACTIVITY_REPORT_H
