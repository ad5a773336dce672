/*
 * calicoscale: endpoint_state.cpp
 * State of one endpoint as this node knows it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/endpoint_state.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace calicoscale {

namespace {

constexpr double SLOWNESS_HALF_LIFE_SECONDS = 4.0;
constexpr double ERROR_HALF_LIFE_SECONDS = 15.0;
constexpr double REPORT_DECAY_SECONDS = 2.0;

} // namespace

std::string to_string(const network_address &p_address) {
	return p_address.host + ":" + std::to_string(p_address.port);
}

network_address parse_network_address(std::string_view p_text) {
	const std::size_t colon = p_text.rfind(':');
	if (colon == std::string_view::npos) {
		return {};
	}
	network_address address;
	address.host = std::string(p_text.substr(0, colon));
	const std::string_view digits = p_text.substr(colon + 1);
	const std::from_chars_result result = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
	if (result.ec != std::errc() || result.ptr != digits.data() + digits.size()) {
		address.port = 0;
	}
	return address;
}

double endpoint_state::get_slowness(instant p_now) const {
	if (p_now <= slowness_at) {
		return slowness;
	}
	const double decay = std::exp2(-to_seconds(p_now - slowness_at) / SLOWNESS_HALF_LIFE_SECONDS);
	return 1.0 + (slowness - 1.0) * decay;
}

double endpoint_state::get_error_share(instant p_now) const {
	if (p_now <= errors_at) {
		return error_share;
	}
	return error_share * std::exp2(-to_seconds(p_now - errors_at) / ERROR_HALF_LIFE_SECONDS);
}

double endpoint_state::get_load(instant p_now) const {
	const double own = static_cast<double>(in_flight);
	if (!has_report) {
		return own;
	}
	const double age = std::max(0.0, to_seconds(p_now - report.taken_at));
	const double others = std::max(0.0, report.running + report.queued - own);
	return own + others * std::exp(-age / REPORT_DECAY_SECONDS);
}

} // namespace calicoscale
