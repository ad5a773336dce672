/*
 * calicoscale: retry_budget_test.cpp
 * Repeats of whole fleets to one service against the limit that applies to all nodes together, in virtual time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace calicoscale {

namespace {

constexpr const char *SERVICE = "llm";
constexpr int STEP_MS = 50;
constexpr int WINDOW_MS = 10000;
/** All processes are older than two windows when callers begin to send and endpoints to refuse. */
constexpr int CALM_MS = 2 * WINDOW_MS;
constexpr int END_MS = CALM_MS + 3 * WINDOW_MS;
constexpr int MAX_REPEATS_PER_REQUEST = 3;

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(p_ms);
}

/** Requests and repeats of all nodes, by step. */
struct fleet_record {
	std::vector<double> requests = std::vector<double>(END_MS / STEP_MS, 0.0);
	std::vector<double> repeats = std::vector<double>(END_MS / STEP_MS, 0.0);

	static double sum(const std::vector<double> &p_counts, int p_begin, int p_end) {
		const int begin = std::clamp(p_begin, 0, END_MS / STEP_MS);
		const int end = std::clamp(p_end, begin, END_MS / STEP_MS);
		double total = 0.0;
		for (int i = begin; i < end; i++) {
			total += p_counts[static_cast<std::size_t>(i)];
		}
		return total;
	}

	/** Checks each window. Its requests are those of the window, the one before or the one half a window earlier, whichever has most. */
	void check(const retry_bounds &p_bounds) const {
		constexpr int LENGTH = WINDOW_MS / STEP_MS;
		for (int begin = 0; begin + LENGTH <= END_MS / STEP_MS; begin++) {
			double most_requests = 0.0;
			for (const int shift : { 0, LENGTH / 2, LENGTH }) {
				most_requests = std::max(most_requests, sum(requests, begin - shift, begin - shift + LENGTH));
			}
			const double allowed = p_bounds.ratio * most_requests + p_bounds.slack;
			ASSERT_LE(sum(repeats, begin, begin + LENGTH), allowed) << "in the window from " << begin * STEP_MS - CALM_MS << " ms after the first request, " << most_requests << " requests";
		}
	}
};

/** One process that holds a part of the limit. */
struct process {
	retry_budget budget{ retry_bounds() };

	/** Requests arrive and are repeated as often as the limit allows. */
	void step(int p_requests, int p_now_ms, fleet_record &r_record) {
		const std::size_t index = static_cast<std::size_t>(p_now_ms / STEP_MS);
		for (int i = 0; i < p_requests; i++) {
			budget.on_request(SERVICE, at_ms(p_now_ms));
			r_record.requests[index] += 1.0;
		}
		for (int i = 0; i < p_requests * MAX_REPEATS_PER_REQUEST && budget.try_repeat(SERVICE, at_ms(p_now_ms)).is_allowed; i++) {
			r_record.repeats[index] += 1.0;
		}
	}
};

struct restart_case {
	std::size_t nodes = 1;
	int life_ms = 1000;
};

/** Nodes that are killed after a given time in turn, and start again at once. */
class restarting_fleet_test : public ::testing::TestWithParam<restart_case> {};

} // namespace

TEST_P(restarting_fleet_test, repeats_stay_within_the_limit_although_processes_forget_what_they_used) {
	const retry_bounds bounds;
	const auto [nodes, life_ms] = GetParam();
	for (const int requests_per_step : { 1, 4 }) {
		fleet_record record;
		std::vector<process> fleet(nodes);
		for (int now = 0; now < END_MS; now += STEP_MS) {
			for (std::size_t i = 0; i < nodes; i++) {
				const int phase = static_cast<int>(i) * life_ms / static_cast<int>(nodes);
				const bool is_killed = now > CALM_MS && (now - CALM_MS - phase) % life_ms < STEP_MS && now - CALM_MS >= phase;
				if (is_killed) {
					fleet[i] = process();
				}
				fleet[i].budget.set_part(1.0 / static_cast<double>(nodes), at_ms(now));
				if (now >= CALM_MS) {
					fleet[i].step(requests_per_step, now, record);
				}
			}
		}
		record.check(bounds);
	}
}

INSTANTIATE_TEST_SUITE_P(lives, restarting_fleet_test, ::testing::Values(restart_case{ 1, 500 }, restart_case{ 1, 3000 }, restart_case{ 1, 9950 }, restart_case{ 6, 500 }, restart_case{ 6, 1000 }, restart_case{ 6, 2500 }, restart_case{ 6, 5000 }, restart_case{ 6, 10050 }, restart_case{ 6, 20000 }, restart_case{ 30, 1000 }, restart_case{ 30, 5000 }), [](const ::testing::TestParamInfo<restart_case> &p_info) { return std::to_string(p_info.param.nodes) + "_nodes_" + std::to_string(p_info.param.life_ms) + "_ms"; });

namespace {

/** A pool whose dispatcher changes after a given time. All processes go on running. */
class moving_pool_test : public ::testing::TestWithParam<int> {};

} // namespace

TEST_P(moving_pool_test, dispatchers_in_turn_repeat_no_more_than_one_may) {
	constexpr std::size_t DISPATCHERS = 3;
	fleet_record record;
	std::vector<process> fleet(DISPATCHERS);
	for (int now = 0; now < END_MS; now += STEP_MS) {
		const std::size_t dispatcher = now < CALM_MS ? 0 : static_cast<std::size_t>((now - CALM_MS) / GetParam()) % DISPATCHERS;
		for (std::size_t i = 0; i < DISPATCHERS; i++) {
			fleet[i].budget.set_part(i == dispatcher ? 1.0 : 0.0, at_ms(now));
		}
		if (now >= CALM_MS) {
			fleet[dispatcher].step(1, now, record);
		}
	}
	record.check(retry_bounds());
}

INSTANTIATE_TEST_SUITE_P(tenures, moving_pool_test, ::testing::Values(500, 1000, 3000, 5000, 10050), [](const ::testing::TestParamInfo<int> &p_info) { return std::to_string(p_info.param) + "_ms"; });

TEST(retry_budget, a_node_without_a_part_of_the_slack_repeats_within_the_ratio) {
	process alone;
	fleet_record record;
	for (int now = 0; now < END_MS; now += STEP_MS) {
		alone.step(1, now, record);
	}
	const retry_bounds bounds;
	const double repeats = fleet_record::sum(record.repeats, 0, END_MS / STEP_MS);
	EXPECT_GT(repeats, 0.0);
	EXPECT_LE(repeats, bounds.ratio * fleet_record::sum(record.requests, 0, END_MS / STEP_MS));
}

TEST(retry_budget, a_process_that_runs_for_long_may_use_more_than_half_of_its_part) {
	process old;
	old.budget.set_part(1.0, at_ms(0));
	const retry_bounds bounds;
	int repeats = 0;
	while (old.budget.try_repeat(SERVICE, at_ms(WINDOW_MS)).is_allowed) {
		repeats++;
	}
	EXPECT_GT(repeats, bounds.slack / 2.0);
	EXPECT_LE(repeats, bounds.slack);
}

TEST(retry_budget, a_decision_names_what_it_was_made_from) {
	process one;
	one.budget.set_part(0.5, at_ms(0));
	one.budget.on_request(SERVICE, at_ms(WINDOW_MS));
	EXPECT_TRUE(one.budget.try_repeat(SERVICE, at_ms(WINDOW_MS)).is_allowed);
	const retry_decision second = one.budget.try_repeat(SERVICE, at_ms(WINDOW_MS));
	EXPECT_EQ(second.requests, 1.0);
	EXPECT_EQ(second.repeats, 1.0);
	EXPECT_EQ(second.share, 0.5);
	EXPECT_EQ(second.share_age, std::chrono::milliseconds(WINDOW_MS));
}

} // namespace calicoscale
