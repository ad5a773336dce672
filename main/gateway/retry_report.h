/*
 * calicoscale: retry_report.h
 * Log lines and metrics of the limit on repeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RETRY_REPORT_H
#define RETRY_REPORT_H

#include "main/gateway/gateway_context.h"
#include "servers/gateway/retry_window.h"

#include <string_view>

namespace calicoscale {

/** Name of the log event of a decision: `repeat_allowed` or `repeat_refused`. */
std::string_view get_event_name(const retry_decision &p_decision);

/** Counts a decision, and logs it with the state of the limit. @param p_line line of the event, with the subject of the decision. */
void report_retry_decision(gateway_context &p_context, const retry_decision &p_decision, log_line p_line);

} // namespace calicoscale

#endif // RETRY_REPORT_H
