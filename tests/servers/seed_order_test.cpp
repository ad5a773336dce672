/*
 * calicoscale: seed_order_test.cpp
 * Order in which nodes dial the seeds of their settings.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/seed_order.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace calicoscale {

namespace {

constexpr std::size_t SEEDS = 3;

std::string get_name_of(std::size_t p_number) {
	return "edge-sk-" + std::string(1, static_cast<char>('a' + p_number % 5)) + "-" + std::to_string(p_number);
}

} // namespace

TEST(seed_order, nodes_that_start_together_do_not_all_dial_the_same_seed) {
	for (const std::size_t nodes : { 986U, 2000U }) {
		std::vector<seed_order> orders;
		for (std::size_t i = 0; i < nodes; i++) {
			orders.emplace_back(get_name_of(i));
		}
		for (std::size_t turn = 0; turn < 2 * SEEDS; turn++) {
			std::vector<std::size_t> dials(SEEDS, 0);
			for (seed_order &order : orders) {
				dials.at(order.take_next(SEEDS))++;
			}
			for (const std::size_t count : dials) {
				EXPECT_GE(count * SEEDS, nodes * 85 / 100) << nodes << " nodes, turn " << turn;
				EXPECT_LE(count * SEEDS, nodes * 115 / 100) << nodes << " nodes, turn " << turn;
			}
		}
	}
}

TEST(seed_order, a_node_tries_each_seed_in_turn) {
	for (const std::size_t seeds : { 1U, 2U, 3U, 7U }) {
		for (std::size_t node = 0; node < 50; node++) {
			seed_order order(get_name_of(node));
			std::vector<std::size_t> first;
			for (std::size_t i = 0; i < seeds; i++) {
				first.push_back(order.take_next(seeds));
			}
			EXPECT_EQ(std::set<std::size_t>(first.begin(), first.end()).size(), seeds) << get_name_of(node);
			for (const std::size_t seed : first) {
				EXPECT_EQ(order.take_next(seeds), seed) << get_name_of(node);
			}
		}
	}
}

TEST(seed_order, a_restarted_node_begins_with_the_same_seed) {
	EXPECT_EQ(seed_order("n1").take_next(SEEDS), seed_order("n1").take_next(SEEDS));
}

} // namespace calicoscale
