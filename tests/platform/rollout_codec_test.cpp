/*
 * calicoscale: rollout_codec_test.cpp
 * Checks the records in which the state of a roll-out is stored.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "platform/rollout_codec.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::seconds;

constexpr unix_milliseconds WALL = 1800000000000;

std::optional<rollout_status> find(const std::string &p_text, unix_milliseconds p_wall = WALL) {
	return find_rollout_status({ store_record{ get_rollout_status_key("llm"), p_text, 3 } }, "llm", p_wall);
}

std::string make_text(const std::string &p_field) {
	return R"({"service":"llm","target_version":"v2","order_offset":5,"order_era":1,"state":"in_progress")" + p_field + "}";
}

} // namespace

// Guards against losing the age of a roll-out order when all nodes restart: the age must include the time in which no node ran.
TEST(rollout_codec, the_age_of_an_order_goes_on_while_nobody_runs) {
	const rollout_status written{ "llm", "v2", rollout_state::IN_PROGRESS, log_position{ 1, 5 }, seconds(7) };
	const std::optional<rollout_status> read = find(write_rollout_status(written, WALL), WALL + 30000);
	ASSERT_TRUE(read);
	EXPECT_EQ(read->order, written.order);
	EXPECT_EQ(read->state, written.state);
	EXPECT_EQ(read->age, seconds(37));
}

TEST(rollout_codec, an_order_is_not_younger_than_zero_when_the_clock_was_set_back) {
	const rollout_status written{ "llm", "v2", rollout_state::IN_PROGRESS, log_position{ 1, 5 }, seconds(7) };
	EXPECT_EQ(find(write_rollout_status(written, WALL), WALL - 60000)->age, duration::zero());
}

// Records written by earlier versions of the program or by another writer may lack a readable time of day. Guards against
// rejecting their state, or deriving an age from them.
TEST(rollout_codec, a_state_without_a_readable_time_of_day_stands_and_tells_no_age) {
	for (const char *field : { "", R"(,"learnt_at_ms":"soon")", R"(,"learnt_at_ms":-5)", R"(,"learnt_at_ms":0)", R"(,"learnt_at_ms":1.5)", R"(,"learnt_at_ms":null)", R"(,"learnt_at_ms":12)" }) {
		const std::optional<rollout_status> read = find(make_text(field));
		ASSERT_TRUE(read) << field;
		EXPECT_EQ(read->state, rollout_state::IN_PROGRESS) << field;
		EXPECT_EQ(read->order, (log_position{ 1, 5 })) << field;
		EXPECT_FALSE(read->age) << field;
	}
	EXPECT_EQ(find(make_text(R"(,"learnt_at_ms":18446744073709551615)"))->age, duration::zero());
}

} // namespace calicoscale
