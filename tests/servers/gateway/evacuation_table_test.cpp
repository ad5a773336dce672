/*
 * calicoscale: evacuation_table_test.cpp
 * Evacuated zones, with reads and reports of other nodes in any order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/evacuation_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using zones = std::set<std::string>;

instant at(int p_seconds) {
	return instant{} + std::chrono::hours(1) + std::chrono::seconds(p_seconds);
}

constexpr int KEPT_SECONDS = std::chrono::duration_cast<std::chrono::seconds>(evacuation_table::RETENTION_AFTER_RESTORE).count();

/** An operator's log, with the evacuated zones after each of its records. */
class operator_log {
	std::vector<evacuation_record> _records;

public:
	void write(const std::string &p_zone, bool p_is_evacuated) { _records.push_back(evacuation_record{ p_zone, p_is_evacuated, _records.size() }); }

	std::size_t get_end() const { return _records.size(); }

	std::vector<evacuation_record> read(std::size_t p_from, std::size_t p_to) const { return { _records.begin() + p_from, _records.begin() + p_to }; }

	zones get_zones(std::size_t p_end) const {
		zones evacuated;
		for (std::size_t i = 0; i < p_end; i++) {
			if (_records[i].is_evacuated) {
				evacuated.insert(_records[i].zone);
			} else {
				evacuated.erase(_records[i].zone);
			}
		}
		return evacuated;
	}

	std::vector<std::string> list_zones(std::size_t p_end) const {
		const zones evacuated = get_zones(p_end);
		return { evacuated.begin(), evacuated.end() };
	}
};

} // namespace

TEST(evacuation_table, a_zone_is_evacuated_until_a_later_record_takes_it_back) {
	evacuation_table table;
	table.apply_snapshot({}, { 0, 3 }, at(0));
	EXPECT_TRUE(table.get_zones().empty());
	table.apply_records({ { "a", true, 3 }, { "b", true, 4 } }, 0);
	EXPECT_EQ(table.get_zones(), (zones{ "a", "b" }));
	table.apply_records({ { "a", false, 5 } }, 0);
	EXPECT_EQ(table.get_zones(), (zones{ "b" }));
}

TEST(evacuation_table, changes_are_told_once) {
	evacuation_table table;
	table.apply_snapshot({ "a" }, { 0, 3 }, at(0));
	ASSERT_EQ(table.take_changes().size(), 1U);
	EXPECT_TRUE(table.take_changes().empty());
	table.apply_records({ { "a", false, 3 }, { "a", true, 4 } }, 0);
	EXPECT_TRUE(table.take_changes().empty()) << "an evacuation that ends and starts again within one read is no change";
	table.apply_records({ { "a", false, 5 } }, 0);
	const std::vector<evacuation_change> changes = table.take_changes();
	ASSERT_EQ(changes.size(), 1U);
	EXPECT_FALSE(changes.front().is_evacuated);
}

TEST(evacuation_table, a_peers_late_news_neither_evacuates_nor_takes_back) {
	evacuation_table table;
	table.apply_snapshot({ "a" }, { 0, 10 }, at(0));
	EXPECT_FALSE(table.apply_update({ { 0, 9 }, {} }, at(1)));
	EXPECT_FALSE(table.apply_update({ { 0, 10 }, {} }, at(1)));
	EXPECT_FALSE(table.apply_update({ log_position(), {} }, at(1))) << "a peer that has not read anything yet";
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
	EXPECT_TRUE(table.apply_update({ { 0, 11 }, {} }, at(1)));
	EXPECT_FALSE(table.apply_update({ { 0, 4 }, { "a" } }, at(2)));
	EXPECT_TRUE(table.get_zones().empty());
}

TEST(evacuation_table, an_own_reading_that_lags_behind_what_was_told_changes_nothing) {
	evacuation_table table;
	table.apply_snapshot({}, { 0, 5 }, at(0));
	table.apply_update({ { 0, 9 }, {} }, at(1));
	table.apply_records({ { "a", true, 6 }, { "b", true, 7 } }, 0);
	EXPECT_TRUE(table.get_zones().empty());
	table.apply_records({ { "a", true, 9 } }, 0);
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
}

TEST(evacuation_table, what_cannot_be_confirmed_stays) {
	evacuation_table table;
	table.apply_snapshot({ "a" }, { 0, 5 }, at(0));
	table.tick(at(100'000));
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
}

TEST(evacuation_table, an_evacuation_that_an_older_copy_lacks_is_kept_until_it_could_be_written_again) {
	evacuation_table table;
	table.apply_snapshot({ "a", "b" }, { 4, 50 }, at(0));
	table.apply_snapshot({ "b" }, { 5, 40 }, at(1));
	EXPECT_EQ(table.get_zones(), (zones{ "a", "b" }));
	EXPECT_EQ(table.get_state().zones, (std::vector<std::string>{ "b" })) << "peers keep the evacuations that they knew themselves";
	ASSERT_TRUE(table.get_next_end());
	table.tick(at(KEPT_SECONDS));
	EXPECT_EQ(table.get_zones(), (zones{ "a", "b" }));
	table.tick(at(1 + KEPT_SECONDS));
	EXPECT_EQ(table.get_zones(), (zones{ "b" }));
	EXPECT_FALSE(table.get_next_end());
}

TEST(evacuation_table, an_evacuation_written_again_lasts_and_one_taken_back_again_ends) {
	evacuation_table table;
	table.apply_snapshot({ "a", "b" }, { 4, 50 }, at(0));
	table.apply_snapshot({}, { 5, 40 }, at(1));
	table.apply_records({ { "a", true, 40 }, { "b", false, 41 } }, 5);
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
	table.tick(at(1000));
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
}

TEST(evacuation_table, news_of_an_earlier_era_is_dropped_and_offsets_are_given_out_again) {
	evacuation_table table;
	table.apply_snapshot({}, { 4, 50 }, at(0));
	table.apply_update({ { 5, 30 }, { "a" } }, at(1));
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
	EXPECT_FALSE(table.apply_update({ { 4, 60 }, {} }, at(2)));
	table.apply_records({ { "a", false, 60 } }, 4);
	table.apply_snapshot({}, { 4, 70 }, at(2));
	EXPECT_EQ(table.get_zones(), (zones{ "a" }));
	table.apply_records({ { "a", false, 30 } }, 5);
	EXPECT_TRUE(table.get_zones().empty());
}

TEST(evacuation_table, two_copies_in_a_row_end_what_was_kept_by_the_first) {
	evacuation_table table;
	table.apply_snapshot({ "a" }, { 4, 50 }, at(0));
	table.apply_snapshot({}, { 5, 40 }, at(1));
	table.apply_snapshot({}, { 6, 30 }, at(3));
	table.tick(at(1 + KEPT_SECONDS));
	EXPECT_TRUE(table.get_zones().empty()) << "a second restore does not prolong it";
}

// Nodes read records or snapshots and apply states of each other, early or late and in any order.
RC_GTEST_PROP(evacuation_table_properties, nodes_that_know_the_same_position_know_the_same_and_never_go_back, ()) {
	operator_log log;
	std::vector<evacuation_table> nodes(4);
	std::vector<std::size_t> read_up_to(nodes.size(), 0);
	std::vector<evacuation_state> published_states;
	std::vector<bool> is_loaded(nodes.size(), false);
	const int steps = *rc::gen::inRange(1, 60);
	for (int step = 0; step < steps; step++) {
		const std::size_t node = *rc::gen::inRange<std::size_t>(0, nodes.size());
		switch (*rc::gen::inRange(0, 4)) {
			case 0:
				log.write(*rc::gen::element<std::string>("a", "b", "c"), *rc::gen::arbitrary<bool>());
				break;
			case 1:
				nodes[node].apply_snapshot(log.list_zones(log.get_end()), { 0, log.get_end() }, at(step));
				read_up_to[node] = log.get_end();
				is_loaded[node] = true;
				break;
			case 2:
				if (is_loaded[node]) {
					nodes[node].apply_records(log.read(read_up_to[node], log.get_end()), 0);
					read_up_to[node] = log.get_end();
				}
				break;
			default:
				if (!published_states.empty()) {
					nodes[node].apply_update(*rc::gen::elementOf(published_states), at(step));
				}
				break;
		}
		published_states.push_back(nodes[node].get_state());
		const std::size_t known = nodes[node].get_state().known.offset;
		RC_ASSERT(known <= log.get_end());
		// The position is that of the last applied record or of a snapshot; the zones are those of the log at this position.
		RC_ASSERT(nodes[node].get_zones() == log.get_zones(known));
	}
}

} // namespace calicoscale
