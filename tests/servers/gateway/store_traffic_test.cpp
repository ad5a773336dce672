/*
 * calicoscale: store_traffic_test.cpp
 * Counts of the calls to the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/store_traffic.h"

#include <gtest/gtest.h>

#include <set>

namespace calicoscale {

using std::chrono::milliseconds;

TEST(store_traffic, calls_are_summed_by_topic_reason_and_end) {
	store_traffic traffic;
	traffic.add_call("a", read_reason::READER, 200, 100, milliseconds(4));
	traffic.add_call("a", read_reason::READER, 503, 10, milliseconds(14));
	traffic.add_call("a", read_reason::READER, 0, 0, milliseconds(1500));
	traffic.add_call("a", read_reason::RETRY, 412, 0, milliseconds(4));
	traffic.add_call("b", read_reason::READER, 200, 1, milliseconds(1));
	traffic.add_unused("a", read_reason::READER, 60);
	const std::map<store_traffic::key, store_traffic_sum> sums = traffic.take();
	ASSERT_EQ(sums.size(), 3U);
	const store_traffic_sum &sum = sums.at({ "a", read_reason::READER });
	EXPECT_EQ(sum.calls, 3U);
	EXPECT_EQ(sum.answered, 1U);
	EXPECT_EQ(sum.refused, 1U);
	EXPECT_EQ(sum.unanswered, 1U);
	EXPECT_EQ(sum.bytes, 110U);
	EXPECT_EQ(sum.unused_bytes, 60U);
	EXPECT_EQ(sum.longest, milliseconds(1500));
	EXPECT_EQ(sums.at({ "a", read_reason::RETRY }).refused, 1U);
	EXPECT_TRUE(traffic.take().empty());
}

TEST(store_traffic, each_reason_has_a_name_of_its_own) {
	std::set<std::string_view> names;
	for (int i = 0; i < static_cast<int>(read_reason::COUNT); i++) {
		names.insert(get_name(static_cast<read_reason>(i)));
	}
	EXPECT_EQ(names.size(), static_cast<std::size_t>(read_reason::COUNT));
	EXPECT_FALSE(names.contains(""));
}

} // namespace calicoscale
