/*
 * calicoscale: limits_test.cpp
 * Queues, budgets, concurrency limits, estimated times and shares of customer limits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/customer_limiter.h"
#include "servers/limits/pool_gate.h"
#include "servers/limits/stage_times.h"
#include "tests/choice_source.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace calicoscale {

namespace {

instant at(std::int64_t p_milliseconds) {
	return instant(std::chrono::milliseconds(p_milliseconds));
}

queued_request make_queued(std::uint64_t p_number, const std::string &p_customer, double p_weight = 1.0, priority_class p_priority = priority_class::NORMAL, std::int64_t p_start_by = 1'000'000) {
	return queued_request{ request_id{ 1, p_number }, p_customer, p_weight, p_priority, at(p_start_by), at(0) };
}

share_member make_member(const std::string &p_vm, const std::string &p_zone, double p_demand, bool p_valid = true) {
	return share_member{ p_vm, p_zone, p_valid, { { get_customer_code("c"), p_demand } } };
}

} // namespace

RC_GTEST_PROP(fair_queue_properties, loses_and_doubles_nothing_and_is_bounded, ()) {
	choice_source choices(300);
	fair_queue queue(8);
	std::set<std::uint64_t> inside;
	std::uint64_t next = 1;
	instant now{};
	while (!choices.is_empty()) {
		now += std::chrono::milliseconds(choices.pick(20));
		if (choices.one_in(2)) {
			const std::uint64_t number = next++;
			const std::int64_t start_by = (now - instant{}).count() / 1000 + choices.pick(100);
			const std::optional<dropped_request> dropped = queue.push(make_queued(number, "c" + std::to_string(choices.pick(4)), 1.0 + choices.pick(3), static_cast<priority_class>(choices.pick(3)), start_by));
			inside.insert(number);
			if (dropped) {
				RC_ASSERT(inside.erase(dropped->id.sequence) == 1U);
			}
		} else if (choices.one_in(6)) {
			for (const dropped_request &dropped : queue.drop_expired(now)) {
				RC_ASSERT(inside.erase(dropped.id.sequence) == 1U);
			}
		} else if (choices.one_in(6) && !inside.empty()) {
			RC_ASSERT(queue.remove(request_id{ 1, *inside.begin() }));
			inside.erase(inside.begin());
		} else {
			std::vector<dropped_request> expired;
			const std::optional<queued_request> served = queue.pop(now, expired);
			for (const dropped_request &dropped : expired) {
				RC_ASSERT(inside.erase(dropped.id.sequence) == 1U);
			}
			if (served) {
				RC_ASSERT(served->start_by >= now);
				RC_ASSERT(inside.erase(served->id.sequence) == 1U);
			} else {
				RC_ASSERT(inside.empty());
			}
		}
		RC_ASSERT(queue.get_size() == inside.size());
		RC_ASSERT(inside.size() <= 8U);
	}
}

TEST(fair_queue, customers_are_served_by_weight) {
	fair_queue queue(1000);
	std::uint64_t number = 1;
	for (int i = 0; i < 300; i++) {
		queue.push(make_queued(number++, "flood", 1.0));
	}
	for (int i = 0; i < 60; i++) {
		queue.push(make_queued(number++, "heavy", 2.0));
		queue.push(make_queued(number++, "light", 1.0));
	}
	std::map<std::string, int> served;
	std::vector<dropped_request> expired;
	for (int i = 0; i < 80; i++) {
		served[queue.pop(at(0), expired)->customer]++;
	}
	EXPECT_NEAR(served["heavy"], 40, 2);
	EXPECT_NEAR(served["light"], 20, 2);
	EXPECT_NEAR(served["flood"], 20, 2);
}

TEST(fair_queue, newcomer_of_a_small_customer_replaces_the_flood) {
	fair_queue queue(10);
	for (std::uint64_t number = 1; number <= 10; number++) {
		queue.push(make_queued(number, "flood"));
	}
	const std::optional<dropped_request> dropped = queue.push(make_queued(11, "small"));
	ASSERT_TRUE(dropped.has_value());
	EXPECT_EQ(dropped->customer, "flood");
	EXPECT_EQ(queue.push(make_queued(12, "flood"))->id.sequence, 12U);
}

TEST(fair_queue, flood_is_not_ahead_of_a_small_customer) {
	fair_queue queue(1000);
	for (std::uint64_t number = 1; number <= 500; number++) {
		queue.push(make_queued(number, "flood"));
	}
	EXPECT_NEAR(queue.count_ahead("small", 1.0), 2.0, 0.01);
	EXPECT_NEAR(queue.count_ahead("flood", 1.0), 501.0, 0.01);
	EXPECT_NEAR(queue.count_ahead("small", 2.0), 1.5, 0.01);
}

TEST(fair_queue, higher_class_is_served_more_but_starves_none) {
	fair_queue queue(1000);
	std::uint64_t number = 1;
	for (int i = 0; i < 200; i++) {
		queue.push(make_queued(number++, "a", 1.0, priority_class::HIGH));
		queue.push(make_queued(number++, "a", 1.0, priority_class::LOW));
	}
	std::map<priority_class, int> served;
	std::vector<dropped_request> expired;
	for (int i = 0; i < 170; i++) {
		served[queue.pop(at(0), expired)->priority]++;
	}
	EXPECT_GT(served[priority_class::HIGH], 140);
	EXPECT_GT(served[priority_class::LOW], 5);
}

TEST(fair_queue, earliest_deadline_first_within_a_customer) {
	fair_queue queue(10);
	queue.push(make_queued(1, "a", 1.0, priority_class::NORMAL, 500));
	queue.push(make_queued(2, "a", 1.0, priority_class::NORMAL, 100));
	std::vector<dropped_request> expired;
	EXPECT_EQ(queue.pop(at(0), expired)->id.sequence, 2U);
}

RC_GTEST_PROP(share_budget_properties, spends_at_most_its_share_and_reserve, (const std::vector<bool> &p_spends)) {
	share_budget budget(0.1, 10.0, 0.5);
	int successes = 0;
	int spent = 0;
	for (const bool spend : p_spends) {
		if (spend) {
			spent += budget.try_spend(at(0)) ? 1 : 0;
		} else {
			successes++;
			budget.on_success(at(0));
		}
		RC_ASSERT(spent <= 1.0 + 0.1 * successes + 1e-9);
	}
}

RC_GTEST_PROP(pool_gate_properties, admits_each_request_once_and_keeps_its_limit, ()) {
	choice_source choices(300);
	pool_gate gate(6);
	std::set<std::uint64_t> waiting;
	std::set<std::uint64_t> inside;
	std::uint64_t next = 1;
	instant now{};
	const auto apply_changes = [&waiting, &inside](const gate_changes &p_changes) {
		for (const request_id &id : p_changes.admitted) {
			RC_ASSERT(waiting.erase(id.sequence) == 1U);
			inside.insert(id.sequence);
		}
		for (const dropped_request &dropped : p_changes.expired) {
			RC_ASSERT(waiting.erase(dropped.id.sequence) == 1U);
		}
		for (const dropped_request &dropped : p_changes.evicted_requests) {
			RC_ASSERT(waiting.erase(dropped.id.sequence) == 1U);
		}
	};
	while (!choices.is_empty()) {
		now += std::chrono::milliseconds(choices.pick(20));
		if (choices.one_in(2)) {
			waiting.insert(next);
			const std::int64_t start_by = (now - instant{}).count() / 1000 + choices.pick(200);
			apply_changes(gate.enter(make_queued(next, "c" + std::to_string(choices.pick(3)), 1.0, priority_class::NORMAL, start_by), now));
			next++;
		} else if (!inside.empty()) {
			inside.erase(inside.begin());
			apply_changes(gate.leave(static_cast<slot_outcome>(choices.pick(3)), std::chrono::milliseconds(10), 1.0 + choices.pick(5), now));
		} else {
			apply_changes(gate.expire(now));
		}
		RC_ASSERT(gate.get_in_flight() == static_cast<int>(inside.size()));
		RC_ASSERT(gate.get_waiting() == waiting.size());
	}
}

TEST(pool_gate, refusals_shrink_the_limit_and_stop_retries) {
	pool_gate gate(100);
	const double before = gate.get_limit();
	for (std::uint64_t i = 1; i <= 30; i++) {
		gate.enter(make_queued(i, "a"), at(static_cast<std::int64_t>(i) * 200));
		gate.leave(slot_outcome::REFUSED, std::chrono::milliseconds(1), 1.0, at(static_cast<std::int64_t>(i) * 200));
	}
	EXPECT_LT(gate.get_limit(), before / 2);
	EXPECT_FALSE(gate.may_retry(at(100'000)));
}

TEST(pool_gate, retries_cannot_amplify) {
	pool_gate gate(100);
	int granted = 0;
	for (int i = 0; i < 1000; i++) {
		// Every attempt fails without being refused, so only the budget limits the retries.
		granted += gate.may_retry(at(i)) ? 1 : 0;
	}
	EXPECT_LE(granted, 3);
}

TEST(pool_gate, further_retries_need_room_to_spare) {
	pool_gate gate(100);
	gate.set_shares(0.0, 1.0, 0.0);
	const auto succeed = [&gate](std::uint64_t p_number) {
		gate.enter(make_queued(p_number, "a"), at(0));
		gate.leave(slot_outcome::SUCCEEDED, std::chrono::milliseconds(1), 1.0, at(0));
	};
	for (std::uint64_t number = 1; number <= 5; number++) {
		succeed(number);
	}
	EXPECT_TRUE(gate.may_retry(at(0))) << "the small budget starts with one";
	EXPECT_TRUE(gate.may_retry(at(0)));
	EXPECT_TRUE(gate.may_retry(at(0)));
	for (std::uint64_t number = 100; number < 150; number++) {
		gate.enter(make_queued(number, "a"), at(0));
	}
	EXPECT_FALSE(gate.may_retry(at(0)));
}

TEST(concurrency_limit, latency_shrinks_it_and_calm_grows_it) {
	concurrency_limit limit(16.0, 2.0, 1000.0);
	for (int i = 0; i < 200; i++) {
		for (int j = 0; j < 16; j++) {
			limit.on_started();
		}
		for (int j = 0; j < 16; j++) {
			limit.on_success(1.0);
		}
	}
	const double grown = limit.get_limit();
	EXPECT_GT(grown, 20.0);
	for (int i = 0; i < 400; i++) {
		limit.on_started();
		limit.on_success(20.0);
	}
	EXPECT_LT(limit.get_limit(), grown / 2);
}

TEST(stage_times, nearest_class_stands_in) {
	stage_times times;
	EXPECT_EQ(times.estimate("p", time_kind::TOTAL, 3, 0.5, at(0)), duration::zero());
	for (int i = 0; i < 10; i++) {
		times.add("p", time_kind::TOTAL, 2, std::chrono::milliseconds(20), at(i));
		times.add("p", time_kind::TOTAL, 7, std::chrono::milliseconds(900), at(i));
	}
	EXPECT_NEAR(to_milliseconds(times.estimate("p", time_kind::TOTAL, 3, 0.5, at(10))), 20.0, 3.0);
	EXPECT_NEAR(to_milliseconds(times.estimate("p", time_kind::TOTAL, 6, 0.5, at(10))), 900.0, 100.0);
	EXPECT_EQ(times.estimate("other", time_kind::TOTAL, 3, 0.5, at(10)), duration::zero());
	EXPECT_EQ(times.estimate("p", time_kind::FIRST_TOKEN, 3, 0.5, at(10)), duration::zero());
}

RC_GTEST_PROP(limit_share_properties, parts_of_nodes_that_know_the_same_never_exceed_the_limit, ()) {
	choice_source choices(60);
	const std::vector<std::string> zones{ "z0", "z1", "z2" };
	std::vector<share_member> members;
	const std::uint32_t count = 1 + choices.pick(9);
	for (std::uint32_t i = 0; i < count; i++) {
		members.push_back(make_member("vm" + std::to_string(i), zones[choices.pick(3)], choices.pick(200), !choices.one_in(5)));
	}
	const int limit = static_cast<int>(choices.pick(50));
	double rate = 0.0;
	int slots = 0;
	for (const share_member &member : members) {
		const node_limit_share part = compute_limit_share(member.vm, members, zones, "c", 100.0, limit);
		RC_ASSERT(part.rate_share >= 0.0);
		RC_ASSERT(part.concurrency >= 0);
		rate += part.rate_share;
		slots += part.concurrency;
	}
	RC_ASSERT(rate <= 1.0 + 1e-9);
	RC_ASSERT(slots <= limit);
}

RC_GTEST_PROP(limit_share_properties, cut_off_zones_stay_within_the_limit_together, ()) {
	choice_source choices(40);
	const std::vector<std::string> zones{ "z0", "z1", "z2" };
	std::vector<share_member> all;
	for (std::uint32_t i = 0; i < 6; i++) {
		all.push_back(make_member("vm" + std::to_string(i), zones[i % 3], choices.pick(300)));
	}
	double rate = 0.0;
	for (const share_member &member : all) {
		// Every node is connected to its own zone only; the grants of the other zones have expired.
		std::vector<share_member> visible = all;
		for (share_member &other : visible) {
			other.grant_valid = other.zone == member.zone;
		}
		rate += compute_limit_share(member.vm, visible, zones, "c", 100.0, 30).rate_share;
	}
	RC_ASSERT(rate <= 1.0 + 1e-9);
}

TEST(limit_share, busy_zone_borrows_what_quiet_ones_leave) {
	const std::vector<std::string> zones{ "z0", "z1" };
	const std::vector<share_member> members{ make_member("a", "z0", 90.0), make_member("b", "z1", 2.0) };
	const node_limit_share busy = compute_limit_share("a", members, zones, "c", 100.0, 100);
	EXPECT_GT(busy.rate_share, 0.8);
	const node_limit_share quiet = compute_limit_share("b", members, zones, "c", 100.0, 100);
	EXPECT_GT(quiet.rate_share, 0.1);
}

TEST(customer_limiter, limits_rate_and_concurrency_and_tells_when_to_come_back) {
	customer_limiter limiter;
	EXPECT_FALSE(limiter.ask("c", at(0)).admitted);
	limiter.set_part("c", customer_limits{ 10.0, 0.1, 2 }, node_limit_share{ 1.0, 2 }, at(0));
	EXPECT_TRUE(limiter.ask("c", at(0)).admitted);
	const admission_answer too_fast = limiter.ask("c", at(1));
	EXPECT_EQ(too_fast.why, reason::CUSTOMER_RATE);
	EXPECT_GT(too_fast.retry_after, duration::zero());
	EXPECT_TRUE(limiter.ask("c", at(200)).admitted);
	EXPECT_EQ(limiter.ask("c", at(400)).why, reason::CUSTOMER_CONCURRENCY);
	limiter.on_ended("c");
	EXPECT_TRUE(limiter.ask("c", at(600)).admitted);
	EXPECT_GT(limiter.get_demand(at(600)).at(get_customer_code("c")), 1.0);
	EXPECT_TRUE(limiter.get_demand(at(60'000)).empty());
}

} // namespace calicoscale
