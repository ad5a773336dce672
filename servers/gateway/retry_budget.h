/*
 * calicoscale: retry_budget.h
 * Limit on the repeats of one node, by service.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "servers/gateway/retry_window.h"
#include "servers/gateway/slack_share.h"

#include <map>
#include <string>

namespace calicoscale {

/** Windows of the services to which a node sends, which have the same part of the slack. The caller passes the current time. */
class retry_budget {
	retry_bounds _bounds;
	slack_share _share;
	std::map<std::string, retry_window> _windows;

public:
	explicit retry_budget(const retry_bounds &p_bounds) :
			_bounds(p_bounds) {}

	/** Sets the part of the slack that this node may use, from 0 to 1. */
	void set_part(double p_part, instant p_now) { _share.set_part(p_part, p_now); }

	/** Counts a request for a service. */
	void on_request(const std::string &p_service, instant p_now);

	/** Decides on a repeat to a service, and counts it if it is allowed. */
	retry_decision try_repeat(const std::string &p_service, instant p_now);
};

} // namespace calicoscale

#endif // RETRY_BUDGET_H
