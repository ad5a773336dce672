/*
 * calicoscale: home_regions.cpp
 * Regions that a request and its body must not leave.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/home_regions.h"

#include <algorithm>

namespace calicoscale {

bool is_same_region(const std::string &p_left, const std::string &p_right, const std::map<std::string, std::string> &p_regions) {
	const auto left = p_regions.find(p_left);
	const auto right = p_regions.find(p_right);
	return left == p_regions.end() || right == p_regions.end() || left->second == right->second;
}

home_regions::home_regions(const std::vector<std::string> &p_route_regions, const std::vector<std::string> &p_customer_regions) :
		_is_bound(!p_route_regions.empty() || !p_customer_regions.empty()) {
	if (p_route_regions.empty() || p_customer_regions.empty()) {
		_regions = p_route_regions.empty() ? p_customer_regions : p_route_regions;
		return;
	}
	std::copy_if(p_route_regions.begin(), p_route_regions.end(), std::back_inserter(_regions), [&p_customer_regions](const std::string &p_region) {
		return std::find(p_customer_regions.begin(), p_customer_regions.end(), p_region) != p_customer_regions.end();
	});
}

bool home_regions::admits(const std::string &p_zone, const std::map<std::string, std::string> &p_regions) const {
	if (!_is_bound) {
		return true;
	}
	const auto found = p_regions.find(p_zone);
	return found != p_regions.end() && std::find(_regions.begin(), _regions.end(), found->second) != _regions.end();
}

} // namespace calicoscale
