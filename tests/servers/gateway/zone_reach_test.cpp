/*
 * calicoscale: zone_reach_test.cpp
 * Detection of unreachable zones.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/zone_reachability.h"

#include <gtest/gtest.h>

#include <optional>

namespace calicoscale {

namespace {

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + std::chrono::milliseconds(p_milliseconds));
}

class zone_reach_test : public ::testing::Test {
protected:
	zone_reachability _zones{ "a" };

	/** Checks every 50 ms up to a time and returns the last change. */
	std::optional<bool> check_until(int p_from, int p_to) {
		std::optional<bool> last;
		for (int now = p_from; now <= p_to; now += 50) {
			for (const zone_reachability::change &change : _zones.check(at(now))) {
				last = change.is_reached;
			}
		}
		return last;
	}
};

} // namespace

TEST_F(zone_reach_test, a_zone_is_cut_off_when_its_nodes_and_endpoints_are_silent) {
	_zones.on_node_contact("b", at(0));
	_zones.on_endpoint_contact("b", at(100));
	EXPECT_FALSE(check_until(0, 500));
	EXPECT_TRUE(_zones.is_reached("b", at(500)));
	EXPECT_EQ(check_until(550, 600), std::optional<bool>(false));
	EXPECT_FALSE(_zones.is_reached("b", at(600)));
}

TEST_F(zone_reach_test, any_byte_of_an_endpoint_shows_that_only_the_nodes_are_gone) {
	_zones.on_node_contact("b", at(0));
	EXPECT_EQ(check_until(0, 600), std::optional<bool>(false));
	_zones.on_endpoint_contact("b", at(610));
	EXPECT_EQ(check_until(650, 650), std::optional<bool>(true));
}

TEST_F(zone_reach_test, the_own_zone_and_one_without_known_nodes_are_reached) {
	_zones.on_node_contact("a", at(0));
	_zones.on_endpoint_contact("c", at(0));
	EXPECT_FALSE(check_until(0, 5000));
	EXPECT_TRUE(_zones.is_reached("a", at(5000)));
	EXPECT_TRUE(_zones.is_reached("c", at(5000)));
	EXPECT_TRUE(_zones.is_reached("never heard of", at(5000)));
}

TEST_F(zone_reach_test, a_process_that_stood_still_listens_anew) {
	_zones.on_node_contact("b", at(0));
	EXPECT_FALSE(check_until(0, 200));
	EXPECT_FALSE(check_until(3000, 3400)) << "nothing was received because the process was stalled";
	EXPECT_EQ(check_until(3450, 3500), std::optional<bool>(false));
}

TEST_F(zone_reach_test, what_is_cut_off_is_known_also_to_who_did_not_follow_the_changes) {
	// A node that became a hub kept avoiding a zone that its former hub had reported as unreachable, because its own checks
	// had found no change.
	_zones.on_node_contact("b", at(0));
	_zones.on_node_contact("c", at(0));
	check_until(0, 600);
	EXPECT_EQ(_zones.get_unreachable(), (std::set<std::string>{ "b", "c" }));
	_zones.on_node_contact("b", at(650));
	check_until(650, 700);
	EXPECT_EQ(_zones.get_unreachable(), std::set<std::string>{ "c" });
}

} // namespace calicoscale
