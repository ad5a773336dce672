/*
 * calicoscale: work_meter_test.cpp
 * Attribution of time to nested activities.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/work_meter.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + milliseconds(p_milliseconds));
}

} // namespace

TEST(work_meter, what_runs_within_another_activity_has_its_time_to_itself) {
	work_meter meter;
	meter.begin(activity::LINK_READ, at(0));
	meter.begin(activity::WORK_MESSAGES, at(2));
	meter.begin(activity::STAGE_SEARCH, at(3));
	meter.end(at(9));
	meter.end(at(10));
	meter.end(at(14));

	const work_sum sum = meter.take();
	EXPECT_EQ(sum.get(activity::LINK_READ).time, milliseconds(6));
	EXPECT_EQ(sum.get(activity::WORK_MESSAGES).time, milliseconds(2));
	EXPECT_EQ(sum.get(activity::STAGE_SEARCH).time, milliseconds(6));
	EXPECT_EQ(sum.get(activity::STAGE_SEARCH).count, 1U);
	EXPECT_EQ(sum.busy, milliseconds(14));
}

TEST(work_meter, the_longest_turn_is_told_with_what_it_began_with) {
	work_meter meter;
	meter.begin(activity::TIMERS, at(0));
	meter.end(at(5));
	meter.begin(activity::ENDPOINT_ANSWERS, at(100));
	meter.begin(activity::STAGE_ENDS, at(101));
	meter.end(at(119));
	meter.end(at(120));
	meter.begin(activity::LOG, at(130));
	meter.end(at(131));

	const work_sum sum = meter.take();
	EXPECT_EQ(sum.longest, milliseconds(20));
	EXPECT_EQ(sum.longest_by, activity::ENDPOINT_ANSWERS);
}

TEST(work_meter, time_between_activities_is_nobodys) {
	work_meter meter;
	meter.begin(activity::LOG, at(0));
	meter.end(at(1));
	meter.begin(activity::LOG, at(500));
	meter.end(at(501));
	EXPECT_EQ(meter.take().busy, milliseconds(2));
	EXPECT_EQ(meter.take().busy, duration::zero());
}

TEST(work_meter, each_activity_has_a_name) {
	for (std::size_t i = 0; i < ACTIVITY_COUNT; i++) {
		EXPECT_NE(get_name(static_cast<activity>(i)), "unknown") << i;
	}
}

} // namespace calicoscale
