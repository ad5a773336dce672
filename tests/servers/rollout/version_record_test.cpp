/*
 * calicoscale: version_record_test.cpp
 * Answers since an order, accumulated from sums that rise and fall with the nodes that report.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_history.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t ROUTE = 7;

version_tally make_tally(std::uint32_t p_answers, std::uint32_t p_bad) {
	version_tally tally;
	tally.add({ answer_counts{ ROUTE, 0, p_answers, p_bad } });
	return tally;
}

answer_counts get_all(const version_history &p_record) {
	const std::vector<answer_counts> cells = p_record.get_all().get_cells();
	return cells.size() == 1 ? cells.front() : answer_counts();
}

/** Applies the same sum repeatedly for the length of a window. */
void apply_for_one_window(version_history &r_record, const version_windows &p_total, instant &r_now) {
	for (const instant until = r_now + seconds(2); r_now < until; r_now += milliseconds(200)) {
		r_record.set_total(p_total, r_now);
	}
}

} // namespace

// Counts of a failed node must be kept although the sums of the fleet no longer contain them.
TEST(version_record, what_a_lost_node_counted_stays) {
	version_history record;
	instant now{ seconds(100) };
	apply_for_one_window(record, version_windows(4, make_tally(30, 5), make_tally(10, 1)), now);
	apply_for_one_window(record, version_windows(4, make_tally(12, 2), {}), now);
	EXPECT_EQ(get_all(record), (answer_counts{ ROUTE, 0, 40, 6 }));
	record.advance_to(6);
	apply_for_one_window(record, version_windows(6, make_tally(3, 3), {}), now);
	EXPECT_EQ(get_all(record), (answer_counts{ ROUTE, 0, 43, 9 }));
}

// A node that changes its hub is briefly in the sums of both hubs and must not be counted twice.
TEST(version_record, what_is_in_two_sums_for_a_moment_is_not_kept_twice) {
	version_history record;
	instant now{ seconds(100) };
	apply_for_one_window(record, version_windows(4, make_tally(30, 5), {}), now);
	for (const instant until = now + milliseconds(500); now < until; now += milliseconds(50)) {
		record.set_total(version_windows(4, make_tally(60, 10), {}), now);
	}
	apply_for_one_window(record, version_windows(4, make_tally(30, 5), {}), now);
	EXPECT_EQ(get_all(record), (answer_counts{ ROUTE, 0, 30, 5 }));
}

TEST(version_record, what_a_node_counted_that_was_cut_off_is_in_its_window_once) {
	version_history record;
	instant now{ seconds(100) };
	apply_for_one_window(record, version_windows(4, make_tally(30, 5), {}), now);
	apply_for_one_window(record, version_windows(4, make_tally(10, 1), {}), now);
	apply_for_one_window(record, version_windows(4, make_tally(33, 5), {}), now);
	record.advance_to(9);
	EXPECT_EQ(get_all(record), (answer_counts{ ROUTE, 0, 33, 5 }));
	apply_for_one_window(record, version_windows(4, make_tally(33, 5), {}), now);
	EXPECT_EQ(get_all(record), (answer_counts{ ROUTE, 0, 33, 5 })) << "the window was closed";
}

TEST(version_record, closed_windows_that_others_tell_are_not_added_to_ones_own) {
	version_history record;
	version_history other;
	instant now{ seconds(100) };
	const version_windows total(4, make_tally(30, 5), make_tally(10, 1));
	apply_for_one_window(record, total, now);
	apply_for_one_window(other, total, now);
	other.advance_to(6);
	record.merge_past(other.get_past(), other.get_index());
	record.merge_past(other.get_past(), other.get_index());
	other.merge_past(record.get_past(), record.get_index());
	EXPECT_EQ(get_all(record), (answer_counts{ ROUTE, 0, 40, 6 }));
	EXPECT_EQ(get_all(other), (answer_counts{ ROUTE, 0, 40, 6 }));
	version_history started;
	started.merge_past(other.get_past(), other.get_index());
	EXPECT_EQ(get_all(started), (answer_counts{ ROUTE, 0, 40, 6 })) << "a node that starts learns what is over";
}

// Sizes of messages and memory must depend on routes and groups only, not on the number of windows or nodes.
TEST(version_record, what_is_kept_is_bounded) {
	version_history record;
	instant now{ seconds(100) };
	for (std::uint32_t window = 0; window < 200; window++) {
		version_tally tally;
		for (std::uint32_t route = 0; route < 40; route++) {
			tally.add({ answer_counts{ window * 40 + route + 1, static_cast<std::uint8_t>(route % 9), 5, 1 } });
		}
		apply_for_one_window(record, version_windows(window, tally, {}), now);
	}
	const std::size_t max_cells = (version_tally::MAX_ROUTES + 1) * (version_tally::TARGET_GROUPS + 1);
	EXPECT_LE(record.get_past().get_cells().size(), max_cells);
	EXPECT_LE(record.get_all().get_cells().size(), max_cells);
}

TEST(version_windows, reports_of_different_windows_are_added_window_by_window) {
	version_windows sum(5, make_tally(1, 0), make_tally(10, 1));
	sum.add(version_windows(4, make_tally(20, 2), make_tally(100, 50)));
	sum.add(version_windows(2, make_tally(200, 20), make_tally(100, 50)));
	EXPECT_EQ(sum.get_current().get_cells(), (std::vector<answer_counts>{ { ROUTE, 0, 1, 0 } }));
	EXPECT_EQ(sum.get_previous().get_cells(), (std::vector<answer_counts>{ { ROUTE, 0, 30, 3 } }));
	sum.add(version_windows(6, make_tally(2, 0), {}));
	EXPECT_EQ(sum.get_index(), 6U);
	EXPECT_EQ(sum.get_previous().get_cells(), (std::vector<answer_counts>{ { ROUTE, 0, 1, 0 } }));
}

} // namespace calicoscale
