/*
 * calicoscale: write_budget_test.cpp
 * Limit on the memory used for output to callers that read slowly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/load/write_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace calicoscale {

TEST(write_budget, hundreds_of_slow_readers_hold_no_more_than_the_whole) {
	constexpr std::size_t MAX_BYTES = 4UL * 1024 * 1024;
	constexpr std::size_t EVENT_BYTES = 1000;
	write_budget budget(MAX_BYTES);
	std::vector<std::size_t> buffered(900, 0);
	for (bool is_any_below_share = true; is_any_below_share;) {
		is_any_below_share = false;
		for (std::size_t &entry : buffered) {
			if (!budget.is_full(entry)) {
				entry += EVENT_BYTES;
				budget.add(EVENT_BYTES);
				is_any_below_share = true;
			}
		}
	}
	EXPECT_LE(budget.get_buffered_bytes(), MAX_BYTES);
	for (const std::size_t entry : buffered) {
		EXPECT_GT(entry, 0U) << "each reader makes progress";
	}
}

TEST(write_budget, a_lone_slow_reader_holds_its_share_at_most) {
	write_budget budget;
	EXPECT_TRUE(budget.is_full(write_budget::MAX_SHARE + 1));
	EXPECT_FALSE(budget.is_full(write_budget::MAX_SHARE));
	EXPECT_FALSE(budget.has_capacity(write_budget::MAX_SHARE));
	EXPECT_TRUE(budget.has_capacity(write_budget::MAX_SHARE / 2));
}

TEST(write_budget, what_was_taken_is_free_again) {
	write_budget budget(1000);
	budget.add(1500);
	EXPECT_TRUE(budget.is_over());
	budget.remove(1500);
	budget.remove(10);
	EXPECT_EQ(budget.get_buffered_bytes(), 0U);
}

} // namespace calicoscale
