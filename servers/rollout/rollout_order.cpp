/*
 * calicoscale: rollout_order.cpp
 * An operator's order to move a service to another version, and the order's state.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/rollout_order.h"

#include <array>

namespace calicoscale {

std::string_view get_name(rollout_state p_state) {
	static constexpr std::array<std::string_view, static_cast<std::size_t>(rollout_state::COUNT)> NAMES{ "in_progress", "completed", "rolled_back" };
	return NAMES.at(static_cast<std::size_t>(p_state));
}

} // namespace calicoscale
