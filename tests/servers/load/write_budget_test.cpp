/*
 * calicoscale: write_budget_test.cpp
 * What a node holds for callers that read slowly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/load/write_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace calicoscale {

TEST(write_budget, hundreds_of_slow_readers_hold_no_more_than_the_whole) {
	constexpr std::size_t MOST = 4UL * 1024 * 1024;
	constexpr std::size_t EVENT = 1000;
	write_budget budget(MOST);
	std::vector<std::size_t> held(900, 0);
	for (bool is_any_open = true; is_any_open;) {
		is_any_open = false;
		for (std::size_t &entry : held) {
			if (!budget.is_full(entry)) {
				entry += EVENT;
				budget.add(EVENT);
				is_any_open = true;
			}
		}
	}
	EXPECT_LE(budget.get_held(), MOST);
	for (const std::size_t entry : held) {
		EXPECT_GT(entry, 0U) << "each goes on";
	}
}

TEST(write_budget, a_lone_slow_reader_holds_its_share_at_most) {
	write_budget budget;
	EXPECT_TRUE(budget.is_full(write_budget::LARGEST_SHARE + 1));
	EXPECT_FALSE(budget.is_full(write_budget::LARGEST_SHARE));
	EXPECT_FALSE(budget.has_room(write_budget::LARGEST_SHARE));
	EXPECT_TRUE(budget.has_room(write_budget::LARGEST_SHARE / 2));
}

TEST(write_budget, what_was_taken_is_free_again) {
	write_budget budget(1000);
	budget.add(1500);
	EXPECT_TRUE(budget.is_over());
	budget.remove(1500);
	budget.remove(10);
	EXPECT_EQ(budget.get_held(), 0U);
}

} // namespace calicoscale
