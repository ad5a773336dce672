/*
 * calicoscale: list_budget_test.cpp
 * Link capacity that a restarting fleet uses to send its nodes the list of endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/list_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace calicoscale {

namespace {

constexpr double SMALL_LINK_BYTES = 10e6 / 8.0;
constexpr double LARGE_LINK_BYTES = 200e6 / 8.0;

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(p_ms);
}

} // namespace

TEST(list_budget, a_small_node_that_all_others_ask_keeps_half_of_its_link) {
	constexpr std::size_t LIST_BYTES = 300'000;
	list_budget budget(SMALL_LINK_BYTES);
	std::size_t sent_bytes = 0;
	// Each of 300 peers sends five heartbeats a second and isn't ready for ten seconds.
	for (int ms = 0; ms < 10'000; ms += 200) {
		for (int peer = 0; peer < 300; peer++) {
			sent_bytes += budget.try_send("n" + std::to_string(peer), 1, LIST_BYTES, at_ms(ms)) ? LIST_BYTES : 0;
		}
	}
	EXPECT_LE(static_cast<double>(sent_bytes), SMALL_LINK_BYTES * 10.0 * 0.5 + 2.0 * LIST_BYTES);
	EXPECT_GE(static_cast<double>(sent_bytes), SMALL_LINK_BYTES * 10.0 * 0.4) << "the budget is used up, as nodes that got the list send it to others";
}

TEST(list_budget, a_fleet_of_300_knows_3000_endpoints_within_a_second_of_the_first_that_does) {
	constexpr std::size_t LIST_BYTES = 300'000;
	constexpr int NODES = 300;
	std::vector<list_budget> budgets;
	std::vector<int> known_at(NODES, -1);
	for (int node = 0; node < NODES; node++) {
		budgets.emplace_back(node < 6 ? LARGE_LINK_BYTES : SMALL_LINK_BYTES);
	}
	known_at[0] = 0;
	int known = 1;
	int ms = 0;
	for (; known < NODES && ms < 10'000; ms += 20) {
		for (int sender = 0; sender < NODES; sender++) {
			const int list_known_at = known_at[sender];
			for (int peer = 0; list_known_at >= 0 && list_known_at <= ms && peer < NODES; peer++) {
				// The large nodes are linked to all nodes; the others only to the large ones.
				const bool is_linked = sender < 6 || peer < 6;
				if (known_at[peer] < 0 && is_linked && budgets[sender].try_send(std::to_string(peer), 1, LIST_BYTES, at_ms(ms))) {
					const double link_bytes = sender < 6 ? LARGE_LINK_BYTES : SMALL_LINK_BYTES;
					known_at[peer] = ms + static_cast<int>(2.0 * LIST_BYTES / link_bytes * 1000.0);
					known++;
				}
			}
		}
	}
	EXPECT_LE(ms, 2000);
}

TEST(list_budget, a_peer_is_told_once_and_again_only_later_or_after_its_next_start) {
	list_budget budget(LARGE_LINK_BYTES);
	EXPECT_TRUE(budget.try_send("a", 1, 1000, at_ms(0)));
	EXPECT_FALSE(budget.try_send("a", 1, 1000, at_ms(900)));
	EXPECT_TRUE(budget.try_send("a", 2, 1000, at_ms(900)));
	EXPECT_TRUE(budget.try_send("a", 2, 1000, at_ms(1900)));
	EXPECT_FALSE(budget.try_send("a", 2, 1000, at_ms(2950))) << "the pause doubles each time";
	EXPECT_TRUE(budget.try_send("a", 2, 1000, at_ms(3950)));
}

} // namespace calicoscale
