/*
 * calicoscale: rollout_test.cpp
 * Roll-outs of a service to another version, in fleets of several sizes in virtual time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/hub_aggregate.h"
#include "tests/servers/rollout/rollout_fleet.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration ORDER_TIME = seconds(40);

/** Makes a fleet with a number of endpoints of each version that fits its size. */
rollout_fleet make_fleet(std::size_t p_nodes, double p_rate = 300.0) {
	const std::size_t endpoints = std::max<std::size_t>(4, p_nodes / 5);
	rollout_fleet fleet(p_nodes, endpoints, endpoints);
	fleet.rate = p_rate;
	return fleet;
}

void expect_bad_version_is_bounded(rollout_fleet &p_fleet) {
	EXPECT_LE(static_cast<double>(p_fleet.seen.at_target), p_fleet.get_exposure_bound());
	EXPECT_TRUE(p_fleet.is_all(rollout_state::ROLLED_BACK));
	ASSERT_FALSE(p_fleet.written.empty());
	EXPECT_EQ(p_fleet.written.back(), rollout_state::ROLLED_BACK);
	if (p_fleet.seen.bad_at_target >= 50) {
		EXPECT_LE(p_fleet.seen.last_at_target - p_fleet.seen.fiftieth_bad, p_fleet.bounds.rollback);
	}
}

class rollout_fleet_test : public ::testing::TestWithParam<std::size_t> {};

} // namespace

TEST_P(rollout_fleet_test, a_good_version_is_completed_before_its_deadline_when_nothing_is_at_work_at_the_present_one) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(ORDER_TIME);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
	EXPECT_EQ(fleet.written, (std::vector<rollout_state>{ rollout_state::IN_PROGRESS, rollout_state::COMPLETED }));
	EXPECT_EQ(fleet.refused, 0U);
	for (std::size_t i = 0; i < fleet.size(); i++) {
		EXPECT_EQ(fleet.get(i).get_report(fleet.now).open_at_present, 0U);
		EXPECT_EQ(fleet.get(i).get_side("1"), version_role::BLOCKED);
	}
}

TEST_P(rollout_fleet_test, a_version_that_fails_at_once_gets_its_share_at_most_and_goes) {
	for (const double share : { 0.15, 0.5, 1.0 }) {
		rollout_fleet fleet = make_fleet(GetParam());
		fleet.target.bad_share = share;
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(ORDER_TIME);
		expect_bad_version_is_bounded(fleet);
	}
}

TEST_P(rollout_fleet_test, a_version_that_turns_bad_later_gets_its_share_at_most_and_goes) {
	for (const duration after : { seconds(10), seconds(22), seconds(24), seconds(25), seconds(26) }) {
		rollout_fleet fleet = make_fleet(GetParam());
		fleet.target.bad_share = 0.5;
		fleet.target.bad_after = after;
		fleet.order(fleet.make_order(ORDER_TIME));
		fleet.run(ORDER_TIME);
		expect_bad_version_is_bounded(fleet);
	}
}

TEST_P(rollout_fleet_test, a_version_that_is_bad_on_one_route_only_goes) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.target.bad_share = 0.4;
	fleet.target.bad_route = "route-2";
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(ORDER_TIME);
	expect_bad_version_is_bounded(fleet);
}

TEST_P(rollout_fleet_test, a_version_that_is_bad_under_load_only_goes) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.target.bad_share = 0.6;
	// Half of the load of each endpoint when all traffic goes to this version.
	fleet.target.bad_above = 0.5 * fleet.rate / static_cast<double>(std::max<std::size_t>(4, GetParam() / 5));
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(ORDER_TIME);
	expect_bad_version_is_bounded(fleet);
}

TEST_P(rollout_fleet_test, ordinary_failures_and_one_bad_endpoint_are_no_bad_version) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.baseline_bad_share = 0.05;
	fleet.target.bad_share = 0.3;
	fleet.target.bad_endpoint = "new-1";
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(20));
	EXPECT_TRUE(fleet.is_all(rollout_state::IN_PROGRESS));
}

TEST_P(rollout_fleet_test, a_good_version_under_an_overload_that_both_versions_feel_is_not_rolled_back) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.baseline_bad_share = 0.4;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(ORDER_TIME);
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

TEST_P(rollout_fleet_test, a_burst_does_not_expose_more) {
	rollout_fleet fleet = make_fleet(GetParam(), 100.0);
	fleet.target.bad_share = 0.3;
	fleet.target.bad_after = seconds(12);
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(11));
	fleet.rate = 500.0;
	fleet.run(ORDER_TIME - seconds(11));
	expect_bad_version_is_bounded(fleet);
}

TEST_P(rollout_fleet_test, nothing_reaches_the_target_before_the_store_holds_the_state) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.is_store_up = false;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(8));
	EXPECT_EQ(fleet.seen.at_target, 0U);
	fleet.is_store_up = true;
	fleet.run(ORDER_TIME - seconds(8));
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

TEST_P(rollout_fleet_test, an_end_found_while_the_store_is_away_is_written_when_it_is_back) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.target.bad_share = 0.5;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(1));
	fleet.is_store_up = false;
	fleet.run(seconds(20));
	EXPECT_TRUE(fleet.is_all(rollout_state::ROLLED_BACK));
	EXPECT_EQ(fleet.written, (std::vector<rollout_state>{ rollout_state::IN_PROGRESS }));
	fleet.is_store_up = true;
	fleet.run(seconds(1));
	expect_bad_version_is_bounded(fleet);
}

INSTANTIATE_TEST_SUITE_P(sizes, rollout_fleet_test, ::testing::Values(1, 9, 88, 410));

TEST(rollout, nodes_that_cannot_learn_the_verdict_send_nothing_to_the_target) {
	rollout_fleet fleet = make_fleet(9);
	fleet.target.bad_share = 0.5;
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(2));
	fleet.set_cut_off(0, true);
	fleet.run(seconds(1));
	EXPECT_FALSE(fleet.get(0).is_for_target("any", fleet.now));
	EXPECT_EQ(fleet.get(0).get_share(fleet.now), 0.0);
}

TEST(rollout, the_present_version_is_not_stopped_while_a_node_still_works_with_it) {
	rollout_fleet fleet = make_fleet(9);
	fleet.answer_time = seconds(20);
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(38));
	EXPECT_TRUE(fleet.is_all(rollout_state::IN_PROGRESS));
	fleet.run(seconds(12));
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

TEST(rollout, the_first_final_state_in_the_store_stands) {
	rollout entry(rollout_bounds(), rollout_order{ "s", "2", ORDER_TIME, log_position{ 0, 5 }, false }, instant(seconds(1)));
	EXPECT_TRUE(entry.apply_status(rollout_status{ "s", "2", rollout_state::COMPLETED, log_position{ 0, 5 }, {} }, instant(seconds(1))));
	rollout_update update = entry.make_update(instant(seconds(2)));
	update.state = rollout_state::ROLLED_BACK;
	update.is_written = false;
	EXPECT_FALSE(entry.apply_update(update, instant(seconds(2))));
	EXPECT_EQ(entry.get_state(), rollout_state::COMPLETED);
	EXPECT_FALSE(entry.get_unwritten());
}

// Closed windows must not count twice: a node that has received a later window number must use it in its own report too.
TEST(rollout, a_report_is_of_the_window_that_what_is_told_beside_it_has_closed) {
	const instant start(seconds(100));
	rollout entry(rollout_bounds(), rollout_order{ "s", "2", ORDER_TIME, log_position{ 0, 5 }, false }, start);
	rollout_update update = entry.make_update(start);
	update.report.order = update.order.at;
	update.report.answers = version_windows(3, version_tally(), version_tally());
	entry.apply_update(update, start);
	EXPECT_EQ(entry.get_report(start).answers.get_index(), 3U);
}

TEST(rollout, a_state_of_an_order_that_a_newer_one_replaced_says_nothing) {
	rollout entry(rollout_bounds(), rollout_order{ "s", "2", ORDER_TIME, log_position{ 0, 5 }, false }, instant(seconds(1)));
	EXPECT_TRUE(entry.apply_order(rollout_order{ "s", "3", ORDER_TIME, log_position{ 0, 8 }, false }, instant(seconds(2))));
	EXPECT_EQ(entry.get_side("2"), version_role::BLOCKED) << "it was never completed";
	EXPECT_FALSE(entry.apply_status(rollout_status{ "s", "2", rollout_state::COMPLETED, log_position{ 0, 5 }, {} }, instant(seconds(2))));
	EXPECT_EQ(entry.get_state(), rollout_state::IN_PROGRESS);
	EXPECT_FALSE(entry.apply_order(rollout_order{ "s", "2", ORDER_TIME, log_position{ 0, 5 }, false }, instant(seconds(3))));
	EXPECT_EQ(entry.get_order().target_version, "3");
}

TEST(rollout, an_order_taken_back_leaves_the_present_version_alone) {
	rollout_fleet fleet = make_fleet(9);
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(5));
	EXPECT_GT(fleet.seen.at_target, 0U);
	rollout_order withdrawn = fleet.make_order(ORDER_TIME, 9);
	withdrawn.is_withdrawn = true;
	fleet.order(withdrawn);
	const std::size_t before = fleet.seen.at_target;
	fleet.run(seconds(40));
	EXPECT_EQ(fleet.seen.at_target, before);
	EXPECT_EQ(fleet.written.back(), rollout_state::IN_PROGRESS) << "nothing is said of what nobody orders any more";
}

TEST(rollout, a_version_without_endpoints_is_rolled_back_at_the_deadline) {
	rollout_fleet fleet(9, 0, 4);
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(ORDER_TIME - seconds(1));
	EXPECT_TRUE(fleet.is_all(rollout_state::IN_PROGRESS));
	fleet.run(seconds(2));
	EXPECT_TRUE(fleet.is_all(rollout_state::ROLLED_BACK));
	EXPECT_EQ(fleet.refused, 0U);
}

// Orders that arrive while the maximum number is open must wait and then start in the order of the log.
TEST(rollout, an_order_beyond_the_most_at_a_time_begins_when_another_is_over_in_the_order_of_the_log) {
	rollout_table table{ rollout_bounds() };
	const auto make_order = [](std::uint64_t p_number, bool p_is_withdrawn = false) {
		return rollout_order{ "s" + std::to_string(p_number), "2", ORDER_TIME, log_position{ 0, p_number + (p_is_withdrawn ? 100 : 0) }, p_is_withdrawn };
	};
	const auto consider = [&table](int p_second) { table.consider([](const rollout &) { return rollout_view(); }, instant(seconds(p_second))); };
	const std::uint64_t max_services = rollout_table::MAX_SERVICES;
	for (std::uint64_t i = 0; i < max_services + 2; i++) {
		table.apply_records({ make_order(i) }, instant(seconds(1)));
	}
	consider(2);
	EXPECT_EQ(table.get_all().size(), max_services);
	table.apply_records({ make_order(3, true) }, instant(seconds(3)));
	consider(4);
	EXPECT_NE(table.find("s" + std::to_string(max_services)), nullptr);
	EXPECT_EQ(table.find("s" + std::to_string(max_services + 1)), nullptr);
	table.apply_records({ make_order(max_services + 1, true) }, instant(seconds(5)));
	table.apply_records({ make_order(5, true) }, instant(seconds(5)));
	consider(6);
	const rollout *withdrawn = table.find("s" + std::to_string(max_services + 1));
	ASSERT_NE(withdrawn, nullptr);
	EXPECT_EQ(withdrawn->get_side("2"), version_role::BLOCKED) << "taken back while it waited";
}

TEST(rollout, an_order_that_is_written_again_after_the_log_lost_it_goes_on) {
	rollout entry(rollout_bounds(), rollout_order{ "s", "2", ORDER_TIME, log_position{ 1, 90 }, false }, instant(seconds(1)));
	entry.on_written(rollout_state::IN_PROGRESS);
	EXPECT_TRUE(entry.apply_order(rollout_order{ "s", "2", ORDER_TIME, log_position{ 2, 20 }, false }, instant(seconds(9))));
	EXPECT_TRUE(entry.is_confirmed());
	EXPECT_EQ(entry.make_update(instant(seconds(9))).age, seconds(8));
}

TEST(rollout, what_nodes_count_reaches_all_by_way_of_hubs_once) {
	using sums = hub_aggregate<int>;
	const auto add = [](int &r_sum, const int &p_value) { r_sum += p_value; };
	sums hub(add);
	sums other(add);
	hub.set_own(1);
	hub.set_follower("a", 10);
	hub.set_follower("b", 100);
	other.set_own(1000);
	hub.set_peer("other", other.get_subtree());
	other.set_peer("hub", hub.get_subtree());
	EXPECT_EQ(hub.get_total(), 1111);
	EXPECT_EQ(other.get_total(), 1111);
	hub.set_follower("a", 20);
	hub.forget("b");
	EXPECT_EQ(hub.get_total(), 1021);
}

} // namespace calicoscale
