/*
 * calicoscale: exchange_messages.cpp
 * Messages by which one node carries out exchanges with endpoints for another.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/exchange_messages.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<forwarding_end>, 6> FORWARDING_END_NAMES{ {
		{ forwarding_end::NONE, "none" },
		{ forwarding_end::COMPLETE, "complete" },
		{ forwarding_end::CONNECT_FAILED, "connect_failed" },
		{ forwarding_end::BROKEN, "broken" },
		{ forwarding_end::MALFORMED, "malformed" },
		{ forwarding_end::DECLINED, "declined" },
} };

} // namespace

std::string_view get_name(forwarding_end p_end) {
	return find_name(FORWARDING_END_NAMES, p_end);
}

} // namespace calicoscale
