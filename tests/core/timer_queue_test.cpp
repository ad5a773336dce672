/*
 * calicoscale: timer_queue_test.cpp
 * Order of timers, and detection of process stalls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/process_stall.h"
#include "core/timer_queue.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant at(int p_milliseconds) {
	return instant(seconds(1000) + milliseconds(p_milliseconds));
}

clock_reading make_clock_reading(int p_since_boot, int p_running) {
	return clock_reading{ at(p_since_boot), at(p_running) };
}

} // namespace

TEST(timer_queue, hands_out_what_is_due_by_time_and_then_by_age) {
	timer_queue queue;
	queue.set(2, at(20), timer_order::AFTER_SOCKETS);
	queue.set(1, at(20), timer_order::AFTER_SOCKETS);
	queue.set(3, at(10), timer_order::BEFORE_SOCKETS);
	queue.set(4, at(10), timer_order::AFTER_SOCKETS);
	queue.set(4, at(90), timer_order::AFTER_SOCKETS);
	EXPECT_EQ(queue.get_next(false), at(10));
	EXPECT_EQ(queue.take_due(false, at(5)), std::nullopt);
	EXPECT_EQ(queue.take_due(false, at(50)), 3U);
	EXPECT_EQ(queue.take_due(false, at(50)), 1U);
	EXPECT_EQ(queue.take_due(false, at(50)), 2U);
	EXPECT_EQ(queue.take_due(false, at(50)), std::nullopt);
	queue.cancel(4);
	EXPECT_EQ(queue.get_next(false), std::nullopt);
}

TEST(timer_queue, those_that_keep_something_from_being_sent_can_be_asked_for_alone) {
	timer_queue queue;
	queue.set(1, at(10), timer_order::AFTER_SOCKETS);
	queue.set(2, at(20), timer_order::BEFORE_SOCKETS);
	EXPECT_EQ(queue.get_next(true), at(20));
	EXPECT_EQ(queue.take_due(true, at(30)), 2U);
	EXPECT_EQ(queue.take_due(true, at(30)), std::nullopt);
	EXPECT_EQ(queue.take_due(false, at(30)), 1U);
}

TEST(hold_up_watch, tells_what_kept_the_process_from_running) {
	stall_detector detector;
	EXPECT_EQ(detector.note(make_clock_reading(0, 0), seconds(5)).late, duration::zero()) << "the first call has no earlier clock values to compare with";
	EXPECT_EQ(detector.note(make_clock_reading(30, 30), milliseconds(1)).late, duration::zero());
	const process_stall suspended = detector.note(make_clock_reading(2060, 60), milliseconds(2000));
	EXPECT_EQ(suspended.late, duration(milliseconds(2000)));
	EXPECT_EQ(suspended.cause, stall_cause::SUSPENSION);
	const process_stall paused = detector.note(make_clock_reading(3090, 1090), milliseconds(1000));
	EXPECT_EQ(paused.late, duration(milliseconds(1000)));
	EXPECT_EQ(paused.cause, stall_cause::PAUSE);
}

} // namespace calicoscale
