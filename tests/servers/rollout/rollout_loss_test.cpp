/*
 * calicoscale: rollout_loss_test.cpp
 * Roll-outs in fleets of several sizes in which single nodes fail, in virtual time.
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
constexpr std::size_t GROUPS = 5;

rollout_fleet make_fleet(std::size_t p_nodes) {
	const std::size_t endpoints = std::max<std::size_t>(4, p_nodes / 5);
	rollout_fleet fleet(p_nodes, endpoints, endpoints);
	fleet.rate = 300.0;
	return fleet;
}

void for_group(const rollout_fleet &p_fleet, std::size_t p_group, const std::function<void(std::size_t)> &p_action) {
	for (std::size_t i = p_group % GROUPS; i < p_fleet.size(); i += GROUPS) {
		p_action(i);
	}
}

/** Kills one group of nodes each second and restarts the previous one, so that no node runs for longer than four seconds. */
void run_with_losses(rollout_fleet &p_fleet, int p_seconds) {
	for (int second = 0; second < p_seconds; second++) {
		const std::size_t group = static_cast<std::size_t>(second);
		if (second > 0) {
			for_group(p_fleet, group - 1, [&p_fleet](std::size_t p_node) { p_fleet.start(p_node); });
		}
		for_group(p_fleet, group, [&p_fleet](std::size_t p_node) { p_fleet.kill(p_node); });
		p_fleet.run(seconds(1));
	}
	for_group(p_fleet, static_cast<std::size_t>(p_seconds - 1), [&p_fleet](std::size_t p_node) { p_fleet.start(p_node); });
}

/** Expects that no node counts more answers than the target gave. */
void expect_no_answer_counts_twice(rollout_fleet &p_fleet) {
	for (std::size_t i = 0; i < p_fleet.size(); i++) {
		EXPECT_LE(p_fleet.get(i).get_verdict().answers, p_fleet.seen.at_target);
		EXPECT_LE(p_fleet.get(i).get_verdict().bad, p_fleet.seen.bad_at_target);
	}
}

class rollout_loss_test : public ::testing::TestWithParam<std::size_t> {};

} // namespace

// The counts of failed nodes must stay in the sums. Without them a bad version kept its share, as too few bad answers were counted.
TEST_P(rollout_loss_test, a_bad_version_goes_though_the_nodes_that_saw_its_answers_are_lost) {
	for (const double share : { 0.12, 0.15, 0.2 }) {
		rollout_fleet fleet = make_fleet(GetParam());
		fleet.baseline_bad_share = 0.05;
		fleet.target.bad_share = share;
		fleet.order(fleet.make_order(ORDER_TIME));
		run_with_losses(fleet, 40);
		fleet.run(seconds(2));
		EXPECT_TRUE(fleet.is_all(rollout_state::ROLLED_BACK));
		EXPECT_LE(static_cast<double>(fleet.seen.at_target), fleet.get_exposure_bound()) << "bad " << share;
		if (fleet.seen.bad_at_target >= 50) {
			EXPECT_LE(fleet.seen.last_at_target - fleet.seen.fiftieth_bad, fleet.bounds.rollback) << "bad " << share;
		}
	}
}

// Counts of a disconnected node stay in the sums and must not be added a second time when the node reconnects.
TEST_P(rollout_loss_test, answers_count_once_when_nodes_are_cut_off_and_come_back) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.baseline_bad_share = 0.05;
	fleet.order(fleet.make_order(ORDER_TIME));
	for (int second = 0; second < 20; second++) {
		const std::size_t group = static_cast<std::size_t>(second);
		for_group(fleet, group, [&fleet](std::size_t p_node) { fleet.set_cut_off(p_node, true); });
		fleet.run(milliseconds(700));
		for_group(fleet, group, [&fleet](std::size_t p_node) { fleet.set_cut_off(p_node, false); });
		fleet.run(milliseconds(300));
		expect_no_answer_counts_twice(fleet);
	}
	fleet.run(ORDER_TIME - seconds(20));
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

TEST_P(rollout_loss_test, answers_count_once_when_nodes_are_lost_and_start_again) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.baseline_bad_share = 0.05;
	fleet.order(fleet.make_order(ORDER_TIME));
	for (int turn = 0; turn < 4; turn++) {
		run_with_losses(fleet, 5);
		expect_no_answer_counts_twice(fleet);
	}
	fleet.run(ORDER_TIME - seconds(20));
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// The end of an order must not wait for work that was open at a failed node.
TEST_P(rollout_loss_test, a_good_version_is_completed_before_its_deadline_when_nodes_are_lost_for_good) {
	rollout_fleet fleet = make_fleet(GetParam());
	fleet.answer_time = seconds(2);
	fleet.order(fleet.make_order(ORDER_TIME));
	fleet.run(seconds(25));
	for_group(fleet, 0, [&fleet](std::size_t p_node) { fleet.kill(p_node); });
	fleet.run(ORDER_TIME - seconds(25));
	EXPECT_TRUE(fleet.is_all(rollout_state::COMPLETED));
}

// Killing the node of a fleet of one kills the whole fleet; see rollout_restart_test.
INSTANTIATE_TEST_SUITE_P(sizes, rollout_loss_test, ::testing::Values(9, 88, 410));

} // namespace calicoscale
