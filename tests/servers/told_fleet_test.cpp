/*
 * calicoscale: told_fleet_test.cpp
 * State of dispatchers at a node that follows a hub.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/reported_fleet.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + milliseconds(p_milliseconds));
}

} // namespace

TEST(told_fleet, names_what_a_hub_tells_of_no_more) {
	reported_fleet fleet;
	EXPECT_TRUE(fleet.take({ "n2", "n1" }, 7).empty());
	EXPECT_EQ(fleet.get_dispatchers(), (std::vector<std::string>{ "n1", "n2" }));
	EXPECT_EQ(fleet.get_nodes(), 7U);
	EXPECT_EQ(fleet.take({ "n2", "n3" }, 6), std::vector<std::string>{ "n1" });
}

TEST(told_fleet, a_lost_dispatcher_is_back_when_it_is_heard_or_told_of) {
	reported_fleet fleet;
	fleet.set_lost("n1");
	fleet.set_lost("n2");
	fleet.on_contact("n1");
	EXPECT_FALSE(fleet.is_lost("n1"));
	fleet.take({ "n2" }, 2);
	EXPECT_FALSE(fleet.is_lost("n2"));
}

TEST(told_fleet, a_broken_link_counts_until_a_hub_must_have_noticed) {
	reported_fleet fleet;
	fleet.on_link_down("n1", at(0));
	EXPECT_TRUE(fleet.is_down("n1", at(1000)));
	EXPECT_FALSE(fleet.is_down("n1", at(2000)));
	fleet.on_link_down("n1", at(3000));
	fleet.on_contact("n1");
	EXPECT_FALSE(fleet.is_down("n1", at(3100)));
}

} // namespace calicoscale
