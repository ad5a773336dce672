/*
 * calicoscale: stage_restart_test.cpp
 * Replicas of a stage pool that restart under the same name.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_pool.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const network_address ADDRESS{ "10.0.0.1", 80 };

instant at(int p_ms) {
	return instant(seconds(1000) + milliseconds(p_ms));
}

/** Pool of one replica with one slot and memory for one result. */
class stage_restart_test : public ::testing::Test {
protected:
	stage_pool _pool;

	void SetUp() override {
		stage_pool_spec spec;
		spec.slots = 1;
		spec.batch = 1;
		spec.call_time = milliseconds(100);
		spec.result_ttl = seconds(4);
		spec.capacity_bytes = 100.0;
		_pool.set_spec(spec);
		start_replica(1);
	}

	void start_replica(std::uint64_t p_incarnation) {
		endpoint_listing listing;
		listing.vm = "e";
		listing.incarnation = p_incarnation;
		listing.pool = "encode";
		listing.address = ADDRESS;
		_pool.set_replicas({ listing });
	}

	void add_work(std::size_t p_pieces) {
		stage_work work;
		work.attempt = "r";
		work.pieces = p_pieces;
		work.result_bytes = 100;
		work.due_at = at(3000);
		work.give_up_at = at(8000);
		_pool.add(1, work, at(0));
	}

	void complete_call(const stage_call &p_call, const std::string &p_handle, int p_at) {
		_pool.on_call_ended(p_call.id, call_end::ANSWERED, { item_result{ item_end::DONE, p_handle } }, at(p_at));
	}
};

} // namespace

TEST_F(stage_restart_test, the_slot_of_a_call_at_the_earlier_start_is_free_at_the_later_one) {
	add_work(2);
	const std::optional<stage_call> lost = _pool.next_call(at(0));
	ASSERT_TRUE(lost);
	start_replica(2);
	const std::optional<stage_call> call = _pool.next_call(at(10));
	ASSERT_TRUE(call);
	EXPECT_EQ(call->replica, (endpoint_identity{ "e", 2 }));
	_pool.on_call_ended(lost->id, call_end::BROKEN, {}, at(20));
	EXPECT_FALSE(_pool.next_call(at(30))) << "the only slot of the later incarnation is in use";
}

TEST_F(stage_restart_test, a_call_at_the_earlier_start_is_made_again_at_once) {
	add_work(1);
	ASSERT_TRUE(_pool.next_call(at(0)));
	start_replica(2);
	_pool.tick([] { return true; }, at(30));
	const std::optional<stage_call> again = _pool.next_call(at(30));
	ASSERT_TRUE(again);
	complete_call(*again, "10.0.0.1:80/a", 130);
	const std::vector<work_result> ended = _pool.take_ended();
	ASSERT_EQ(ended.size(), 1U);
	EXPECT_EQ(ended[0].end, work_end::DONE);
	EXPECT_EQ(ended[0].incarnations, (std::vector<std::uint64_t>{ 2 }));
}

TEST_F(stage_restart_test, failures_of_the_earlier_start_do_not_block_the_later_one) {
	add_work(1);
	const std::optional<stage_call> broken = _pool.next_call(at(0));
	ASSERT_TRUE(broken);
	_pool.on_call_ended(broken->id, call_end::BROKEN, {}, at(10));
	EXPECT_FALSE(_pool.next_call(at(20)));
	start_replica(2);
	EXPECT_TRUE(_pool.next_call(at(20)));
}

TEST_F(stage_restart_test, results_of_the_earlier_start_take_no_room_and_are_made_again) {
	add_work(2);
	const std::optional<stage_call> first = _pool.next_call(at(0));
	ASSERT_TRUE(first);
	complete_call(*first, "10.0.0.1:80/a", 100);
	EXPECT_FALSE(_pool.next_call(at(110))) << "there is no memory for a second result";
	start_replica(2);
	const std::optional<stage_call> again = _pool.next_call(at(120));
	ASSERT_TRUE(again) << "the memory is free";
	EXPECT_EQ(again->items[0].piece, 0U) << "its result was lost";
	EXPECT_EQ(_pool.get_waiting_items(), 1U);
	EXPECT_EQ(_pool.take_unneeded_results(), (std::vector<std::string>{ "10.0.0.1:80/a" }));
	EXPECT_TRUE(_pool.take_ended().empty());
}

TEST_F(stage_restart_test, results_told_of_the_earlier_start_take_no_room_at_the_later_one) {
	start_replica(2);
	add_work(1);
	_pool.on_results_reported("n", { owned_result{ "10.0.0.1:80/a", ADDRESS, 1, 100.0 } }, at(0));
	const std::optional<stage_call> call = _pool.next_call(at(0));
	ASSERT_TRUE(call);
	_pool.on_call_ended(call->id, call_end::REFUSED, {}, at(10));
	_pool.on_results_reported("n", { owned_result{ "10.0.0.1:80/b", ADDRESS, 2, 100.0 } }, at(10));
	EXPECT_FALSE(_pool.next_call(at(200))) << "the result of the later incarnation occupies the memory";
}

} // namespace calicoscale
