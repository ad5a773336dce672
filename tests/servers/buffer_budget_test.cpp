/*
 * calicoscale: buffer_budget_test.cpp
 * Tests the bound on the memory of many buffers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/buffer_budget.h"

#include <gtest/gtest.h>

namespace calicoscale {

TEST(buffer_budget, gives_up_the_largest_buffer_while_it_is_exceeded) {
	buffer_budget budget(100);
	const buffer_id small = budget.add();
	const buffer_id large = budget.add();
	const buffer_id larger = budget.add();
	budget.set_size(small, 10);
	budget.set_size(large, 40);
	budget.set_size(larger, 50);
	EXPECT_EQ(budget.find_excess(), std::nullopt);
	budget.set_size(small, 11);
	EXPECT_EQ(budget.find_excess(), larger);
	budget.set_size(larger, 0);
	EXPECT_EQ(budget.find_excess(), std::nullopt);
	budget.set_size(large, 95);
	EXPECT_EQ(budget.find_excess(), large);
	EXPECT_EQ(budget.get_total(), 106U);
}

TEST(buffer_budget, a_removed_buffer_takes_nothing) {
	buffer_budget budget(100);
	const buffer_id first = budget.add();
	budget.set_size(first, 200);
	budget.remove(first);
	EXPECT_EQ(budget.get_total(), 0U);
	EXPECT_EQ(budget.find_excess(), std::nullopt);
	budget.set_size(first, 200);
	EXPECT_EQ(budget.get_total(), 0U);
	EXPECT_NE(budget.add(), first);
}

} // namespace calicoscale
