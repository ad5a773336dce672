/*
 * calicoscale: event_loop_test.cpp
 * Checks timers and the detection of stalls when the process is paused or its VM is suspended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/event_loop.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <ctime>
#include <string>
#include <thread>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

duration suspended = duration::zero();

instant read_clock(clockid_t p_clock) {
	timespec time{};
	clock_gettime(p_clock, &time);
	return instant(std::chrono::duration_cast<duration>(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/** Reads the clocks as on a VM that was suspended for the time in `suspended`. */
clock_reading read_clocks() {
	return clock_reading{ read_clock(CLOCK_MONOTONIC) + suspended, read_clock(CLOCK_MONOTONIC) };
}

class event_loop_test : public ::testing::Test {
protected:
	event_loop _loop;

	void SetUp() override {
		suspended = duration::zero();
		event_loop::set_clock_reader(&read_clocks);
	}

	void TearDown() override { event_loop::set_clock_reader(nullptr); }

	/** Runs the loop for a time measured by the steady clock. */
	void run_for(duration p_time) {
		const instant until = read_clock(CLOCK_MONOTONIC) + p_time;
		while (read_clock(CLOCK_MONOTONIC) < until) {
			_loop.run_pending();
			std::this_thread::sleep_for(milliseconds(1));
		}
	}
};

} // namespace

// Guards against posted callbacks that never run when the loop stops. Objects are freed by such callbacks, and their owners
// are destroyed before the loop.
TEST_F(event_loop_test, what_is_posted_in_the_turn_that_stops_the_loop_runs_before_it_returns) {
	bool has_run = false;
	timer stop(_loop, [this, &has_run] {
		_loop.post([&has_run] { has_run = true; });
		_loop.stop();
	});
	stop.set(milliseconds(1));
	_loop.run();
	EXPECT_TRUE(has_run);
}

TEST_F(event_loop_test, what_was_due_while_the_vm_was_suspended_runs_at_waking_in_the_order_of_its_times) {
	std::string order;
	timer late(_loop, [&order] { order += "c"; });
	timer early(_loop, [&order] { order += "a"; });
	timer middle(_loop, [&order] { order += "b"; });
	timer not_yet(_loop, [&order] { order += "d"; });
	late.set(seconds(4));
	early.set(seconds(2));
	middle.set(seconds(3));
	not_yet.set(seconds(3600));
	run_for(milliseconds(20));
	EXPECT_EQ(order, "");
	suspended = seconds(5);
	run_for(milliseconds(250));
	EXPECT_EQ(order, "abc") << "and not seconds later, when the steady clock gets there";
}

TEST_F(event_loop_test, a_suspension_and_a_pause_are_told_apart) {
	std::vector<process_stall> stalls;
	_loop.stalled().connect([&stalls](const process_stall &p_stall) { stalls.push_back(p_stall); });
	timer tick(_loop, [&tick] { tick.set(milliseconds(10)); });
	tick.set(milliseconds(10));
	run_for(milliseconds(50));
	EXPECT_TRUE(stalls.empty());
	suspended = seconds(2);
	run_for(milliseconds(50));
	ASSERT_EQ(stalls.size(), 1U);
	EXPECT_EQ(stalls.back().cause, stall_cause::SUSPENSION);
	EXPECT_GE(stalls.back().late, duration(milliseconds(1900)));
	std::this_thread::sleep_for(milliseconds(300));
	run_for(milliseconds(50));
	ASSERT_EQ(stalls.size(), 2U);
	EXPECT_EQ(stalls.back().cause, stall_cause::PAUSE);
}

TEST_F(event_loop_test, after_a_hold_up_what_waits_is_read_before_silence_is_judged) {
	std::string order;
	_loop.stalled().connect([&order](const process_stall &) { order += "told "; });
	timer deadline(
			_loop, [&order] { order += "deadline "; }, timer_order::BEFORE_SOCKETS);
	timer silence(_loop, [&order] { order += "silence "; });
	timer first_turn(_loop, [] {});
	first_turn.set(milliseconds(1));
	run_for(milliseconds(5));
	// The timers are set after the first turns, which may take longer on a busy machine than the timers' delays.
	deadline.set(milliseconds(50));
	silence.set(milliseconds(40));
	std::this_thread::sleep_for(milliseconds(300));
	std::array<int, 2> ends{};
	ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
	ASSERT_EQ(write(ends[1], "x", 1), 1);
	const event_callback_fn on_readable = [](int p_socket, short, void *p_order) {
		char byte = 0;
		if (read(p_socket, &byte, 1) == 1) {
			*static_cast<std::string *>(p_order) += "read ";
		}
	};
	event *readable = event_new(_loop.get_base(), ends[0], EV_READ, on_readable, &order);
	event_add(readable, nullptr);
	run_for(milliseconds(150));
	event_free(readable);
	close(ends[0]);
	close(ends[1]);
	EXPECT_EQ(order, "told deadline read silence ");
}

TEST_F(event_loop_test, a_hook_may_set_and_cancel_timers_that_are_due_in_the_same_turn) {
	std::string order;
	timer cancelled(_loop, [&order] { order += "cancelled "; });
	timer moved(_loop, [&order] { order += "moved "; });
	timer again(_loop, [&order, &again] { order += "again "; });
	timer first(_loop, [&order, &cancelled, &moved, &again] {
		order += "first ";
		cancelled.cancel();
		moved.set(milliseconds(60));
		again.set(duration::zero());
	});
	first.set(milliseconds(1));
	cancelled.set(milliseconds(2));
	moved.set(milliseconds(2));
	std::this_thread::sleep_for(milliseconds(5));
	run_for(milliseconds(20));
	EXPECT_EQ(order, "first again ");
	run_for(milliseconds(100));
	EXPECT_EQ(order, "first again moved ");
}

} // namespace calicoscale
