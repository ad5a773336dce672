/*
 * calicoscale: rollout_wire_test.cpp
 * Checks that roll-out updates between nodes are unchanged after being written and read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/rollout_wire.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

version_tally make_tally(std::uint32_t p_answers) {
	version_tally tally;
	tally.add({ answer_counts{ 7, 2, p_answers, 1 } });
	return tally;
}

} // namespace

// A node that starts receives the age of an order and the answer counts of closed windows from other nodes. Guards against
// losing them in the message.
TEST(rollout_wire, ages_and_windows_come_through) {
	rollout_update update;
	update.order = rollout_order{ "llm", "v2", std::chrono::seconds(40), log_position{ 1, 5 }, false };
	update.age = std::chrono::seconds(12);
	update.is_age_estimated = true;
	update.report.order = update.order.at;
	update.report.nodes = 3;
	update.report.answers = version_windows(6, make_tally(30), make_tally(20));
	update.past = make_tally(100);
	flatbuffers::FlatBufferBuilder builder;
	builder.Finish(write_rollouts(builder, { update }));
	const std::vector<rollout_update> read = read_rollouts(flatbuffers::GetRoot<rollout_offsets>(builder.GetBufferPointer()));
	ASSERT_EQ(read.size(), 1U);
	EXPECT_EQ(read.front().age, update.age);
	EXPECT_TRUE(read.front().is_age_estimated);
	EXPECT_EQ(read.front().report.nodes, 3U);
	EXPECT_EQ(read.front().report.answers.get_index(), 6U);
	EXPECT_EQ(read.front().report.answers.get_current().get_cells(), make_tally(30).get_cells());
	EXPECT_EQ(read.front().report.answers.get_previous().get_cells(), make_tally(20).get_cells());
	EXPECT_EQ(read.front().past.get_cells(), make_tally(100).get_cells());
}

} // namespace calicoscale
