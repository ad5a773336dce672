/*
 * calicoscale: reading_order_test.cpp
 * Which nodes read the store when a whole fleet starts.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/read_schedule.h"
#include "servers/membership/read_rank.h"

#include <gtest/gtest.h>

#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<overlay_node> make_zone(std::size_t p_nodes) {
	std::vector<overlay_node> nodes;
	for (std::size_t i = 0; i < p_nodes; i++) {
		nodes.push_back(overlay_node{ "n" + std::to_string(i), "a", i % 20 == 0 ? 1.0 : 0.12 });
	}
	return nodes;
}

/** Counts the nodes of a zone that have begun to read the store at a time after all started, when no peer sends them the list. */
std::size_t count_readers(std::size_t p_nodes, duration p_since_start) {
	const std::vector<overlay_node> zone = make_zone(p_nodes);
	std::size_t readers = 0;
	for (const overlay_node &node : zone) {
		read_schedule schedule(read_times{ .first_wait = milliseconds(1500), .rank_step = milliseconds(500) });
		schedule.set_has_peer_reader(true);
		schedule.set_read_rank(find_read_rank(node.vm, zone));
		readers += schedule.get_first_wait(p_since_start) == duration::zero() ? 1 : 0;
	}
	return readers;
}

} // namespace

TEST(reading_order, of_a_zone_that_starts_as_few_read_however_many_there_are) {
	for (const std::size_t nodes : { 6U, 20U, 60U, 200U, 400U }) {
		EXPECT_EQ(count_readers(nodes, milliseconds(1400)), 0U);
		EXPECT_LE(count_readers(nodes, milliseconds(3000)), 4U) << nodes;
	}
}

TEST(reading_order, every_node_reads_in_the_end_when_nobody_tells_it) {
	EXPECT_EQ(count_readers(200, seconds(1 + 200)), 200U);
}

TEST(reading_order, larger_nodes_come_first_and_no_two_share_a_place) {
	const std::vector<overlay_node> zone = make_zone(40);
	std::set<std::size_t> positions;
	for (const overlay_node &node : zone) {
		const std::size_t position = find_read_rank(node.vm, zone);
		EXPECT_TRUE(positions.insert(position).second);
		EXPECT_EQ(node.cores == 1.0, position < 2);
	}
	EXPECT_EQ(find_read_rank("alone", {}), 0U);
}

} // namespace calicoscale
