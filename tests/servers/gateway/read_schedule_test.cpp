/*
 * calicoscale: read_schedule_test.cpp
 * When a topic of the store is read again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/read_schedule.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr read_times FOLLOWED{ milliseconds(1500), milliseconds(300), milliseconds(700), milliseconds(250), duration::zero() };
constexpr read_times POLLED{ duration::zero(), milliseconds(400), milliseconds(400), milliseconds(250), duration::zero() };

} // namespace

TEST(read_schedule, a_waiting_read_is_overdue_soon_after_its_wait) {
	read_schedule schedule(FOLLOWED);
	const planned_read first = schedule.begin();
	EXPECT_EQ(first.wait, milliseconds(1500));
	EXPECT_EQ(first.check_in, milliseconds(1800));
	EXPECT_FALSE(first.on_new_connection);
	const std::optional<planned_read> beside = schedule.check();
	ASSERT_TRUE(beside);
	EXPECT_EQ(beside->reading, first.reading);
	EXPECT_EQ(beside->wait, duration::zero()) << "its silence must not be taken for a lack of news again";
	EXPECT_TRUE(beside->on_new_connection);
	EXPECT_EQ(beside->check_in, milliseconds(700));
}

TEST(read_schedule, after_a_failure_no_read_waits_until_one_is_answered) {
	read_schedule schedule(FOLLOWED);
	EXPECT_TRUE(schedule.on_failed(schedule.begin().reading));
	const planned_read again = schedule.begin();
	EXPECT_EQ(again.wait, duration::zero());
	EXPECT_TRUE(again.on_new_connection);
	EXPECT_TRUE(schedule.on_answered(again.reading));
	EXPECT_EQ(schedule.begin().wait, milliseconds(1500));
}

TEST(read_schedule, answers_to_an_earlier_reading_do_not_count) {
	read_schedule schedule(FOLLOWED);
	const std::uint64_t first = schedule.begin().reading;
	ASSERT_TRUE(schedule.check());
	EXPECT_TRUE(schedule.on_answered(first));
	EXPECT_FALSE(schedule.is_reading());
	const std::uint64_t second = schedule.begin().reading;
	EXPECT_FALSE(schedule.on_answered(first)) << "the read beside the first";
	EXPECT_FALSE(schedule.on_failed(first));
	EXPECT_TRUE(schedule.is_reading());
	EXPECT_TRUE(schedule.on_answered(second));
}

TEST(read_schedule, open_reads_are_bounded_and_a_failed_one_makes_room) {
	read_schedule schedule(POLLED);
	const std::uint64_t reading = schedule.begin().reading;
	for (int i = 0; i < 3; i++) {
		EXPECT_TRUE(schedule.check());
	}
	EXPECT_FALSE(schedule.check());
	EXPECT_TRUE(schedule.on_failed(reading));
	EXPECT_TRUE(schedule.is_reading());
	EXPECT_TRUE(schedule.check()) << "the place is taken at once, not when all reads have failed";
}

TEST(read_schedule, a_topic_that_is_not_waited_for_uses_kept_connections_while_it_is_answered) {
	read_schedule schedule(POLLED);
	const planned_read first = schedule.begin();
	EXPECT_FALSE(first.on_new_connection);
	EXPECT_EQ(first.check_in, milliseconds(400));
	ASSERT_TRUE(schedule.check());
	EXPECT_TRUE(schedule.on_answered(first.reading));
	EXPECT_FALSE(schedule.begin().on_new_connection);
}

TEST(read_schedule, a_node_whose_peer_reads_for_it_asks_less_and_less_until_it_is_answered) {
	read_times times = POLLED;
	times.longest_retry = milliseconds(1000);
	const auto count_in_an_outage = [&times](bool p_is_patient) {
		read_schedule schedule(times);
		schedule.set_patient(p_is_patient);
		int calls = 0;
		for (duration passed = duration::zero(); passed < milliseconds(6500); passed += schedule.get_retry()) {
			schedule.on_failed(schedule.begin().reading);
			calls++;
		}
		schedule.on_answered(schedule.begin().reading);
		EXPECT_EQ(schedule.get_retry(), duration(milliseconds(250))) << "the next failure is a new one";
		return calls;
	};
	EXPECT_EQ(count_in_an_outage(false), 26);
	EXPECT_LE(count_in_an_outage(true), 9);
}

} // namespace calicoscale
