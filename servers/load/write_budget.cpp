/*
 * calicoscale: write_budget.cpp
 * Bounds what a node holds for callers that read slowly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/load/write_budget.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Connections that may each take as much as the newest one, before the whole is used up. */
constexpr std::size_t PARTS_OF_REST = 16;

} // namespace

std::size_t write_budget::get_share() const {
	const std::size_t rest = _most - std::min(_most, _held);
	return std::clamp(rest / PARTS_OF_REST, LEAST_SHARE, LARGEST_SHARE);
}

} // namespace calicoscale
