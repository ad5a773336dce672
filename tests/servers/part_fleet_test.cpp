/*
 * calicoscale: part_fleet_test.cpp
 * A fleet in two parts whose settings name no common node becomes one, in virtual time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/part_fleet.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr duration MAX_JOIN_TIME = seconds(12);

class part_fleet_test : public ::testing::TestWithParam<std::size_t> {};

} // namespace

// Guards against parts that stay apart for good, as nodes that have links seek no others.
TEST_P(part_fleet_test, two_parts_that_no_seed_list_joins_become_one) {
	part_fleet fleet(GetParam(), 2, seek_policy::FIRST_DISPATCHERS);
	const part_fleet_result result = fleet.play(MAX_JOIN_TIME);
	ASSERT_TRUE(result.joined_after);
	EXPECT_LE(result.most_dials, named_contacts::MAX_ACTIONS);
	const std::size_t most_at_start = part_fleet(GetParam(), 1, seek_policy::FIRST_DISPATCHERS).play_start();
	EXPECT_LE(result.most_digests, most_at_start) << "parts that meet send no more than a fleet that starts";
	RecordProperty("joined_after_ms", static_cast<int>(*result.joined_after / std::chrono::milliseconds(1)));
	RecordProperty("most_digests_at_start", static_cast<int>(most_at_start));
	RecordProperty("most_digests", static_cast<int>(result.most_digests));
	// One node reads, whatever the size of the fleet.
	fleet.count_reads(minutes(2));
	EXPECT_LE(fleet.count_reads(minutes(10)), minutes(10) / (named_contacts::MAX_READ_INTERVAL / 4 * 3));
}

TEST_P(part_fleet_test, shows_two_parts_that_stay_apart_if_only_nodes_without_links_seek) {
	part_fleet fleet(GetParam(), 2, seek_policy::NODES_WITHOUT_LINKS);
	EXPECT_FALSE(fleet.play(MAX_JOIN_TIME).joined_after);
}

INSTANTIATE_TEST_SUITE_P(nodes, part_fleet_test, ::testing::Values(6, 410));

} // namespace calicoscale
