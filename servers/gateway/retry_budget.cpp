/*
 * calicoscale: retry_budget.cpp
 * Limit on the repeats of one node, by service.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/retry_budget.h"

namespace calicoscale {

void retry_budget::on_request(const std::string &p_service, instant p_now) {
	_windows[p_service].on_request(_bounds, p_now);
}

retry_decision retry_budget::try_repeat(const std::string &p_service, instant p_now) {
	retry_decision decision = _windows[p_service].try_repeat(_bounds, _share.get_slack(_bounds, p_now), p_now);
	decision.share = _share.get_part();
	decision.share_age = _share.get_age(p_now);
	return decision;
}

} // namespace calicoscale
