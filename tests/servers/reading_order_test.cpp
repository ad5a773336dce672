/*
 * calicoscale: reading_order_test.cpp
 * Which nodes read the store when a whole fleet starts, or when nobody reads it for them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/read_schedule.h"
#include "servers/membership/read_order.h"
#include "servers/membership/read_rank.h"
#include "servers/membership/store_coverage.h"

#include <gtest/gtest.h>

#include <algorithm>
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

TEST(reading_order, the_hubs_of_a_zone_read_before_the_others_and_no_two_nodes_share_a_position) {
	const std::vector<overlay_node> zone = make_zone(40);
	const std::vector<std::string> hubs{ "n0", "n3", "n20", "n39" };
	std::set<std::size_t> positions;
	for (const overlay_node &node : zone) {
		const bool is_hub = std::find(hubs.begin(), hubs.end(), node.vm) != hubs.end();
		const std::size_t position = find_read_position(node.vm, "a", hubs, zone);
		EXPECT_EQ(is_hub, position < hubs.size()) << node.vm;
		EXPECT_TRUE(!is_hub || positions.insert(position).second) << node.vm;
	}
	EXPECT_EQ(find_read_position(choose_reader("a", hubs), "a", hubs, zone), 0U);
	EXPECT_EQ(find_read_position("n1", "a", {}, { overlay_node{ "n1", "a", 1.0 } }), 0U);
}

/** Bytes that the nodes of all zones read in a second while none of them is told anything, in the order of their positions. */
TEST(reading_order, reads_of_all_zones_together_take_half_of_the_rate_of_the_store_at_most) {
	const store_rates rates{ 16000.0, 20e6 };
	for (const std::size_t zones : { 1U, 3U, 5U, 28U }) {
		for (const double bytes : { 300.0, 20e3, 0.8e6, 4e6 }) {
			const double reads_per_second = static_cast<double>(zones) / to_seconds(get_read_step(rates, zones, bytes));
			EXPECT_LE(reads_per_second * bytes, 0.501 * rates.bytes_per_second) << zones << " zones, " << bytes << " bytes";
			EXPECT_LE(reads_per_second, 0.501 * rates.reads_per_second) << zones << " zones, " << bytes << " bytes";
		}
	}
}

TEST(reading_order, only_nodes_with_a_reader_wait_for_their_turn) {
	read_schedule schedule(read_times{});
	schedule.set_turn(5);
	EXPECT_EQ(schedule.get_turn_wait(milliseconds(100)), duration::zero());
	schedule.set_has_peer_reader(true);
	EXPECT_EQ(schedule.get_turn_wait(milliseconds(100)), milliseconds(400));
	schedule.on_failed(schedule.begin().reading);
	EXPECT_EQ(schedule.get_turn_wait(milliseconds(100)), milliseconds(800)) << "after a failure";
	schedule.on_answered(schedule.begin().reading);
	EXPECT_EQ(schedule.get_turn_wait(milliseconds(100)), milliseconds(400));
	schedule.set_turn(1);
	EXPECT_EQ(schedule.get_turn_wait(milliseconds(100)), duration::zero()) << "the first after the reader";
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
