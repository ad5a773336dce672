/*
 * calicoscale: lookup_refusal_test.cpp
 * Refusal of requests whose route or key the known configuration lacks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/lookup_refusal.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr duration APPLY_TIME = milliseconds(2000);
constexpr duration SHORTEST = duration(1);

} // namespace

TEST(lookup_refusal, is_final_up_to_the_time_in_which_a_change_must_be_in_force) {
	for (const reason why : { reason::NOT_FOUND, reason::UNAUTHORIZED }) {
		EXPECT_EQ(get_lookup_refusal(why, duration::zero(), APPLY_TIME), why);
		EXPECT_EQ(get_lookup_refusal(why, APPLY_TIME, APPLY_TIME), why);
	}
}

TEST(lookup_refusal, asks_the_caller_to_retry_after_that_time) {
	for (const reason why : { reason::NOT_FOUND, reason::UNAUTHORIZED }) {
		EXPECT_EQ(get_lookup_refusal(why, APPLY_TIME + SHORTEST, APPLY_TIME), reason::CONFIGURATION_UNCONFIRMED);
		EXPECT_EQ(get_lookup_refusal(why, std::chrono::hours(1), APPLY_TIME), reason::CONFIGURATION_UNCONFIRMED);
	}
	EXPECT_EQ(get_http_status(reason::CONFIGURATION_UNCONFIRMED), 503);
}

} // namespace calicoscale
