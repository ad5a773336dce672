/*
 * calicoscale: request_action.cpp
 * Names of cost uses.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/request/request_action.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<cost_use>, 6> USE_NAMES{ {
		{ cost_use::USEFUL, "useful" },
		{ cost_use::RETRIED, "retried" },
		{ cost_use::HEDGED, "hedged" },
		{ cost_use::LATE, "late" },
		{ cost_use::CANCELLED, "cancelled" },
		{ cost_use::FAILED, "failed" },
} };

} // namespace

std::string_view get_name(cost_use p_use) {
	return find_name(USE_NAMES, p_use);
}

cost_use find_cost_use(std::string_view p_name) {
	return find_value(USE_NAMES, p_name).value_or(cost_use::FAILED);
}

} // namespace calicoscale
