/*
 * calicoscale: gateway_suspension_test.cpp
 * Tests that gateways do not act on outdated state after their VMs were suspended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <algorithm>
#include <ctime>

namespace calicoscale {

namespace {

duration suspended = duration::zero();

/** Returns the clocks of VMs that have been suspended for the time in `suspended`. */
clock_reading read_clocks() {
	timespec time{};
	clock_gettime(CLOCK_MONOTONIC, &time);
	const instant running(std::chrono::duration_cast<duration>(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
	return clock_reading{ running + suspended, running };
}

class gateway_suspension_test : public gateway_fixture {
protected:
	void SetUp() override {
		suspended = duration::zero();
		event_loop::set_clock_reader(&read_clocks);
		gateway_fixture::SetUp();
	}

	/** Simulates that all VMs are suspended for p_time and resume. */
	void suspend(duration p_time) {
		suspended += p_time;
		_loop.run_due_timers();
	}

	void TearDown() override {
		_gateways.clear();
		event_loop::set_clock_reader(nullptr);
	}
};

} // namespace

TEST_F(gateway_suspension_test, peers_are_not_lost_by_ones_own_absence) {
	configure(1);
	add_replica("llm");
	start_ready();
	start_ready();
	wait(milliseconds(600));
	suspend(seconds(3));
	std::size_t fewest = 2;
	const instant until = event_loop::now() + seconds(1);
	run_until([this, until, &fewest] {
		for (const std::unique_ptr<gateway> &node : _gateways) {
			fewest = std::min(fewest, node->get_live_count());
		}
		return event_loop::now() > until;
	});
	EXPECT_EQ(fewest, 2U);
}

TEST_F(gateway_suspension_test, a_peer_that_went_meanwhile_is_lost_soon_after) {
	configure(1);
	add_replica("llm");
	gateway &node = start_ready();
	start_ready();
	wait(milliseconds(600));
	_gateways.pop_back();
	suspend(seconds(3));
	const instant woken = event_loop::now();
	run_until([&node] { return node.get_live_count() == 1; });
	EXPECT_LT(event_loop::now() - woken, duration(seconds(2)));
}

TEST_F(gateway_suspension_test, nothing_is_answered_from_what_was_true_before) {
	configure(1);
	add_replica("llm");
	gateway &node = start_ready();
	ASSERT_EQ(ask(node, "/once/", "key-2")->head.status, 200);
	// The connections to the store do not survive the suspension, and a key is removed from the configuration meanwhile.
	_store.lose_waiting_reads();
	json configuration = make_configuration(2);
	configuration["tenants"][0]["api_keys"] = { "key-1" };
	_store.put(CONFIGURATION_TOPIC, "config", configuration.dump());
	suspend(seconds(4));
	EXPECT_EQ(ask(node, "/once/", "key-2")->head.status, 401);
	EXPECT_EQ(ask(node, "/once/", "key-1")->head.status, 200);
}

TEST_F(gateway_suspension_test, a_node_whose_store_is_away_serves_all_the_same) {
	configure(1);
	add_replica("llm");
	gateway &node = start_ready();
	_store.set_mute(true);
	suspend(seconds(4));
	const std::shared_ptr<caller_result> result = send(node, "/once/");
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->head.status, 200);
}

TEST_F(gateway_suspension_test, a_request_whose_time_is_over_at_waking_is_answered_and_not_sent) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	encode.hold_stages = true;
	gateway &node = start_ready();
	const std::shared_ptr<caller_result> result = send(node, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
	run_until([&encode] { return encode.get_held_stages() == 1; });
	encode.run_held_stages();
	suspend(seconds(4));
	const instant woken = event_loop::now();
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->head.status, 504);
	EXPECT_LT(event_loop::now() - woken, duration(milliseconds(500)));
	EXPECT_TRUE(engine.runs.empty());
}

} // namespace calicoscale
