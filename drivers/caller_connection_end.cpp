/*
 * calicoscale: caller_connection_end.cpp
 * Why a server ended a caller's connection, and input that arrived after the end.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/caller_connection_end.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<std::string_view, 7> END_NAMES{ "rested", "stopping", "last_answer", "rejected", "broken_off", "stalled", "overloaded" };

} // namespace

std::string_view get_name(connection_end p_end) {
	return END_NAMES[static_cast<std::size_t>(p_end)];
}

} // namespace calicoscale
