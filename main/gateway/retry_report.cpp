/*
 * calicoscale: retry_report.cpp
 * Log lines and metrics of the limit on repeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/retry_report.h"

namespace calicoscale {

std::string_view get_event_name(const retry_decision &p_decision) {
	return p_decision.is_allowed ? "repeat_allowed" : "repeat_refused";
}

void report_retry_decision(gateway_context &p_context, const retry_decision &p_decision, log_line p_line) {
	p_context.metrics.count(p_decision.is_allowed ? "repeats_allowed" : "repeats_refused");
	p_line.add("requests", static_cast<long long>(p_decision.requests)).add("repeats", static_cast<long long>(p_decision.repeats)).add("limit", static_cast<long long>(p_decision.limit)).add("share_permille", static_cast<long long>(1000.0 * p_decision.share)).add("share_age_ms", p_decision.share_age);
	p_context.log.write_request(p_line);
}

} // namespace calicoscale
