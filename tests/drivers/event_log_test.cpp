/*
 * calicoscale: event_log_test.cpp
 * Checks that the event log is bounded and never blocks on a slow reader.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/event_log.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace calicoscale {

namespace {

/** Replaces standard output with a pipe for the duration of a test. */
class event_log_test : public ::testing::Test {
protected:
	event_loop _loop;
	std::array<int, 2> _pipe{ -1, -1 };
	int _original_output = -1;

	void SetUp() override {
		ASSERT_EQ(pipe(_pipe.data()), 0);
		_original_output = dup(STDOUT_FILENO);
		ASSERT_GE(dup2(_pipe[1], STDOUT_FILENO), 0);
		fcntl(_pipe[0], F_SETFL, O_NONBLOCK);
	}

	/** Restores standard output. Must be called before expectations, as their messages go to standard output as well. */
	void restore_output() { dup2(_original_output, STDOUT_FILENO); }

	void TearDown() override {
		restore_output();
		close(_original_output);
		close(_pipe[0]);
		close(_pipe[1]);
	}

	void run_for(duration p_time) {
		timer stop(_loop, [this] { _loop.stop(); });
		stop.set(p_time);
		_loop.run();
	}

	std::string read_all() {
		std::string text;
		std::array<char, 65536> buffer{};
		for (ssize_t got = read(_pipe[0], buffer.data(), buffer.size()); got > 0; got = read(_pipe[0], buffer.data(), buffer.size())) {
			text.append(buffer.data(), static_cast<std::size_t>(got));
		}
		return text;
	}
};

} // namespace

TEST_F(event_log_test, without_a_reader_lines_are_dropped_and_counted_and_nothing_waits) {
	event_log log(_loop);
	const std::string value(1000, 'x');
	for (int i = 0; i < 1000; i++) {
		log.write(log_line("belief_changed").add("value", value));
	}
	run_for(std::chrono::milliseconds(500));
	const std::uint64_t dropped = log.get_dropped();
	std::string text;
	for (int i = 0; i < 20; i++) {
		text += read_all();
		run_for(std::chrono::milliseconds(100));
	}
	text += read_all();
	restore_output();
	EXPECT_GT(dropped, 500U) << "a megabyte does not fit the buffer and the pipe";
	EXPECT_NE(text.find("event=log_lines_dropped count="), std::string::npos) << "the reader that comes back is told";
}

TEST_F(event_log_test, lines_about_requests_are_limited_and_values_from_outside_stay_values) {
	event_log log(_loop);
	for (int i = 0; i < 5000; i++) {
		log.write_request(log_line("send").add("request", "a b=c\nms=1 event=forged"));
	}
	run_for(std::chrono::milliseconds(300));
	const std::string text = read_all();
	restore_output();
	EXPECT_GT(log.get_dropped(), 4000U);
	EXPECT_NE(text.find("event=send request=a_b_c_ms_1_event_forged\n"), std::string::npos);
	EXPECT_EQ(text.find("\nms=1 event=forged"), std::string::npos);
}

TEST_F(event_log_test, a_value_from_outside_keeps_to_its_pair_and_to_a_length) {
	event_log log(_loop);
	log.write(log_line("seen").add("a", "x\ny z=\x7f\xff").add("b", std::string(100'000, 'v')).add("c", "end"));
	run_for(std::chrono::milliseconds(400));
	restore_output();
	const std::string text = read_all();
	EXPECT_NE(text.find("event=seen a=x_y_z___ b=v"), std::string::npos);
	EXPECT_NE(text.find("v... c=end\n"), std::string::npos);
	EXPECT_LT(text.size(), 10'000U);
}

} // namespace calicoscale
