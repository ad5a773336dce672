/*
 * calicoscale: store_traffic.cpp
 * Counts the calls of a node to the store by topic and reason.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/store_traffic.h"

#include <algorithm>

namespace calicoscale {

void store_traffic::add_call(const std::string &p_topic, read_reason p_reason, int p_status, std::size_t p_bytes, duration p_took) {
	constexpr int FIRST_SUCCESS = 200;
	constexpr int FIRST_ERROR = 300;
	store_traffic_sum &sum = _sums[key(p_topic, p_reason)];
	sum.calls++;
	sum.bytes += p_bytes;
	sum.longest = std::max(sum.longest, p_took);
	if (p_status == 0) {
		sum.unanswered++;
	} else if (p_status >= FIRST_SUCCESS && p_status < FIRST_ERROR) {
		sum.answered++;
	} else {
		sum.refused++;
	}
}

void store_traffic::add_unused(const std::string &p_topic, read_reason p_reason, std::size_t p_bytes) {
	_sums[key(p_topic, p_reason)].unused_bytes += p_bytes;
}

} // namespace calicoscale
