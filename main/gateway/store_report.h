/*
 * calicoscale: store_report.h
 * Reports how a node uses the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_REPORT_H
#define STORE_REPORT_H

#include "main/gateway/gateway_context.h"

namespace calicoscale {

/** Logs the calls to the store by topic and reason, a line each for every interval with calls, and counts them in the metrics. */
class store_report {
	gateway_context &_context;
	timer _timer;

	void _report();

public:
	explicit store_report(gateway_context &p_context);

	void start();
};

} // namespace calicoscale

#endif // STORE_REPORT_H
