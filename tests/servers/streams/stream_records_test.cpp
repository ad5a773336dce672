/*
 * calicoscale: stream_records_test.cpp
 * Tests the records of streams: their bounds, where they are stored, and what a lookup concludes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/record_placement.h"
#include "servers/streams/stream_lookup.h"
#include "servers/streams/stream_table.h"
#include "servers/streams/version_presence.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant START{ seconds(1000) };
const stream_origin V1{ "llm", "v1" };
const stream_origin V2{ "llm", "v2" };

stream_key make_key(std::uint64_t p_number) {
	return make_stream_key("hearth", std::to_string(p_number));
}

stream_record make_record(std::uint64_t p_number, duration p_lifetime = seconds(8), std::uint32_t p_customer = 1) {
	return stream_record{ make_key(p_number), p_customer, V1, START + p_lifetime };
}

endpoint_listing make_listing(const std::string &p_vm, const std::string &p_version) {
	endpoint_listing listing;
	listing.vm = p_vm;
	listing.pool = "llm";
	listing.version = p_version;
	return listing;
}

/** Nodes n0, n1 and so on, by turns in three zones. */
std::vector<record_node> make_nodes(std::size_t p_count) {
	std::vector<record_node> nodes;
	for (std::size_t i = 0; i < p_count; i++) {
		nodes.push_back(record_node{ "n" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)) });
	}
	return nodes;
}

bool shares_node(const std::vector<std::string> &p_left, const std::vector<std::string> &p_right) {
	return std::any_of(p_left.begin(), p_left.end(), [&p_right](const std::string &p_vm) { return std::find(p_right.begin(), p_right.end(), p_vm) != p_right.end(); });
}

} // namespace

TEST(stream_key, differs_by_customer_and_attempt) {
	EXPECT_NE(make_stream_key("a", "bc"), make_stream_key("ab", "c"));
	EXPECT_NE(make_stream_key("a", "1"), make_stream_key("b", "1"));
	EXPECT_EQ(make_stream_key("a", "1"), make_stream_key("a", "1"));
}

TEST(stream_table, finds_a_record_until_it_expires) {
	stream_table table;
	EXPECT_TRUE(table.take(make_record(1), START));
	ASSERT_NE(table.find(make_key(1), START + seconds(7)), nullptr);
	EXPECT_EQ(table.find(make_key(1), START + seconds(7))->origin, V1);
	EXPECT_EQ(table.find(make_key(1), START + seconds(8)), nullptr);
	EXPECT_EQ(table.find(make_key(2), START), nullptr);
	table.expire(START + seconds(8));
	EXPECT_EQ(table.get_size(), 0U);
	EXPECT_EQ(table.get_dropped(), 0U);
}

TEST(stream_table, a_stream_that_is_resumed_is_kept_for_longer) {
	stream_table table;
	table.take(make_record(1), START);
	EXPECT_FALSE(table.take(make_record(1, seconds(20)), START + seconds(5)));
	table.expire(START + seconds(10));
	EXPECT_NE(table.find(make_key(1), START + seconds(19)), nullptr);
	EXPECT_FALSE(table.take(make_record(1, seconds(12)), START + seconds(11)));
	EXPECT_NE(table.find(make_key(1), START + seconds(19)), nullptr);
}

// Guards against a guess when an attempt's id was used for two streams.
TEST(stream_table, a_stream_with_two_origins_is_unknown) {
	stream_table table;
	table.take(make_record(1), START);
	stream_record other = make_record(1);
	other.origin = V2;
	table.take(other, START);
	EXPECT_EQ(table.find(make_key(1), START), nullptr);
	table.take(make_record(1), START);
	EXPECT_EQ(table.find(make_key(1), START), nullptr);
}

TEST(stream_table, a_customer_with_too_many_records_loses_its_own_only) {
	stream_table table;
	table.take(make_record(0, seconds(1), 2), START);
	for (std::uint64_t i = 1; i <= stream_table::MAX_RECORDS_PER_CUSTOMER + 10; i++) {
		table.take(make_record(i, seconds(5) + milliseconds(static_cast<int>(i))), START);
	}
	EXPECT_EQ(table.get_size(), stream_table::MAX_RECORDS_PER_CUSTOMER + 1);
	EXPECT_EQ(table.get_dropped(), 10U);
	EXPECT_NE(table.find(make_key(0), START), nullptr);
	EXPECT_EQ(table.find(make_key(10), START), nullptr);
	EXPECT_NE(table.find(make_key(11), START), nullptr);
}

TEST(stream_table, a_full_table_drops_records_of_the_customer_with_the_most) {
	stream_table table;
	constexpr std::uint32_t CUSTOMERS = 9;
	std::uint64_t number = 0;
	for (std::uint32_t customer = 1; customer <= CUSTOMERS; customer++) {
		for (std::size_t i = 0; i < (customer == 1 ? 5000U : 3500U); i++) {
			table.take(make_record(number++, seconds(8), customer), START);
		}
	}
	EXPECT_EQ(table.get_size(), stream_table::MAX_RECORDS);
	EXPECT_EQ(table.get_dropped(), number - stream_table::MAX_RECORDS);
	EXPECT_NE(table.find(make_key(number - 1), START), nullptr);
	table.expire(START + seconds(9));
	EXPECT_EQ(table.get_size(), 0U);
}

TEST(stream_table, bounds_the_lifetime_that_a_caller_asks_for) {
	stream_table table;
	table.take(make_record(1, std::chrono::hours(20)), START);
	EXPECT_EQ(table.find(make_key(1), START + stream_table::MAX_LIFETIME), nullptr);
}

RC_GTEST_PROP(record_placement, nodes_of_any_zone_ask_a_holder_if_they_know_the_same_nodes, (std::uint64_t p_stream)) {
	const std::size_t count = *rc::gen::inRange<std::size_t>(1, 60);
	const std::vector<record_node> nodes = make_nodes(count);
	const stream_key key = make_key(p_stream);
	for (const std::string &writer : { "a", "b", "c" }) {
		const std::vector<std::string> holders = choose_holders(key, nodes, writer);
		RC_ASSERT(holders.size() == std::min<std::size_t>(count, 3));
		for (const std::string &asker : { "a", "b", "c" }) {
			RC_ASSERT(shares_node(holders, choose_sources(key, nodes, asker)));
		}
	}
}

RC_GTEST_PROP(record_placement, a_node_that_only_one_side_knows_does_not_hide_the_record, (std::uint64_t p_stream)) {
	std::vector<record_node> nodes = make_nodes(*rc::gen::inRange<std::size_t>(12, 60));
	const stream_key key = make_key(p_stream);
	const std::vector<std::string> holders = choose_holders(key, nodes, "a");
	nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, nodes.size())));
	RC_ASSERT(shares_node(holders, choose_sources(key, nodes, "a")));
	nodes.push_back(record_node{ "new", "a" });
	RC_ASSERT(shares_node(holders, choose_sources(key, nodes, "a")));
}

TEST(record_placement, stores_copies_in_two_zones_and_spreads_them) {
	const std::vector<record_node> nodes = make_nodes(24);
	std::map<std::string, int> counts;
	for (std::uint64_t i = 0; i < 2400; i++) {
		std::set<std::string> zones;
		for (const std::string &vm : choose_holders(make_key(i), nodes, "a")) {
			counts[vm]++;
			zones.insert(std::find_if(nodes.begin(), nodes.end(), [&vm](const record_node &p_node) { return p_node.vm == vm; })->zone);
		}
		EXPECT_EQ(zones.size(), 2U);
		EXPECT_TRUE(zones.contains("a"));
	}
	EXPECT_EQ(counts.size(), 24U);
	for (const auto &[vm, count] : counts) {
		EXPECT_LT(count, 900) << vm;
	}
}

TEST(stream_lookup, one_record_is_sufficient) {
	stream_lookup lookup(START, START + milliseconds(400));
	lookup.on_asked({ "n1", "n2" });
	lookup.on_answer("n1", lookup_answer{});
	EXPECT_EQ(lookup.get_state(START), lookup_state::OPEN);
	lookup.on_answer("n2", lookup_answer{ V1 });
	EXPECT_EQ(lookup.get_state(START), lookup_state::FOUND);
	EXPECT_EQ(lookup.get_origin(), V1);
	EXPECT_EQ(lookup.get_source(), "n2");
	EXPECT_EQ(lookup.take_round(START + milliseconds(60)), std::nullopt);
}

TEST(stream_lookup, asks_more_nodes_as_soon_as_the_first_have_denied) {
	stream_lookup lookup(START, START + milliseconds(400));
	lookup.on_asked({ "n1", "n2" });
	lookup.on_answer("n1", lookup_answer{});
	EXPECT_EQ(lookup.take_round(START + milliseconds(2)), std::nullopt);
	lookup.on_answer("n2", lookup_answer{});
	EXPECT_EQ(lookup.take_round(START + milliseconds(2)), lookup_round::ALL_SOURCES);
}

// Guards against a record that is still on its way when a caller comes back at once.
TEST(stream_lookup, is_absent_only_after_nodes_were_asked_twice) {
	stream_lookup lookup(START, START + milliseconds(400));
	lookup.on_asked({ "n1" });
	EXPECT_EQ(lookup.take_round(START + stream_lookup::WIDEN_TIME), lookup_round::ALL_SOURCES);
	lookup.on_answer("n1", lookup_answer{});
	EXPECT_EQ(lookup.get_state(START + milliseconds(20)), lookup_state::OPEN);
	EXPECT_EQ(lookup.take_round(START + milliseconds(20)), std::nullopt);
	EXPECT_EQ(lookup.take_round(START + stream_lookup::RECHECK_TIME), lookup_round::ALL_REACHABLE);
	EXPECT_EQ(lookup.take_round(START + stream_lookup::RECHECK_TIME), std::nullopt);
	lookup.on_asked({ "n1", "n2" });
	lookup.on_answer("n1", lookup_answer{});
	EXPECT_EQ(lookup.get_state(START + milliseconds(60)), lookup_state::OPEN);
	lookup.on_lost("n2");
	EXPECT_EQ(lookup.get_state(START + milliseconds(60)), lookup_state::ABSENT);
}

TEST(stream_lookup, tells_silence_from_absence) {
	stream_lookup lookup(START, START + milliseconds(400));
	lookup.on_asked({ "n1" });
	EXPECT_TRUE(lookup.take_round(START + milliseconds(50)).has_value());
	EXPECT_TRUE(lookup.take_round(START + milliseconds(50)).has_value());
	EXPECT_EQ(lookup.get_state(START + milliseconds(399)), lookup_state::OPEN);
	EXPECT_EQ(lookup.get_state(START + milliseconds(400)), lookup_state::UNANSWERED);
}

using versions = std::set<std::string>;

class version_presence_test : public ::testing::Test {
protected:
	version_presence _presence;

	void confirm_until(instant p_from, instant p_to) {
		for (instant at = p_from; at <= p_to; at += seconds(1)) {
			_presence.on_confirmed(at);
		}
	}
};

TEST_F(version_presence_test, versions_are_known_only_after_a_streams_lifetime) {
	_presence.on_confirmed(START);
	_presence.set_listings({ make_listing("i-1", "v1"), make_listing("i-2", "v1") }, START);
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), START), std::nullopt);
	confirm_until(START, START + seconds(20));
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), START + seconds(19)), std::nullopt);
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), START + seconds(20)), versions{ "v1" });
	EXPECT_EQ(_presence.find_recent("other", seconds(20), START + seconds(20)), versions());
}

TEST_F(version_presence_test, a_version_that_has_gone_counts_for_a_streams_lifetime) {
	_presence.set_listings({ make_listing("i-1", "v1") }, START);
	confirm_until(START, START + seconds(30));
	_presence.set_listings({ make_listing("i-1", "v1"), make_listing("i-2", "v2") }, START + seconds(30));
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), START + seconds(30)), (versions{ "v1", "v2" }));
	_presence.set_listings({ make_listing("i-2", "v2") }, START + seconds(40));
	confirm_until(START + seconds(30), START + seconds(60));
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), START + seconds(59)), (versions{ "v1", "v2" }));
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), START + seconds(60)), versions{ "v2" });
}

// Guards against a guess by a node that is cut off from the store and knows an old list.
TEST_F(version_presence_test, an_unconfirmed_list_proves_nothing) {
	_presence.set_listings({ make_listing("i-1", "v1") }, START);
	confirm_until(START, START + seconds(60));
	const instant late = START + seconds(60) + version_presence::MAX_GAP + milliseconds(1);
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), late), std::nullopt);
	confirm_until(late, late + seconds(19));
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), late + seconds(19)), std::nullopt);
	confirm_until(late + seconds(20), late + seconds(20));
	EXPECT_EQ(_presence.find_recent("llm", seconds(20), late + seconds(20)), versions{ "v1" });
}

} // namespace calicoscale
