/*
 * calicoscale: read_order.cpp
 * Order and pace in which nodes read the store when nobody reads it for them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/read_order.h"

#include "servers/membership/read_rank.h"
#include "servers/membership/store_coverage.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Share of the store's rates for the reads of nodes whose reader does not report. */
constexpr double OWN_READ_SHARE = 0.5;

} // namespace

std::size_t find_read_position(const std::string &p_vm, const std::string &p_zone, const std::vector<std::string> &p_zone_hubs, const std::vector<overlay_node> &p_zone_nodes) {
	std::vector<std::string> remaining = p_zone_hubs;
	const bool is_hub = std::find(remaining.begin(), remaining.end(), p_vm) != remaining.end();
	if (!is_hub) {
		return remaining.size() + find_read_rank(p_vm, p_zone_nodes);
	}
	std::size_t position = 0;
	for (std::string next = choose_reader(p_zone, remaining); next != p_vm; next = choose_reader(p_zone, remaining)) {
		std::erase(remaining, next);
		position++;
	}
	return position;
}

duration get_read_step(const store_rates &p_rates, std::size_t p_zones, double p_bytes) {
	const double seconds_per_read = std::max(p_bytes / p_rates.bytes_per_second, 1.0 / p_rates.reads_per_second) / OWN_READ_SHARE;
	return from_seconds(seconds_per_read * static_cast<double>(std::max<std::size_t>(1, p_zones)));
}

} // namespace calicoscale
