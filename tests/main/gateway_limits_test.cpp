/*
 * calicoscale: gateway_limits_test.cpp
 * Tests complete gateways with endpoints that advertise a request limit in their answers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

/** Time span in which requests are counted against a limit. */
constexpr duration LIMIT_SPAN = seconds(4);
/** Time from the first answer that advertises a limit until all nodes must comply with it. */
constexpr duration LIMIT_GRACE = seconds(3);

/** Headers of a request with one item in each of its two stages. */
const char *const STAGED = "X-Segments: 1,1\r\nX-Segment-Key: k\r\n";

/** Returns the maximum number of requests that an endpoint may receive in LIMIT_SPAN. */
std::size_t get_allowed(double p_rate) {
	return static_cast<std::size_t>(p_rate * 1.5 * std::chrono::duration<double>(LIMIT_SPAN).count() + 5.0);
}

class gateway_limits_test : public gateway_fixture {
protected:
	std::vector<std::shared_ptr<caller_result>> _sent;

	void start_nodes(int p_number) {
		for (int i = 0; i < p_number; i++) {
			start_ready();
		}
		wait(milliseconds(800));
	}

	/** Sends requests at a constant rate to the nodes in turn, and waits until all are complete. */
	void send_evenly(const std::string &p_path, duration p_time, int p_per_second, const std::string &p_headers = "") {
		const instant begin = event_loop::now();
		for (int i = 0; i < p_per_second * static_cast<int>(std::chrono::duration_cast<seconds>(p_time).count()); i++) {
			run_until([begin, i, p_per_second] { return event_loop::now() >= begin + milliseconds(1000 * i / p_per_second); });
			_sent.push_back(send(*_gateways[static_cast<std::size_t>(i) % _gateways.size()], p_path, "key-1", p_headers));
		}
		run_until([this] { return std::all_of(_sent.begin(), _sent.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	}

	std::size_t count_served() const {
		return static_cast<std::size_t>(std::count_if(_sent.begin(), _sent.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->head.status == 200; }));
	}
};

} // namespace

TEST_F(gateway_limits_test, an_endpoint_that_names_a_limit_is_not_overrun_by_all_nodes_together) {
	configure(1);
	standin_replica &limited = add_replica("llm");
	standin_replica &free = add_replica("llm");
	limited.rate_limit = "1";
	start_nodes(3);
	const instant begin = event_loop::now();
	send_evenly("/safe/", seconds(8), 20);
	EXPECT_LE(limited.get_most_arrivals(LIMIT_SPAN, begin + LIMIT_GRACE), get_allowed(1.0));
	EXPECT_EQ(count_served(), 160U);
	EXPECT_GE(free.runs.size(), 100U);
}

TEST_F(gateway_limits_test, what_an_endpoint_with_a_limit_takes_is_used_where_there_is_no_other) {
	configure(1);
	standin_replica &limited = add_replica("llm");
	limited.rate_limit = "2";
	start_nodes(3);
	send_evenly("/safe/", seconds(8), 20);
	const instant last = limited.arrivals.back();
	EXPECT_GE(limited.get_most_arrivals(LIMIT_SPAN, last - LIMIT_SPAN), 6U) << "of the eight that it takes";
	EXPECT_LE(limited.get_most_arrivals(LIMIT_SPAN, limited.arrivals.front() + LIMIT_GRACE), get_allowed(2.0));
}

TEST_F(gateway_limits_test, a_stage_replica_that_names_a_limit_gets_no_more_calls_than_that) {
	configure(1);
	add_replica("llm");
	standin_replica &limited = add_replica("encode");
	add_replica("encode");
	add_replica("search");
	limited.rate_limit = "1";
	start_nodes(2);
	const instant begin = event_loop::now();
	send_evenly("/stream/staged/x", seconds(8), 12, STAGED);
	EXPECT_LE(limited.get_most_arrivals(LIMIT_SPAN, begin + LIMIT_GRACE), get_allowed(1.0));
	EXPECT_EQ(count_served(), 96U);
}

TEST_F(gateway_limits_test, an_endpoint_that_says_it_leaves_gets_nothing_new_while_the_store_is_silent) {
	configure(1);
	standin_replica &leaving = add_replica("llm");
	add_replica("llm");
	start_nodes(2);
	leaving.says_leaving = true;
	send_evenly("/safe/", seconds(2), 20);
	EXPECT_EQ(count_served(), 40U);
	EXPECT_FALSE(leaving.arrivals.empty()) << "somebody has to be told";
	EXPECT_EQ(leaving.get_most_arrivals(seconds(60), leaving.arrivals.front() + milliseconds(500)), 0U);
}

TEST_F(gateway_limits_test, a_stage_replica_that_says_it_leaves_gets_no_more_calls) {
	configure(1);
	add_replica("llm");
	standin_replica &leaving = add_replica("encode");
	add_replica("encode");
	add_replica("search");
	start_nodes(2);
	leaving.says_leaving = true;
	send_evenly("/stream/staged/x", seconds(1), 12, STAGED);
	EXPECT_GT(leaving.stage_calls, 0U) << "somebody has to be told";
	const std::size_t before = leaving.stage_calls;
	send_evenly("/stream/staged/x", seconds(2), 12, STAGED);
	EXPECT_EQ(leaving.stage_calls, before);
	EXPECT_EQ(count_served(), 36U);
}

TEST_F(gateway_limits_test, an_endpoint_that_asks_for_rest_gets_none_of_the_nodes_requests_meanwhile) {
	configure(1);
	standin_replica &resting = add_replica("llm");
	add_replica("llm");
	start_nodes(1);
	resting.mode = replica_mode::SHED;
	resting.retry_after = "3";
	send_evenly("/safe/", seconds(2), 20);
	ASSERT_FALSE(resting.arrivals.empty());
	const instant asked = resting.arrivals.front();
	EXPECT_LE(resting.get_most_arrivals(seconds(60), asked + milliseconds(500)), 2U);
	EXPECT_EQ(count_served(), 40U);
	resting.mode = replica_mode::ANSWER;
	run_until([asked] { return event_loop::now() > asked + milliseconds(3100); });
	send_evenly("/safe/", seconds(2), 20);
	EXPECT_FALSE(resting.runs.empty()) << "it has rested";
}

TEST_F(gateway_limits_test, a_stage_replica_that_asks_for_rest_gets_no_calls_meanwhile) {
	configure(1);
	add_replica("llm");
	standin_replica &resting = add_replica("encode");
	add_replica("encode");
	add_replica("search");
	start_nodes(1);
	resting.mode = replica_mode::SHED;
	resting.retry_after = "3";
	send_evenly("/stream/staged/x", seconds(2), 12, STAGED);
	ASSERT_FALSE(resting.arrivals.empty());
	EXPECT_LE(resting.get_most_arrivals(seconds(60), resting.arrivals.front() + milliseconds(500)), 2U);
}

TEST_F(gateway_limits_test, when_all_endpoints_rest_requests_are_refused_at_once_with_the_shortest_of_the_rests) {
	configure(1);
	for (const char *seconds_of_rest : { "8", "5" }) {
		standin_replica &resting = add_replica("llm");
		resting.mode = replica_mode::SHED;
		resting.retry_after = seconds_of_rest;
	}
	start_nodes(1);
	ask(*_gateways[0], "/safe/");
	const instant begin = event_loop::now();
	const std::shared_ptr<caller_result> refused = ask(*_gateways[0], "/safe/");
	EXPECT_EQ(refused->head.status, 503);
	EXPECT_LT(event_loop::now() - begin, duration(milliseconds(500)));
	const double come_back = std::stod(refused->get("Retry-After"));
	EXPECT_GT(come_back, 4.0);
	EXPECT_LE(come_back, 5.0);
}

TEST_F(gateway_limits_test, a_node_that_only_heard_of_a_limit_keeps_it) {
	configure(1);
	standin_replica &limited = add_replica("llm");
	start_nodes(2);
	wait(milliseconds(800));
	limited.rate_limit = "0.5";
	ask(*_gateways[0], "/safe/");
	wait(milliseconds(300));
	add_replica("llm");
	wait(milliseconds(1200));
	const std::size_t before = limited.runs.size();
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(ask(*_gateways[1], "/safe/")->head.status, 200);
	}
	EXPECT_LE(limited.runs.size() - before, 1U);
}

TEST_F(gateway_limits_test, what_limits_leave_no_room_for_is_refused_at_once_with_a_time_to_come_back) {
	configure(1);
	standin_replica &limited = add_replica("llm");
	start_nodes(1);
	wait(milliseconds(1000));
	limited.rate_limit = "1";
	ask(*_gateways[0], "/safe/");
	const instant begin = event_loop::now();
	for (int i = 0; i < 10; i++) {
		_sent.push_back(send(*_gateways[0], "/safe/"));
	}
	wait(milliseconds(400));
	std::size_t refused = 0;
	for (const std::shared_ptr<caller_result> &result : _sent) {
		if (result->end.has_value() && result->head.status == 503) {
			refused++;
			EXPECT_GT(std::stod(result->get("Retry-After")), 0.0);
		}
	}
	EXPECT_GE(refused, 7U);
	run_until([this] { return std::all_of(_sent.begin(), _sent.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	EXPECT_GE(count_served(), 1U) << "what it takes within the objective of two seconds";
	EXPECT_LE(event_loop::now() - begin, seconds(3)) << "nobody is held for more";
}

TEST_F(gateway_limits_test, an_endpoint_that_names_no_limit_any_more_is_sent_to_as_before) {
	configure(1);
	standin_replica &limited = add_replica("llm");
	start_nodes(3);
	wait(milliseconds(800));
	limited.rate_limit = "1";
	send_evenly("/safe/", seconds(2), 10);
	limited.rate_limit.clear();
	wait(milliseconds(1100));
	send_evenly("/safe/", seconds(1), 4);
	wait(milliseconds(500));
	_sent.clear();
	send_evenly("/safe/", seconds(2), 30);
	EXPECT_EQ(count_served(), 60U) << "also at nodes that had no place there";
}

} // namespace calicoscale
