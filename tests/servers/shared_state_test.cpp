/*
 * calicoscale: shared_state_test.cpp
 * Membership, list guard, ledger and timeline.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/ledger/ledger_fold.h"
#include "servers/membership/list_guard.h"
#include "servers/membership/member_table.h"
#include "servers/timeline/timeline_merge.h"
#include "tests/choice_source.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <set>

namespace calicoscale {

namespace {

instant at(std::int64_t p_milliseconds) {
	return instant(std::chrono::milliseconds(p_milliseconds));
}

member_digest make_digest(const std::string &p_vm, std::uint64_t p_incarnation = 1, std::uint64_t p_heartbeat = 1, const std::string &p_zone = "z1") {
	member_digest digest;
	digest.vm = p_vm;
	digest.incarnation = p_incarnation;
	digest.heartbeat = p_heartbeat;
	digest.zone = p_zone;
	digest.link = network_address{ "127.0.0.1", 1 };
	return digest;
}

endpoint_listing make_listing(const std::string &p_vm) {
	endpoint_listing listing;
	listing.vm = p_vm;
	listing.incarnation = 1;
	return listing;
}

std::vector<endpoint_listing> make_list(int p_count) {
	std::vector<endpoint_listing> list;
	for (int i = 0; i < p_count; i++) {
		list.push_back(make_listing("vm" + std::to_string(i)));
	}
	return list;
}

} // namespace

RC_GTEST_PROP(member_table_properties, rumours_in_any_order_leave_the_newest, ()) {
	choice_source choices(200);
	member_table table(make_digest("self"));
	std::uint64_t newest_incarnation = 0;
	std::uint64_t newest_heartbeat = 0;
	std::set<std::uint64_t> leaving_incarnations;
	while (!choices.is_empty()) {
		member_digest digest = make_digest("other", 1 + choices.pick(3), 1 + choices.pick(20));
		// A node that leaves reports so from then on, while relayed digests from before still circulate.
		digest.leaving = choices.one_in(6);
		table.merge_digests({ digest }, at(0));
		const bool is_newer = std::tie(digest.incarnation, digest.heartbeat) > std::tie(newest_incarnation, newest_heartbeat);
		if (is_newer) {
			newest_incarnation = digest.incarnation;
			newest_heartbeat = digest.heartbeat;
			if (digest.leaving) {
				leaving_incarnations.insert(digest.incarnation);
			}
		}
		const member *known = table.find("other");
		RC_ASSERT(known->digest.incarnation == newest_incarnation);
		RC_ASSERT(known->digest.heartbeat == newest_heartbeat);
		RC_ASSERT((known->state == member_state::LEAVING) == leaving_incarnations.contains(newest_incarnation));
	}
}

TEST(member_table, silence_is_suspected_then_gone_then_forgotten_and_heals) {
	member_table table(make_digest("self"));
	table.merge_digests({ make_digest("other", 1, 1) }, at(0));
	const duration suspect_after = table.get_suspect_after();
	table.tick(at(0) + suspect_after);
	EXPECT_EQ(table.find("other")->state, member_state::SUSPECT);
	table.tick(at(0) + suspect_after * 7);
	EXPECT_EQ(table.find("other")->state, member_state::GONE);
	table.merge_digests({ make_digest("other", 1, 2) }, at(0) + suspect_after * 8);
	EXPECT_EQ(table.find("other")->state, member_state::ALIVE);
	table.tick(at(0) + suspect_after * 100);
	EXPECT_EQ(table.find("other"), nullptr);
}

TEST(member_table, listed_members_are_kept_though_silent) {
	member_table table(make_digest("self"));
	table.apply_listings({ entry_listing{ "other", 1, "z2", network_address{ "127.0.0.1", 5 }, false } }, at(0));
	table.tick(at(10'000'000));
	ASSERT_NE(table.find("other"), nullptr);
	EXPECT_EQ(table.choose_neighbours(), std::vector<std::string>{ "other" });
	table.apply_listings({}, at(0));
	EXPECT_NE(table.find("other"), nullptr) << "an empty list changes nothing";
}

TEST(member_table, cost_of_a_node_does_not_grow_with_the_fleet) {
	for (const int size : { 10, 100, 400 }) {
		member_table table(make_digest("vm0"));
		std::vector<member_digest> digests;
		for (int i = 1; i < size; i++) {
			digests.push_back(make_digest("vm" + std::to_string(i), 1, 1, "z" + std::to_string(i % 3)));
		}
		table.merge_digests(digests, at(0));
		EXPECT_LE(table.choose_neighbours().size(), 3U);
		EXPECT_LE(table.make_heartbeat().size(), 7U);
	}
}

TEST(member_table, every_digest_gets_its_turn) {
	member_table table(make_digest("self"));
	std::vector<member_digest> digests;
	for (int i = 0; i < 50; i++) {
		digests.push_back(make_digest("vm" + std::to_string(i)));
	}
	table.merge_digests(digests, at(0));
	std::set<std::string> sent;
	for (int heartbeat_index = 0; heartbeat_index < 9; heartbeat_index++) {
		for (const member_digest &digest : table.make_heartbeat()) {
			sent.insert(digest.vm);
		}
	}
	EXPECT_EQ(sent.size(), 51U);
}

TEST(member_table, silent_members_keep_their_part_of_limits_and_stopped_ones_lose_it_after_the_window) {
	constexpr duration WINDOW = std::chrono::seconds(10);
	member_table table(make_digest("self"));
	EXPECT_EQ(table.count_senders(WINDOW, at(0)), 1U);
	member_digest stopping = make_digest("stopping");
	stopping.leaving = true;
	table.merge_digests({ make_digest("silent"), stopping }, at(0));
	EXPECT_EQ(table.count_senders(WINDOW, at(0)), 3U);
	const instant gone_at = at(0) + table.get_suspect_after() * 7;
	table.tick(gone_at);
	EXPECT_EQ(table.find("silent")->state, member_state::GONE);
	EXPECT_EQ(table.count_senders(WINDOW, at(0) + WINDOW - std::chrono::milliseconds(1)), 3U);
	EXPECT_EQ(table.count_senders(WINDOW, gone_at), 2U);
}

TEST(member_table, expired_grants_count_for_nothing_but_keep_their_place) {
	member_table table(make_digest("self"));
	member_digest other = make_digest("other", 1, 1, "z2");
	other.demand[get_customer_code("c")] = 50.0;
	table.merge_digests({ other }, at(0));
	EXPECT_TRUE(table.get_share_members(at(0)).at(1).grant_valid);
	table.tick(at(0) + table.get_suspect_after());
	const std::vector<share_member> members = table.get_share_members(at(0) + table.get_suspect_after());
	ASSERT_EQ(members.size(), 2U);
	EXPECT_FALSE(members.at(1).grant_valid);
}

TEST(member_table, after_a_clock_step_back_the_present_life_is_still_the_newest) {
	member_table table(make_digest("self", 5, 0));
	table.merge_digests({ make_digest("self", 9, 100) }, at(0));
	EXPECT_GT(table.get_self().incarnation, 9U);
}

TEST(list_guard, empty_and_shrunken_lists_empty_nothing) {
	list_guard guard;
	EXPECT_EQ(guard.take(make_list(10), at(0)).size(), 10U);
	EXPECT_EQ(guard.take({}, at(1000)).size(), 10U);
	EXPECT_TRUE(guard.is_list_deferred());
	EXPECT_EQ(guard.take({}, at(10'000'000)).size(), 10U) << "an empty list is never accepted";
	EXPECT_EQ(guard.take(make_list(10), at(10'000'000)).size(), 10U);
	EXPECT_FALSE(guard.is_list_deferred());
	EXPECT_EQ(guard.take(make_list(4), at(20'000'000)).size(), 10U);
	EXPECT_EQ(guard.take(make_list(4), at(20'030'000)).size(), 10U);
	EXPECT_EQ(guard.take(make_list(4), at(20'060'000)).size(), 4U) << "accepted once lists have been that short for a minute";
}

TEST(list_guard, ordinary_change_and_news_pass_at_once) {
	list_guard guard;
	guard.take(make_list(10), at(0));
	EXPECT_EQ(guard.take(make_list(8), at(1)).size(), 8U);
	std::vector<endpoint_listing> shrunken{ make_listing("new") };
	shrunken[0].leaving = true;
	const std::vector<endpoint_listing> accepted = guard.take(shrunken, at(2));
	EXPECT_EQ(accepted.size(), 9U);
	EXPECT_TRUE(std::any_of(accepted.begin(), accepted.end(), [](const endpoint_listing &p_listing) { return p_listing.vm == "new" && p_listing.leaving; }));
}

RC_GTEST_PROP(ledger_properties, totals_equal_the_truth_for_every_schedule_of_faults, ()) {
	choice_source choices(300);
	std::vector<cost_ledger> ledgers{ cost_ledger("a", 1), cost_ledger("b", 2) };
	std::vector<std::string> log;
	cost_table expected;
	const auto append = [&log, &choices](cost_ledger &r_ledger, std::uint32_t p_fault) {
		const ledger_entry *entry = r_ledger.get_entry(0);
		if (entry == nullptr) {
			return;
		}
		if (p_fault == 2) {
			r_ledger.on_append_ended(append_result::NOT_DONE);
			return;
		}
		// An append may take effect in a different order than others, and twice.
		const std::size_t position = log.size() - std::min<std::size_t>(log.size(), choices.pick(3));
		log.insert(log.begin() + static_cast<std::ptrdiff_t>(position), encode(*entry));
		r_ledger.on_append_ended(p_fault == 1 ? append_result::UNKNOWN : append_result::DONE);
	};
	while (!choices.is_empty()) {
		cost_ledger &ledger = ledgers[choices.pick(2)];
		if (choices.one_in(3)) {
			append(ledger, choices.pick(3));
			continue;
		}
		const cost_key key{ "c" + std::to_string(choices.pick(2)), "p", "s" + std::to_string(choices.pick(2)), "pool", static_cast<cost_use>(choices.pick(6)) };
		const cost_sum sum{ choices.pick(100), choices.pick(100), 1 };
		ledger.book(key, sum);
		expected[key].add(sum);
		RC_ASSERT(ledger.get_row_count() <= 48U);
	}
	for (cost_ledger &ledger : ledgers) {
		while (ledger.owes()) {
			append(ledger, 0);
		}
	}
	ledger_fold fold;
	for (const std::string &record : log) {
		fold.take(record);
	}
	RC_ASSERT(fold.get_totals() == expected);
}

TEST(ledger_fold, malformed_records_are_counted_and_skipped) {
	ledger_fold fold;
	fold.take("garbage");
	fold.take("{\"incarnation\": \"x\"}");
	EXPECT_EQ(fold.get_malformed_count(), 2U);
	EXPECT_TRUE(fold.get_totals().empty());
}

TEST(event_ring, keeps_the_newest_and_follows_a_request) {
	event_ring ring(3);
	for (int i = 0; i < 5; i++) {
		ring.add(timeline_event{ hybrid_time{ i, 0 }, event_kind::REQUEST_STARTED, i % 2 == 0 ? "even" : "odd", "", "", -1 });
	}
	EXPECT_EQ(ring.get_size(), 3U);
	EXPECT_EQ(ring.get_overwritten(), 2U);
	EXPECT_EQ(ring.find("even", 10).size(), 2U);
	EXPECT_EQ(ring.find("", 1).front().at.wall, 4);
}

TEST(timeline, merges_by_hybrid_time_and_writes_every_format) {
	std::vector<node_event> events{
		{ "b", 2, timeline_event{ hybrid_time{ 1000, 1 }, event_kind::ATTEMPT_ENDED, "r", "vm", "completed", 2000 } },
		{ "a", 1, timeline_event{ hybrid_time{ 1000, 0 }, event_kind::REQUEST_STARTED, "r", "pipeline", "customer", -1 } },
	};
	sort_events(events);
	EXPECT_EQ(events.front().node, "a");
	const std::string table = write_timeline(events, timeline_format::TABLE);
	EXPECT_LT(table.find("request_started"), table.find("attempt_ended"));
	const std::string lines = write_timeline(events, timeline_format::JSON_LINES);
	EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 2);
	const nlohmann::json trace = nlohmann::json::parse(write_timeline(events, timeline_format::TRACE));
	EXPECT_EQ(trace.at("traceEvents").size(), 4U);
}

} // namespace calicoscale
