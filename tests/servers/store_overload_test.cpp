/*
 * calicoscale: store_overload_test.cpp
 * Whole fleets in virtual time come back after an overload of the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/store_fleet.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace calicoscale {

namespace {

constexpr double MAX_CALLS_PER_NODE = 10.0;

std::string describe(const fleet_result &p_result) {
	std::ostringstream text;
	text << "first check " << p_result.first_check << " s, outdated nodes " << p_result.outdated_nodes << ", oldest " << p_result.oldest_age << " s, last outdated at " << p_result.last_outdated_at << " s, turned away and outdated ";
	text << p_result.outdated_turned_away << ", oldest of these " << p_result.oldest_turned_away << " s, most asked " << p_result.most_asked_bytes / 1e6 << " MB/s, calls a node " << p_result.calls_per_node << ", lists that differ " << p_result.differing_lists;
	return text.str();
}

class store_overload : public testing::TestWithParam<std::size_t> {
protected:
	/** Plays a fleet of this size and checks that it comes back. */
	static void check(store_trigger p_trigger) {
		const fleet_result result = store_fleet(GetParam(), read_policy::IN_TURNS, p_trigger).play();
		EXPECT_EQ(result.outdated_nodes, 0U) << describe(result);
		EXPECT_EQ(result.outdated_turned_away, 0U) << describe(result);
		EXPECT_LT(result.most_asked_bytes, simulated_store::BYTES_PER_SECOND) << describe(result);
		EXPECT_LT(result.calls_per_node, MAX_CALLS_PER_NODE) << describe(result);
		EXPECT_EQ(result.differing_lists, 0U) << describe(result);
	}
};

} // namespace

TEST_P(store_overload, ends_after_the_store_refused_all_reads) {
	check(store_trigger::STORE_REFUSES);
}

TEST_P(store_overload, ends_after_the_store_was_silent) {
	check(store_trigger::STORE_SILENT);
}

TEST_P(store_overload, ends_after_the_store_was_slow) {
	check(store_trigger::STORE_SLOW);
}

TEST_P(store_overload, ends_after_all_nodes_started_at_once) {
	check(store_trigger::ALL_START);
}

TEST_P(store_overload, ends_after_all_readers_lost_power) {
	check(store_trigger::READERS_LOST);
}

TEST_P(store_overload, does_not_begin_while_the_store_turns_a_third_of_the_nodes_away) {
	check(store_trigger::THIRD_TURNED_AWAY);
}

TEST_P(store_overload, does_not_begin_while_the_store_turns_the_first_readers_of_all_zones_away) {
	check(store_trigger::FIRST_READERS_TURNED_AWAY);
}

TEST_P(store_overload, ends_after_the_store_was_restored_from_an_older_copy) {
	check(store_trigger::STORE_RESTORED);
}

TEST_P(store_overload, ends_after_all_lists_differed) {
	check(store_trigger::LISTS_DIFFER);
}

INSTANTIATE_TEST_SUITE_P(nodes, store_overload, testing::Values(30U, 100U, 300U, 986U, 2000U), testing::PrintToStringParamName());

TEST(store_overload_simulation, shows_the_collapse_of_a_fleet_whose_nodes_read_each_by_itself) {
	const fleet_result result = store_fleet(986, read_policy::EACH_BY_ITSELF, store_trigger::STORE_RESTORED).play();
	EXPECT_EQ(result.outdated_nodes, 986U) << describe(result);
	EXPECT_EQ(result.last_outdated_at, 30.0) << describe(result);
	EXPECT_GT(result.most_asked_bytes, 100.0 * simulated_store::BYTES_PER_SECOND) << describe(result);
}

} // namespace calicoscale
