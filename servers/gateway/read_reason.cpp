/*
 * calicoscale: read_reason.cpp
 * Reasons for which a node calls the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/read_reason.h"

#include <array>
#include <cstddef>

namespace calicoscale {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(read_reason::COUNT)> REASON_NAMES = {
	"no_link",
	"reader",
	"reader_silent",
	"not_covered",
	"missed_delta",
	"lists_differ",
	"new_era",
	"history_gone",
	"retry",
	"repeat",
	"stall",
	"node_names",
	"crashes",
	"rollouts",
	"streams",
};

} // namespace

std::string_view get_name(read_reason p_reason) {
	return REASON_NAMES[static_cast<std::size_t>(p_reason)];
}

} // namespace calicoscale
