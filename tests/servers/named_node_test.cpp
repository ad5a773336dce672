/*
 * calicoscale: named_node_test.cpp
 * Choice of the nodes named in the store that a node without links dials.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/named_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace calicoscale {

namespace {

constexpr std::size_t ZONES = 5;

std::string get_zone_of(std::size_t p_number) {
	return "z" + std::to_string(p_number % ZONES);
}

std::vector<named_node> make_names(std::size_t p_count) {
	std::vector<named_node> names;
	for (std::size_t i = 0; i < p_count; i++) {
		names.push_back(named_node{ "n" + std::to_string(i), network_address{ "10.0.0.1", 7000 }, get_zone_of(i) });
	}
	return names;
}

std::set<std::string> get_names(const std::vector<named_node> &p_nodes) {
	std::set<std::string> names;
	for (const named_node &node : p_nodes) {
		names.insert(node.vm);
	}
	return names;
}

} // namespace

TEST(named_node, nodes_without_links_spread_over_the_names_and_dial_few_each) {
	for (const std::size_t nodes : { 986U, 2000U }) {
		const std::vector<named_node> names = make_names(nodes);
		std::map<std::string, std::size_t> dials;
		for (std::size_t i = 0; i < nodes; i++) {
			const std::set<std::string> chosen = get_names(choose_named_nodes(names[i].vm, names[i].zone, names, 0));
			EXPECT_EQ(chosen.size(), MAX_NAMED_DIALS);
			EXPECT_FALSE(chosen.contains(names[i].vm));
			for (const std::string &vm : chosen) {
				dials[vm]++;
			}
		}
		std::size_t max_dials = 0;
		for (const auto &[vm, count] : dials) {
			max_dials = std::max(max_dials, count);
		}
		EXPECT_LE(max_dials, 4 * MAX_NAMED_DIALS) << nodes;
	}
}

TEST(named_node, half_of_the_choice_is_of_the_own_zone_and_comes_first) {
	const std::vector<named_node> names = make_names(300);
	const std::vector<named_node> chosen = choose_named_nodes("n7", get_zone_of(7), names, 0);
	EXPECT_EQ(chosen.front().zone, get_zone_of(7));
	EXPECT_EQ(std::count_if(chosen.begin(), chosen.end(), [](const named_node &p_node) { return p_node.zone == get_zone_of(7); }), 4);
}

TEST(named_node, records_of_a_zone_that_is_gone_do_not_fill_the_choice) {
	std::vector<named_node> names = make_names(3);
	for (std::size_t i = 0; i < 200; i++) {
		names.push_back(named_node{ "gone" + std::to_string(i), network_address{ "10.0.0.2", 7000 }, "z9" });
	}
	const std::set<std::string> chosen = get_names(choose_named_nodes("new", "z9", names, 0));
	EXPECT_TRUE(chosen.contains("n0") && chosen.contains("n1") && chosen.contains("n2"));
}

TEST(named_node, the_next_rounds_choose_others_until_all_were_tried) {
	const std::vector<named_node> names = make_names(83);
	std::set<std::string> tried;
	for (std::size_t round = 0; round < 10; round++) {
		const std::set<std::string> chosen = get_names(choose_named_nodes("n0", get_zone_of(0), names, round));
		for (const std::string &vm : chosen) {
			EXPECT_TRUE(tried.insert(vm).second) << vm << " in round " << round;
		}
	}
	const std::set<std::string> last = get_names(choose_named_nodes("n0", get_zone_of(0), names, 10));
	tried.insert(last.begin(), last.end());
	EXPECT_EQ(tried.size(), 82U);
}

TEST(named_node, few_names_are_all_chosen_each_time_and_a_record_without_zone_counts) {
	std::vector<named_node> names = make_names(6);
	names.push_back(named_node{ "old", network_address{ "10.0.0.3", 7000 }, "" });
	for (std::size_t round = 0; round < 3; round++) {
		EXPECT_EQ(get_names(choose_named_nodes("n1", "z1", names, round)), (std::set<std::string>{ "n0", "n2", "n3", "n4", "n5", "old" }));
	}
	EXPECT_TRUE(choose_named_nodes("n1", "z1", {}, 3).empty());
	EXPECT_TRUE(choose_named_nodes("n1", "z1", { named_node{ "n1", network_address{ "10.0.0.1", 7000 }, "z1" } }, 0).empty());
}

} // namespace calicoscale
