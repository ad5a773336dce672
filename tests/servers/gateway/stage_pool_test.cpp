/*
 * calicoscale: stage_pool_test.cpp
 * Calls of a stage pool: batching, order, failures, lost answers, memory for results, and zones.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_pool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant at(milliseconds p_time) {
	return instant(seconds(1000) + p_time);
}

stage_pool_spec make_spec() {
	stage_pool_spec spec;
	spec.batch = 8;
	spec.call_time = milliseconds(150);
	spec.piece_time = milliseconds(10);
	spec.result_ttl = seconds(4);
	return spec;
}

endpoint_listing make_replica(const std::string &p_name, const std::string &p_zone = "a") {
	endpoint_listing listing;
	listing.vm = p_name;
	listing.pool = "encode";
	listing.zone = p_zone;
	listing.address = network_address{ "10.0.0.1", 80 };
	return listing;
}

stage_work make_work(std::size_t p_pieces, instant p_objective, int p_priority = 1) {
	stage_work work;
	work.attempt = "r";
	work.pieces = p_pieces;
	work.due_at = p_objective;
	work.give_up_at = p_objective + seconds(5);
	work.priority = p_priority;
	return work;
}

std::vector<item_result> make_results(const stage_call &p_call, const std::string &p_producer) {
	std::vector<item_result> results;
	for (const stage_item &item : p_call.items) {
		results.push_back(item_result{ item_end::DONE, p_producer + "/" + std::to_string(item.work) + "." + std::to_string(item.piece) });
	}
	return results;
}

const std::function<bool()> MAY_REPEAT = [] { return true; };

class stage_pool_test : public ::testing::Test {
protected:
	stage_pool _pool;

	void SetUp() override {
		_pool.set_spec(make_spec());
		_pool.set_replicas({ make_replica("e1") });
	}

	stage_call expect_call(milliseconds p_at) {
		const std::optional<stage_call> call = _pool.next_call(at(p_at));
		EXPECT_TRUE(call);
		return call.value_or(stage_call());
	}
};

} // namespace

TEST_F(stage_pool_test, work_that_waits_shares_the_next_call) {
	_pool.add(1, make_work(2, at(milliseconds(1000))), at(milliseconds(0)));
	const stage_call first = expect_call(milliseconds(0));
	EXPECT_EQ(first.items.size(), 2U);
	_pool.add(2, make_work(3, at(milliseconds(1000))), at(milliseconds(10)));
	_pool.add(3, make_work(4, at(milliseconds(1100))), at(milliseconds(20)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(30)))) << "the only replica is busy";
	_pool.on_call_ended(first.id, call_end::ANSWERED, make_results(first, "e1:1"), at(milliseconds(170)));
	const stage_call second = expect_call(milliseconds(170));
	EXPECT_EQ(second.items.size(), 7U);
	_pool.on_call_ended(second.id, call_end::ANSWERED, make_results(second, "e1:1"), at(milliseconds(400)));
	const std::vector<work_result> ended = _pool.take_ended();
	ASSERT_EQ(ended.size(), 3U);
	EXPECT_EQ(ended[1].handles, (std::vector<std::string>{ "e1:1/2.0", "e1:1/2.1", "e1:1/2.2" }));
	EXPECT_EQ(_pool.get_work_count(), 0U);
}

TEST_F(stage_pool_test, the_more_urgent_goes_first_and_what_cannot_be_in_time_last) {
	_pool.add(1, make_work(8, at(milliseconds(1000)), 2), at(milliseconds(0)));
	_pool.add(2, make_work(8, at(milliseconds(1200)), 0), at(milliseconds(0)));
	_pool.add(3, make_work(8, at(milliseconds(50)), 0), at(milliseconds(0)));
	EXPECT_EQ(expect_call(milliseconds(0)).items.front().work, 2U);
	_pool.on_call_ended(1, call_end::REFUSED, {}, at(milliseconds(1)));
	_pool.cancel(2);
	EXPECT_EQ(expect_call(milliseconds(100)).items.front().work, 1U);
}

TEST_F(stage_pool_test, late_work_with_inputs_goes_behind_what_can_be_in_time_until_half_their_time_to_live) {
	stage_work with_inputs = make_work(8, at(milliseconds(50)));
	with_inputs.inputs = { "x/1" };
	_pool.add(1, make_work(8, at(milliseconds(1900))), at(milliseconds(0)));
	_pool.add(2, std::move(with_inputs), at(milliseconds(0)));
	_pool.add(3, make_work(8, at(milliseconds(2500))), at(milliseconds(0)));
	_pool.add(4, make_work(8, at(milliseconds(40))), at(milliseconds(0)));
	std::vector<work_id> order;
	for (const int offset : { 0, 1, 2, 3 }) {
		const stage_call call = expect_call(milliseconds(offset));
		order.push_back(call.items.front().work);
		_pool.on_call_ended(call.id, call_end::ANSWERED, make_results(call, "b:1"), at(milliseconds(offset)));
	}
	EXPECT_EQ(order, (std::vector<work_id>{ 1, 2, 3, 4 })) << "late work without inputs or results is last";
}

TEST_F(stage_pool_test, a_lost_answer_does_not_take_the_replica_for_good) {
	_pool.add(1, make_work(1, at(milliseconds(1000))), at(milliseconds(0)));
	const stage_call lost = expect_call(milliseconds(0));
	EXPECT_TRUE(_pool.get_overdue(at(milliseconds(500))).empty());
	_pool.tick(MAY_REPEAT, at(milliseconds(1000)));
	ASSERT_EQ(_pool.get_overdue(at(milliseconds(1500))), std::vector<std::uint64_t>{ lost.id });
	_pool.on_call_ended(lost.id, call_end::BROKEN, {}, at(milliseconds(1500)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(1501)))) << "the replica is blocked after the failure";
	EXPECT_EQ(expect_call(milliseconds(1900)).items.front().work, 1U);
}

TEST_F(stage_pool_test, calls_to_a_zone_that_is_cut_off_are_made_elsewhere_at_once_and_an_answer_counts_all_the_same) {
	_pool.set_replicas({ make_replica("e1", "a"), make_replica("e2", "b") });
	_pool.add(1, make_work(8, at(milliseconds(2000))), at(milliseconds(0)));
	_pool.add(2, make_work(8, at(milliseconds(2100))), at(milliseconds(0)));
	std::map<std::string, stage_call> calls;
	for (int i = 0; i < 2; i++) {
		const stage_call call = expect_call(milliseconds(0));
		calls[call.replica.vm] = call;
	}
	ASSERT_EQ(calls.size(), 2U);
	EXPECT_DOUBLE_EQ(_pool.get_capacity(at(milliseconds(1))), 2.0);
	_pool.set_unreachable_zones({ "b" }, MAY_REPEAT);
	EXPECT_DOUBLE_EQ(_pool.get_capacity(at(milliseconds(1))), 1.0);
	_pool.on_call_ended(calls.at("e1").id, call_end::ANSWERED, make_results(calls.at("e1"), "e1:1"), at(milliseconds(230)));
	const stage_call again = expect_call(milliseconds(230));
	EXPECT_EQ(again.replica.vm, "e1");
	EXPECT_EQ(again.items.front().work, calls.at("e2").items.front().work);
	_pool.on_call_ended(calls.at("e2").id, call_end::ANSWERED, make_results(calls.at("e2"), "e2:1"), at(milliseconds(240)));
	EXPECT_EQ(_pool.take_ended().size(), 2U);
	EXPECT_EQ(_pool.get_work_count(), 0U);
}

TEST_F(stage_pool_test, with_all_zones_cut_off_any_replica_is_tried) {
	_pool.set_unreachable_zones({ "a" }, MAY_REPEAT);
	_pool.add(1, make_work(1, at(milliseconds(2000))), at(milliseconds(0)));
	EXPECT_EQ(expect_call(milliseconds(0)).replica.vm, "e1");
}

TEST_F(stage_pool_test, a_call_far_over_its_time_is_made_anew_elsewhere_and_the_first_answer_counts) {
	_pool.set_replicas({ make_replica("e1"), make_replica("e2") });
	_pool.add(1, make_work(1, at(milliseconds(2000))), at(milliseconds(0)));
	const stage_call slow = expect_call(milliseconds(0));
	_pool.tick(MAY_REPEAT, at(milliseconds(300)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(300))));
	_pool.tick(MAY_REPEAT, at(milliseconds(600)));
	const stage_call again = expect_call(milliseconds(600));
	EXPECT_NE(again.replica, slow.replica);
	_pool.on_call_ended(again.id, call_end::ANSWERED, make_results(again, "b:1"), at(milliseconds(800)));
	ASSERT_EQ(_pool.take_ended().size(), 1U);
	_pool.on_call_ended(slow.id, call_end::ANSWERED, make_results(slow, "a:1"), at(milliseconds(900)));
	EXPECT_TRUE(_pool.take_ended().empty());
	EXPECT_EQ(_pool.take_unneeded_results(), std::vector<std::string>{ "a:1/1.0" });
}

TEST_F(stage_pool_test, a_result_made_twice_under_one_handle_is_not_released_while_it_is_used) {
	_pool.set_replicas({ make_replica("e1"), make_replica("e2") });
	_pool.add(1, make_work(2, at(milliseconds(2000))), at(milliseconds(0)));
	const stage_call slow = expect_call(milliseconds(0));
	_pool.tick(MAY_REPEAT, at(milliseconds(700)));
	const stage_call again = expect_call(milliseconds(700));
	_pool.on_call_ended(slow.id, call_end::ANSWERED, { item_result{ item_end::DONE, "a:1/x" }, item_result{ item_end::FAILED, "" } }, at(milliseconds(750)));
	_pool.on_call_ended(again.id, call_end::ANSWERED, { item_result{ item_end::DONE, "a:1/x" }, item_result{ item_end::DONE, "a:1/y" } }, at(milliseconds(800)));
	EXPECT_TRUE(_pool.take_unneeded_results().empty());
	ASSERT_EQ(_pool.take_ended().size(), 1U);
}

TEST_F(stage_pool_test, no_repeat_without_the_right_to_it) {
	_pool.set_replicas({ make_replica("e1"), make_replica("e2") });
	_pool.add(1, make_work(1, at(milliseconds(2000))), at(milliseconds(0)));
	expect_call(milliseconds(0));
	_pool.tick([] { return false; }, at(milliseconds(900)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(900))));
}

TEST_F(stage_pool_test, a_slow_replica_is_left_and_tried_again_later) {
	_pool.set_replicas({ make_replica("e1"), make_replica("e2") });
	std::string slow;
	milliseconds now(0);
	for (work_id id = 1; id <= 6; id++) {
		_pool.add(id, make_work(1, at(now + milliseconds(2000))), at(now));
		const stage_call call = expect_call(now);
		slow = slow.empty() ? call.replica.vm : slow;
		now += call.replica.vm == slow ? milliseconds(800) : milliseconds(160);
		_pool.on_call_ended(call.id, call_end::ANSWERED, make_results(call, "x:1"), at(now));
	}
	_pool.add(7, make_work(1, at(now + milliseconds(2000))), at(now));
	const stage_call good = expect_call(now);
	EXPECT_NE(good.replica.vm, slow);
	_pool.add(8, make_work(1, at(now + milliseconds(2000))), at(now));
	EXPECT_FALSE(_pool.next_call(at(now + milliseconds(1)))) << "waiting for the fast replica takes less time";
	now += milliseconds(20000);
	EXPECT_NEAR(_pool.get_capacity(at(now)), 2.0, 0.1) << "the slowdown factor decays over time";
}

TEST_F(stage_pool_test, input_that_is_gone_ends_the_work_and_its_results_are_released) {
	_pool.add(1, make_work(2, at(milliseconds(2000))), at(milliseconds(0)));
	const stage_call call = expect_call(milliseconds(0));
	_pool.on_call_ended(call.id, call_end::ANSWERED, { item_result{ item_end::DONE, "a:1/x" }, item_result{ item_end::INPUT_LOST, "" } }, at(milliseconds(200)));
	const std::vector<work_result> ended = _pool.take_ended();
	ASSERT_EQ(ended.size(), 1U);
	EXPECT_EQ(ended[0].end, work_end::INPUT_LOST);
	EXPECT_EQ(_pool.take_unneeded_results(), std::vector<std::string>{ "a:1/x" });
}

TEST_F(stage_pool_test, a_replica_gets_no_more_than_its_room) {
	stage_pool_spec spec = make_spec();
	spec.capacity_bytes = 8.0;
	_pool.set_spec(spec);
	stage_work work = make_work(8, at(milliseconds(2000)));
	work.result_bytes = 2;
	_pool.add(1, std::move(work), at(milliseconds(0)));
	const stage_call call = expect_call(milliseconds(0));
	EXPECT_EQ(call.items.size(), 4U);
	const std::vector<item_result> results = make_results(call, "a:1");
	_pool.on_call_ended(call.id, call_end::ANSWERED, results, at(milliseconds(200)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(200))));
	_pool.on_released({ results[0].handle, results[1].handle, results[2].handle, results[3].handle });
	EXPECT_EQ(expect_call(milliseconds(210)).items.size(), 4U);
}

TEST_F(stage_pool_test, room_of_results_that_nobody_releases_comes_back_with_their_time_to_live) {
	stage_pool_spec spec = make_spec();
	spec.capacity_bytes = 8.0;
	_pool.set_spec(spec);
	stage_work work = make_work(8, at(milliseconds(20000)));
	work.result_bytes = 2;
	work.give_up_at = at(milliseconds(30000));
	_pool.add(1, std::move(work), at(milliseconds(0)));
	const stage_call call = expect_call(milliseconds(0));
	_pool.on_call_ended(call.id, call_end::ANSWERED, make_results(call, "a:1"), at(milliseconds(200)));
	_pool.tick(MAY_REPEAT, at(milliseconds(4300)));
	EXPECT_TRUE(_pool.next_call(at(milliseconds(4300))));
}

TEST_F(stage_pool_test, room_that_unknown_results_hold_is_learnt_from_refused_pieces) {
	stage_pool_spec spec = make_spec();
	spec.capacity_bytes = 8.0;
	_pool.set_spec(spec);
	stage_work work = make_work(8, at(seconds(20)));
	work.result_bytes = 1;
	_pool.add(1, work, at(milliseconds(0)));
	const stage_call first = expect_call(milliseconds(0));
	ASSERT_EQ(first.items.size(), 8U);
	std::vector<item_result> results = make_results(first, "e1:1");
	for (std::size_t i = 2; i < results.size(); i++) {
		results[i] = item_result{ item_end::NO_CAPACITY, "" };
	}
	_pool.on_call_ended(first.id, call_end::ANSWERED, results, at(milliseconds(200)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(400)))) << "six unknown results fill the remaining capacity";
	const stage_call second = expect_call(milliseconds(2300));
	EXPECT_EQ(second.items.size(), 3U) << "half of their time to live has passed";
}

TEST_F(stage_pool_test, results_that_others_hold_take_room_until_they_are_released_or_their_holder_is_lost) {
	stage_pool_spec spec = make_spec();
	spec.capacity_bytes = 8.0;
	_pool.set_spec(spec);
	const network_address producer{ "10.0.0.1", 80 };
	_pool.on_results_reported("n1", { owned_result{ "e1:1/a", producer, 0, 3.0 }, owned_result{ "e1:1/b", producer, 0, 3.0 }, owned_result{ "elsewhere", network_address{ "10.9.9.9", 1 }, 0, 100.0 } }, at(milliseconds(0)));
	_pool.on_results_reported("n1", { owned_result{ "e1:1/a", producer, 0, 3.0 } }, at(milliseconds(1)));
	stage_work work = make_work(8, at(seconds(20)));
	work.result_bytes = 1;
	_pool.add(1, work, at(milliseconds(10)));
	const stage_call first = expect_call(milliseconds(10));
	EXPECT_EQ(first.items.size(), 2U) << "a result reported twice counts once";
	_pool.on_call_ended(first.id, call_end::ANSWERED, make_results(first, "e1:1"), at(milliseconds(200)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(210))));
	EXPECT_EQ(_pool.get_results_of("n1"), (std::vector<std::string>{ "e1:1/a", "e1:1/b" }));
	_pool.on_released(_pool.get_results_of("n1"));
	EXPECT_EQ(expect_call(milliseconds(220)).items.size(), 6U);
	_pool.set_owner({ "e1:1/1.0" }, "n2");
	EXPECT_EQ(_pool.get_results_of("n2"), (std::vector<std::string>{ "e1:1/1.0" }));
}

TEST_F(stage_pool_test, large_reads_wait_for_their_zone_within_the_time_left) {
	_pool.set_replicas({ make_replica("far", "b"), make_replica("near", "a") });
	stage_work large = make_work(1, at(milliseconds(3000)));
	large.zone = "a";
	large.transfer_bytes = 7'000'000;
	_pool.add(1, large, at(milliseconds(0)));
	EXPECT_EQ(expect_call(milliseconds(0)).replica.vm, "near");
	_pool.add(2, large, at(milliseconds(10)));
	EXPECT_FALSE(_pool.next_call(at(milliseconds(10)))) << "the near replica will be free soon";
	stage_work urgent = large;
	urgent.due_at = at(milliseconds(180));
	_pool.add(3, urgent, at(milliseconds(10)));
	EXPECT_EQ(expect_call(milliseconds(10)).replica.vm, "far");
}

TEST_F(stage_pool_test, capacity_is_what_was_seen_while_work_waited) {
	for (work_id id = 1; id <= 40; id++) {
		_pool.add(id, make_work(8, at(milliseconds(60000))), at(milliseconds(0)));
	}
	_pool.tick(MAY_REPEAT, at(milliseconds(0)));
	EXPECT_NEAR(_pool.get_capacity(at(milliseconds(0))), 1.0, 0.01);
	milliseconds now(0);
	for (int i = 0; i < 8; i++) {
		const stage_call call = expect_call(now);
		// Answers take three times as long as expected, so the measured throughput is low.
		for (int tick = 0; tick < 23; tick++) {
			now += milliseconds(30);
			_pool.tick([] { return false; }, at(now));
		}
		_pool.on_call_ended(call.id, call_end::ANSWERED, make_results(call, "a:1"), at(now));
	}
	EXPECT_LT(_pool.get_capacity(at(now)), 0.6);
}

RC_GTEST_PROP(stage_pool, every_piece_is_delivered_once_or_its_work_ends_otherwise, ()) {
	stage_pool pool;
	pool.set_spec(make_spec());
	pool.set_replicas({ make_replica("e1"), make_replica("e2", "b"), make_replica("e3", "c") });
	std::map<std::uint64_t, stage_call> open;
	std::map<work_id, std::size_t> expected;
	std::set<work_id> ended;
	milliseconds now(0);
	work_id next = 1;
	const auto check = [&] {
		for (const work_result &result : pool.take_ended()) {
			RC_ASSERT(ended.insert(result.id).second);
			RC_ASSERT(result.end != work_end::DONE || result.handles.size() == expected.at(result.id));
			for (std::size_t i = 0; i < result.handles.size(); i++) {
				RC_ASSERT(result.handles[i].ends_with("/" + std::to_string(result.id) + "." + std::to_string(i)));
			}
		}
	};
	const int steps = *rc::gen::inRange(20, 150);
	for (int i = 0; i < steps; i++) {
		now += milliseconds(*rc::gen::inRange(0, 120));
		const int action = *rc::gen::inRange(0, 6);
		if (action <= 1) {
			const std::size_t pieces = *rc::gen::inRange<std::size_t>(1, 20);
			expected[next] = pieces;
			pool.add(next++, make_work(pieces, at(now + milliseconds(1500)), *rc::gen::inRange(0, 3)), at(now));
		} else if (action == 2 && next > 1) {
			const work_id cancelled = *rc::gen::inRange<work_id>(1, next);
			pool.cancel(cancelled);
			ended.insert(cancelled);
		} else if (action == 3 && !open.empty()) {
			const auto entry = std::next(open.begin(), *rc::gen::inRange<long>(0, static_cast<long>(open.size())));
			const call_end end = *rc::gen::element(call_end::ANSWERED, call_end::ANSWERED, call_end::REFUSED, call_end::BROKEN, call_end::UNREACHABLE);
			pool.on_call_ended(entry->first, end, end == call_end::ANSWERED ? make_results(entry->second, entry->second.replica.vm) : std::vector<item_result>(), at(now));
			open.erase(entry);
		} else {
			pool.tick(MAY_REPEAT, at(now));
		}
		for (std::optional<stage_call> call = pool.next_call(at(now)); call; call = pool.next_call(at(now))) {
			RC_ASSERT(!call->items.empty());
			RC_ASSERT(call->items.size() <= make_spec().batch);
			open[call->id] = *call;
		}
		check();
	}
	pool.tick(MAY_REPEAT, at(now + seconds(100)));
	check();
	RC_ASSERT(pool.get_work_count() == 0U);
	RC_ASSERT(pool.get_waiting_items() == 0U);
}

} // namespace calicoscale
