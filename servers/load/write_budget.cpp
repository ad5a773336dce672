/*
 * calicoscale: write_budget.cpp
 * Limits the memory used for output to callers that read slowly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/load/write_budget.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** A connection may buffer this fraction of the free capacity, so that at least as many connections can do so before it is used up. */
constexpr std::size_t FREE_CAPACITY_PARTS = 16;

} // namespace

std::size_t write_budget::get_share() const {
	const std::size_t free_bytes = _max_bytes - std::min(_max_bytes, _buffered_bytes);
	return std::clamp(free_bytes / FREE_CAPACITY_PARTS, MIN_SHARE, MAX_SHARE);
}

} // namespace calicoscale
