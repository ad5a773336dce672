/*
 * calicoscale: connection_shedder_test.cpp
 * Tests when new connections are closed with nothing read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/connection_shedder.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

const instant START{ std::chrono::hours(1) };
constexpr duration LATE = connection_shedder::MAX_WAIT + milliseconds(1);

} // namespace

TEST(connection_shedder, connections_that_waited_for_a_short_time_are_never_closed) {
	connection_shedder shedder;
	for (int i = 0; i < 1000; i++) {
		EXPECT_FALSE(shedder.should_close(connection_shedder::MAX_WAIT, START + milliseconds(i)));
	}
}

TEST(connection_shedder, connections_that_arrived_during_a_single_stall_are_accepted) {
	connection_shedder shedder;
	for (int i = 0; i < 200; i++) {
		EXPECT_FALSE(shedder.should_close(std::chrono::seconds(2), START + milliseconds(i)));
	}
	EXPECT_FALSE(shedder.should_close(LATE, START + connection_shedder::MAX_GAP * 2)) << "a later stall";
}

TEST(connection_shedder, late_connections_are_closed_while_an_overload_lasts_and_others_are_accepted) {
	connection_shedder shedder;
	EXPECT_FALSE(shedder.should_close(LATE, START));
	for (int i = 0; i < 20; i++) {
		const instant now = START + connection_shedder::MAX_WAIT + milliseconds(i * 300);
		EXPECT_TRUE(shedder.should_close(LATE, now)) << i;
		EXPECT_FALSE(shedder.should_close(milliseconds(100), now + milliseconds(100))) << i;
	}
}

} // namespace calicoscale
