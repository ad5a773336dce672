/*
 * calicoscale: store_cover_test.cpp
 * Selection of the nodes that read the store for others.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/store_coverage.h"

#include <gtest/gtest.h>

#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr duration SHORT_INTERVAL = milliseconds(200);

instant at(int p_ms) {
	return instant(milliseconds(1'000'000 + p_ms));
}

bool is_always_responsive(const std::string &) {
	return true;
}

} // namespace

TEST(store_cover, nodes_with_the_same_view_choose_the_same_reader_and_zones_differ) {
	std::vector<std::string> nodes;
	for (int i = 0; i < 12; i++) {
		nodes.push_back("n" + std::to_string(i));
	}
	const std::string reader = choose_reader("a", nodes);
	std::vector<std::string> reversed(nodes.rbegin(), nodes.rend());
	EXPECT_EQ(choose_reader("a", reversed), reader);
	std::erase(nodes, reader);
	EXPECT_NE(choose_reader("a", nodes), reader);
	std::set<std::string> readers;
	for (const char *zone : { "a", "b", "c", "d", "e", "f" }) {
		readers.insert(choose_reader(zone, reversed));
	}
	EXPECT_GT(readers.size(), 1U);
	EXPECT_EQ(choose_reader("a", {}), "");
}

TEST(store_cover, a_follower_that_is_heard_covers_and_one_that_stops_does_not) {
	store_coverage cover;
	EXPECT_FALSE(cover.is_covered(1, is_always_responsive, at(0)));
	cover.on_heartbeat("peer", true, SHORT_INTERVAL, 1);
	EXPECT_TRUE(cover.is_covered(1, is_always_responsive, at(0)));
	EXPECT_FALSE(cover.is_covered(
			1, [](const std::string &) { return false; }, at(0)));
	EXPECT_TRUE(cover.on_heartbeat("peer", false, SHORT_INTERVAL, 1));
	EXPECT_FALSE(cover.is_covered(1, is_always_responsive, at(0)));
	EXPECT_FALSE(cover.on_heartbeat("peer", false, SHORT_INTERVAL, 1)) << "it had stopped before";
}

TEST(store_cover, a_follower_whose_silence_would_be_noticed_late_does_not_cover) {
	store_coverage cover;
	cover.on_heartbeat("peer", true, milliseconds(1000), 1);
	EXPECT_FALSE(cover.is_covered(1, is_always_responsive, at(0)));
	cover.on_heartbeat("peer", true, duration::zero(), 1);
	EXPECT_FALSE(cover.is_covered(1, is_always_responsive, at(0))) << "it reports no heartbeat interval";
}

/** Guards against a link that carries heartbeats in one direction only: this node would keep its old version indefinitely. */
TEST(store_cover, a_version_that_does_not_come_from_a_follower_is_read_from_the_store) {
	store_coverage cover;
	cover.on_heartbeat("peer", true, SHORT_INTERVAL, 2);
	EXPECT_TRUE(cover.is_covered(1, is_always_responsive, at(0)));
	EXPECT_TRUE(cover.is_covered(1, is_always_responsive, at(300)));
	EXPECT_FALSE(cover.is_covered(1, is_always_responsive, at(400)));
	EXPECT_TRUE(cover.is_covered(2, is_always_responsive, at(500)));
	EXPECT_TRUE(cover.is_covered(1, is_always_responsive, at(600))) << "the time starts again";
}

} // namespace calicoscale
