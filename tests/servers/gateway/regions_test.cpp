/*
 * calicoscale: regions_test.cpp
 * Placement of work and results in two regions.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/engine_view.h"
#include "servers/gateway/stage_pool.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant START{ std::chrono::hours(1) };
const std::map<std::string, std::string> REGIONS{ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };

endpoint_listing make_replica(const std::string &p_name, const std::string &p_zone) {
	endpoint_listing listing;
	listing.vm = p_name;
	listing.zone = p_zone;
	listing.pool = "encode";
	listing.address = network_address{ "127.0.0.1", 1 };
	return listing;
}

} // namespace

TEST(regions, zones_whose_region_is_not_known_are_taken_for_one) {
	EXPECT_TRUE(is_same_region("a1", "a2", REGIONS));
	EXPECT_FALSE(is_same_region("a1", "b1", REGIONS));
	EXPECT_TRUE(is_same_region("a1", "x", REGIONS));
}

TEST(regions, large_results_stay_in_their_region_while_it_has_capacity) {
	stage_pool pool;
	pool.set_spec(stage_pool_spec{ .slots = 1, .batch = 4, .call_time = milliseconds(150), .piece_time = milliseconds(10), .capacity_bytes = 1e9, .result_ttl = seconds(4) });
	pool.set_regions(REGIONS);
	pool.set_replicas({ make_replica("near", "a2"), make_replica("far", "b1") });
	// The near replica is slower, but by less than the penalty for the other region.
	pool.on_load_reported(endpoint_identity{ "near", 0 }, 1.9, START);
	stage_work work;
	work.attempt = "r";
	work.pieces = 1;
	work.zone = "a1";
	work.transfer_bytes = 4'000'000;
	work.give_up_at = START + seconds(20);
	work.due_at = START + seconds(10);
	pool.add(1, work, START);
	const std::optional<stage_call> call = pool.next_call(START);
	ASSERT_TRUE(call);
	EXPECT_EQ(call->replica.vm, "near");
	pool.add(2, work, START);
	const std::optional<stage_call> next = pool.next_call(START);
	ASSERT_TRUE(next) << "the other region is used while this one is busy";
	EXPECT_EQ(next->replica.vm, "far");
}

TEST(regions, an_engine_of_the_own_region_is_chosen_among_like_ones) {
	engine_view view{ mechanism_set() };
	std::size_t near = 0;
	for (int i = 0; i < 40; i++) {
		const std::vector<engine_candidate> candidates{ { 1, { "e1", 0 }, "b1", 0, true }, { 2, { "e2", 0 }, "a2", 0, false } };
		const std::vector<prompt_link> prompt{ prompt_link{ static_cast<std::uint64_t>(i), 100 }, prompt_link{ static_cast<std::uint64_t>(i) + 1000, 50 } };
		near += view.choose(candidates, prompt, "", START);
	}
	EXPECT_EQ(near, 40U);
}

} // namespace calicoscale
