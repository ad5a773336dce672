/*
 * calicoscale: rollout_restart_test.cpp
 * Roll-outs in fleets of several sizes in which all nodes are killed, in virtual time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/rollout/rollout_fleet.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration ORDER_TIME = seconds(40);
/** Upper bound of the time until a decision has reached all nodes: nodes decide five times a second and send it within a second. */
constexpr duration PROPAGATION_TIME = seconds(2);

rollout_fleet make_fleet(std::size_t p_nodes) {
	const std::size_t endpoints = std::max<std::size_t>(4, p_nodes / 5);
	rollout_fleet fleet(p_nodes, endpoints, endpoints);
	fleet.rate = 300.0;
	return fleet;
}

void run_until(rollout_fleet &p_fleet, instant p_until) {
	p_fleet.run(p_until - p_fleet.now);
}

class rollout_restart_test : public ::testing::TestWithParam<std::size_t> {};

/** For tests that kill a part of the fleet, which needs more than one node. */
class rollout_several_nodes_test : public ::testing::TestWithParam<std::size_t> {};

} // namespace

// The order's time must not start again when the whole fleet restarts.
TEST_P(rollout_restart_test, a_good_version_is_completed_before_its_deadline_whenever_all_nodes_are_killed) {
	for (const duration at : { seconds(1), seconds(12), seconds(20), seconds(25), seconds(28) }) {
		rollout_fleet fleet = make_fleet(GetParam());
		const instant deadline = fleet.now + ORDER_TIME;
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(at);
		fleet.restart_all(seconds(2));
		run_until(fleet, deadline);
		EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED)) << "killed at " << to_seconds(at);
		EXPECT_EQ(fleet.get_stored_state(), rollout_state::COMPLETED);
		EXPECT_EQ(fleet.written.size(), 2U) << "one write for each state";
	}
}

// The order's time must not start again when the whole fleet is killed repeatedly.
TEST_P(rollout_restart_test, a_good_version_is_completed_before_its_deadline_when_all_nodes_are_killed_repeatedly) {
	rollout_fleet fleet = make_fleet(GetParam());
	const instant deadline = fleet.now + ORDER_TIME;
	fleet.order(fleet.make_order(ORDER_TIME));
	for (int i = 0; i < 5; i++) {
		fleet.run(seconds(4));
		fleet.restart_all(seconds(2));
	}
	run_until(fleet, deadline);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
	EXPECT_EQ(fleet.get_stored_state(), rollout_state::COMPLETED);
}

// An order without an outcome must end at its deadline. A restart of the whole fleet postponed the end by the full order time.
TEST_P(rollout_restart_test, an_order_is_over_at_its_deadline_when_all_nodes_are_killed_shortly_before_or_after) {
	for (const duration at : { seconds(24), seconds(38) }) {
		for (const duration pause : { seconds(2), seconds(30) }) {
			rollout_fleet fleet = make_fleet(GetParam());
			// Open work at the current version prevents the completion.
			fleet.answer_time = seconds(60);
			const instant deadline = fleet.now + ORDER_TIME;
			fleet.order(fleet.make_order(ORDER_TIME));
			fleet.run(at);
			fleet.restart_all(pause);
			fleet.answer_time = milliseconds(50);
			run_until(fleet, std::max(deadline, fleet.now) + PROPAGATION_TIME);
			EXPECT_NE(fleet.get_stored_state(), rollout_state::IN_PROGRESS) << "killed at " << to_seconds(at) << " for " << to_seconds(pause);
			EXPECT_TRUE(fleet.is_all(fleet.get_stored_state()));
		}
	}
}

// A restart of the whole fleet must not let a bad version keep its share for the full order time again.
TEST_P(rollout_restart_test, a_bad_version_keeps_to_its_share_and_is_rolled_back_whenever_all_nodes_are_killed) {
	for (const duration at : { seconds(1), seconds(12), seconds(25), seconds(30), seconds(45) }) {
		rollout_fleet fleet = make_fleet(GetParam());
		fleet.target.bad_share = 0.3;
		fleet.target.bad_after = seconds(24);
		const instant deadline = fleet.now + ORDER_TIME;
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(at);
		fleet.restart_all(seconds(2));
		run_until(fleet, std::max(deadline, fleet.now) + PROPAGATION_TIME);
		EXPECT_LE(static_cast<double>(fleet.seen.at_target), fleet.get_exposure_bound()) << "killed at " << to_seconds(at);
		EXPECT_TRUE(fleet.is_all(rollout_state::ROLLED_BACK));
		EXPECT_EQ(fleet.get_stored_state(), rollout_state::ROLLED_BACK);
		if (fleet.seen.bad_at_target >= 50) {
			EXPECT_LE(fleet.seen.last_at_target - fleet.seen.fiftieth_bad, fleet.bounds.rollback);
		}
	}
}

// An outcome that was decided but not yet written is lost with the fleet and must be found again.
TEST_P(rollout_restart_test, all_nodes_are_killed_between_the_decision_and_its_writing) {
	for (const double bad_share : { 0.0, 0.5 }) {
		rollout_fleet fleet = make_fleet(GetParam());
		fleet.target.bad_share = bad_share;
		const instant deadline = fleet.now + ORDER_TIME;
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(seconds(2));
		fleet.is_store_up = false;
		const rollout_state outcome = bad_share > 0.0 ? rollout_state::ROLLED_BACK : rollout_state::COMPLETED;
		while (!fleet.is_all(outcome) && fleet.now < deadline) {
			fleet.run(milliseconds(200));
		}
		ASSERT_TRUE(fleet.is_all(outcome));
		EXPECT_EQ(fleet.get_stored_state(), rollout_state::IN_PROGRESS);
		fleet.restart_all(seconds(1));
		fleet.is_store_up = true;
		run_until(fleet, deadline);
		EXPECT_EQ(fleet.get_stored_state(), outcome);
		EXPECT_TRUE(fleet.is_all(outcome));
		EXPECT_LE(bad_share > 0.0 ? static_cast<double>(fleet.seen.at_target) : 0.0, fleet.get_exposure_bound());
	}
}

// The order's time must include the time during which the stored state can't be read.
TEST_P(rollout_restart_test, the_store_is_away_when_all_nodes_start_again) {
	rollout_fleet fleet = make_fleet(GetParam());
	const instant deadline = fleet.now + ORDER_TIME;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(15));
	fleet.is_store_up = false;
	fleet.restart_all(seconds(2));
	const std::size_t before = fleet.seen.at_target;
	fleet.run(seconds(8));
	EXPECT_EQ(fleet.seen.at_target, before);
	fleet.is_store_up = true;
	run_until(fleet, deadline);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// While the store is unavailable the first state is written late; the order's time must include the time before that.
TEST_P(rollout_restart_test, the_time_before_the_first_state_was_written_counts) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.is_store_up = false;
	const instant deadline = fleet.now + ORDER_TIME;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(12));
	fleet.is_store_up = true;
	fleet.run(seconds(4));
	fleet.restart_all(seconds(2));
	run_until(fleet, deadline);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// A stored state without a readable time, from an earlier version of the program or another writer: the order continues with its full time.
TEST_P(rollout_restart_test, an_order_goes_on_from_a_state_without_a_readable_time) {
	for (const char *field : { "", R"(,"learnt_at_ms":"yesterday")", R"(,"learnt_at_ms":-1)", R"(,"learnt_at_ms":3)" }) {
		rollout_fleet fleet = make_fleet(GetParam());
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(seconds(10));
		fleet.kill_all();
		fleet.stored = std::string(R"({"service":"search","target_version":"2","order_offset":5,"order_era":0,"state":"in_progress")") + field + "}";
		fleet.run(seconds(50));
		fleet.start_all();
		fleet.run(seconds(20));
		EXPECT_TRUE(fleet.is_all(rollout_state::IN_PROGRESS)) << field;
		fleet.run(ORDER_TIME - seconds(20));
		EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED)) << field;
	}
}

// A newer order must get its own full time although the store holds the state of the previous order.
TEST_P(rollout_restart_test, a_newer_order_that_comes_while_all_nodes_are_away_has_its_whole_time) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(20));
	fleet.kill_all();
	fleet.order(fleet.make_order(ORDER_TIME, 9));
	fleet.run(seconds(1));
	const instant learned_at = fleet.now;
	fleet.start_all();
	fleet.run(seconds(20));
	EXPECT_TRUE(fleet.is_all(rollout_state::IN_PROGRESS)) << "the share rises after six tenths of its own time";
	EXPECT_FALSE(fleet.get(0).is_moving());
	run_until(fleet, learned_at + ORDER_TIME);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// Times of day that are set by a few seconds, at half of the nodes before the kill and differently after it, must not break the deadline.
TEST_P(rollout_restart_test, a_good_version_is_completed_before_its_deadline_when_clocks_are_stepped) {
	for (const duration step : { seconds(-3), seconds(3) }) {
		rollout_fleet fleet = make_fleet(GetParam());
		for (std::size_t i = 0; i < fleet.size(); i += 2) {
			fleet.set_clock_step(i, step);
		}
		const instant deadline = fleet.now + ORDER_TIME;
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(seconds(15));
		fleet.kill_all();
		for (std::size_t i = 0; i < fleet.size(); i++) {
			fleet.set_clock_step(i, i % 3 == 0 ? -step : step);
		}
		fleet.run(seconds(2));
		fleet.start_all();
		run_until(fleet, deadline);
		EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED)) << "stepped by " << to_seconds(step);
	}
}

// A node that restarts with a wrong time of day must not change the order's age at the running nodes.
TEST_P(rollout_several_nodes_test, one_node_that_starts_with_another_time_of_day_changes_nothing_for_the_others) {
	rollout_fleet fleet = make_fleet(GetParam());
	const instant deadline = fleet.now + ORDER_TIME;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(10));
	for (const duration step : { std::chrono::hours(1), std::chrono::hours(-1) }) {
		fleet.kill(0);
		fleet.set_clock_step(0, step);
		fleet.run(seconds(1));
		fleet.start(0);
		fleet.run(seconds(4));
		EXPECT_TRUE(fleet.is_all(rollout_state::IN_PROGRESS));
		EXPECT_FALSE(fleet.get(1).is_moving());
	}
	run_until(fleet, deadline);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// After the log was restored from an older copy the order has another position and must continue with its age.
TEST_P(rollout_restart_test, the_order_is_written_again_after_the_log_lost_it_while_all_nodes_were_away) {
	rollout_fleet fleet = make_fleet(GetParam());
	const instant deadline = fleet.now + ORDER_TIME;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(15));
	fleet.kill_all();
	rollout_order again = fleet.make_order(ORDER_TIME, 3);
	again.at.era = 1;
	fleet.order_again(again);
	fleet.run(seconds(2));
	fleet.start_all();
	run_until(fleet, deadline);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// The stored state of an old order to the same version must not be used as the age of a new order.
TEST_P(rollout_restart_test, the_age_of_an_order_of_an_older_copy_of_the_log_is_not_that_of_a_later_one) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(5));
	fleet.kill_all();
	fleet.run(std::chrono::minutes(2));
	rollout_order later = fleet.make_order(ORDER_TIME, 3);
	later.at.era = 1;
	fleet.order(later);
	fleet.start_all();
	fleet.run(ORDER_TIME);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// A node with a wrong time of day that reads the store before its first contact with others must adopt the age of the running nodes.
TEST(rollout_restart, an_age_by_the_time_of_day_gives_way_to_that_of_nodes_that_went_on) {
	const rollout_order order{ "s", "2", ORDER_TIME, log_position{ 0, 5 }, false };
	const instant start{ seconds(100) };
	for (const duration age : { seconds(39), seconds(0) }) {
		rollout other(rollout_bounds(), order, start - seconds(10));
		other.on_written(rollout_state::IN_PROGRESS);
		rollout entry(rollout_bounds(), order, start);
		EXPECT_TRUE(entry.apply_status(rollout_status{ "s", "2", rollout_state::IN_PROGRESS, order.at, age }, start));
		EXPECT_EQ(entry.get_age(start), age);
		other.apply_update(entry.make_update(start), start);
		EXPECT_EQ(other.get_age(start), seconds(10));
		entry.apply_update(other.make_update(start), start);
		EXPECT_EQ(entry.get_age(start), seconds(10));
	}
}

// Once a node has acted on an estimated age, later estimates must not replace it.
TEST(rollout_restart, an_age_by_the_time_of_day_stands_once_a_node_acted_on_it) {
	const rollout_order order{ "s", "2", ORDER_TIME, log_position{ 0, 5 }, false };
	const instant start{ seconds(100) };
	rollout first(rollout_bounds(), order, start);
	first.apply_status(rollout_status{ "s", "2", rollout_state::IN_PROGRESS, order.at, seconds(12) }, start);
	first.consider(rollout_view(), start);
	rollout later(rollout_bounds(), order, start);
	later.apply_status(rollout_status{ "s", "2", rollout_state::IN_PROGRESS, order.at, seconds(39) }, start);
	first.apply_update(later.make_update(start), start);
	EXPECT_EQ(first.get_age(start), seconds(12));
	later.apply_update(first.make_update(start), start);
	EXPECT_EQ(later.get_age(start), seconds(12));
}

INSTANTIATE_TEST_SUITE_P(sizes, rollout_restart_test, ::testing::Values(1, 9, 88, 410));
INSTANTIATE_TEST_SUITE_P(sizes, rollout_several_nodes_test, ::testing::Values(9, 88, 410));

} // namespace calicoscale
