/*
 * calicoscale: replica_pace_test.cpp
 * Slowdown factor of a replica from its reports and its measured calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_pool.h"
#include "servers/load/replica_slowdown.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant START{ std::chrono::hours(1) };

endpoint_listing make_replica(const std::string &p_name, std::uint16_t p_port) {
	endpoint_listing listing;
	listing.vm = p_name;
	listing.zone = "a";
	listing.pool = "encode";
	listing.address = network_address{ "127.0.0.1", p_port };
	return listing;
}

stage_work make_work(const std::string &p_attempt) {
	stage_work work;
	work.attempt = p_attempt;
	work.pieces = 1;
	work.caller_key = "k";
	work.give_up_at = START + seconds(20);
	work.due_at = START + seconds(10);
	return work;
}

} // namespace

TEST(replica_pace, what_a_replica_tells_holds_for_moments_only) {
	replica_slowdown pace;
	pace.tell(2.5, START);
	EXPECT_DOUBLE_EQ(pace.get(START), 2.5);
	EXPECT_LT(pace.get(START + seconds(2)), 1.01);
}

TEST(replica_pace, a_replica_that_shares_its_machine_is_not_taken_for_a_slow_one) {
	replica_slowdown pace;
	for (int i = 0; i < 10; i++) {
		pace.tell(2.5, START + milliseconds(i));
		pace.learn(2.5, 2.5, START + milliseconds(i));
	}
	pace.tell(1.0, START + milliseconds(10));
	EXPECT_NEAR(pace.get(START + milliseconds(10)), 1.0, 0.05);
}

TEST(replica_pace, a_replica_that_tells_nothing_is_slow_by_what_its_calls_took) {
	replica_slowdown pace;
	for (int i = 0; i < 10; i++) {
		pace.learn(3.0, 1.0, START);
	}
	EXPECT_NEAR(pace.get(START), 3.0, 0.1);
}

TEST(replica_pace, numbers_that_are_none_are_kept_within_bounds) {
	replica_slowdown pace;
	pace.tell(1e9, START);
	EXPECT_LE(pace.get(START), replica_slowdown::MAX_FACTOR);
	pace.tell(0.0, START);
	EXPECT_GE(pace.get(START), 1.0);
}

TEST(replica_pace, a_call_goes_to_the_replica_whose_machine_is_free) {
	stage_pool pool;
	pool.set_spec(stage_pool_spec{ .slots = 1, .batch = 4, .call_time = milliseconds(150), .piece_time = milliseconds(10), .capacity_bytes = 1e9, .result_ttl = seconds(4) });
	const std::vector<endpoint_listing> replicas{ make_replica("i-1", 1), make_replica("i-2", 2) };
	pool.set_replicas(replicas);
	for (const std::string &busy : { std::string("i-1"), std::string("i-2") }) {
		pool.on_load_reported(endpoint_identity{ "i-1", 0 }, busy == "i-1" ? 2.5 : 1.0, START);
		pool.on_load_reported(endpoint_identity{ "i-2", 0 }, busy == "i-2" ? 2.5 : 1.0, START);
		pool.add(busy == "i-1" ? 1 : 2, make_work(busy), START);
		const std::optional<stage_call> call = pool.next_call(START);
		ASSERT_TRUE(call);
		EXPECT_NE(call->replica.vm, busy);
		pool.on_call_ended(call->id, call_end::ANSWERED, { item_result{ item_end::DONE, "127.0.0.1:1/a" } }, START + milliseconds(160));
	}
}

} // namespace calicoscale
