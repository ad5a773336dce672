/*
 * calicoscale: endpoint_rests_test.cpp
 * Endpoints that request a back-off, and when requests may be sent to them and to others.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_limits.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint_identity FIRST{ "e0", 1000 };
const endpoint_identity SECOND{ "e1", 1001 };

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + milliseconds(p_ms);
}

} // namespace

TEST(endpoint_rests, nothing_is_sent_until_the_later_end_of_two_rests) {
	endpoint_limits limits("n", "z", limit_sharing::RANKS);
	limits.get_backoffs().add(FIRST, seconds(3), at_ms(0));
	limits.get_backoffs().add(FIRST, seconds(1), at_ms(500));
	EXPECT_FALSE(limits.may_send(FIRST, sender_share::SHARE, at_ms(2999)));
	EXPECT_FALSE(limits.may_send(FIRST, sender_share::FULL, at_ms(2999)));
	EXPECT_TRUE(limits.may_send(FIRST, sender_share::SHARE, at_ms(3000)));
	EXPECT_TRUE(limits.may_send(SECOND, sender_share::SHARE, at_ms(0)));
	EXPECT_TRUE(limits.may_send(endpoint_identity{ FIRST.vm, FIRST.incarnation + 1 }, sender_share::SHARE, at_ms(0))) << "a later start has not requested a back-off";
	EXPECT_EQ(limits.get_deferred_count(), 2U);
	limits.forget_old(at_ms(3000));
	EXPECT_EQ(limits.get_backoffs().count(), 0U);
	EXPECT_FALSE(limits.is_any_bounded());
}

TEST(endpoint_rests, where_all_rest_the_shortest_is_told_and_where_one_does_not_none_waits) {
	endpoint_limits limits("n", "z", limit_sharing::RANKS);
	limits.get_backoffs().add(FIRST, seconds(3), at_ms(0));
	limits.get_backoffs().add(SECOND, seconds(2), at_ms(0));
	const send_prospect all = limits.predict({ FIRST, SECOND }, 0, at_ms(500));
	EXPECT_FALSE(all.wait);
	EXPECT_EQ(all.backoff_left, milliseconds(1500));
	const send_prospect one = limits.predict({ FIRST, SECOND }, 0, at_ms(2000));
	EXPECT_EQ(one.wait, duration::zero());
}

TEST(endpoint_rests, a_limited_endpoint_that_rests_has_no_place_to_wait_for) {
	endpoint_limits limits("n", "z", limit_sharing::RANKS);
	limits.set_senders(known_senders{ { "n" }, 1 }, at_ms(-5000));
	endpoint_notice named;
	named.limit = limit_statement::ADVERTISED;
	named.rate_limit = 2.0;
	limits.get_advertised().on_answer(FIRST, named, true, at_ms(-100), at_ms(0));
	EXPECT_TRUE(limits.may_send(FIRST, sender_share::SHARE, at_ms(0)));
	limits.get_backoffs().add(FIRST, seconds(1), at_ms(0));
	EXPECT_FALSE(limits.predict({ FIRST }, 0, at_ms(0)).wait);
	EXPECT_TRUE(limits.may_send(FIRST, sender_share::SHARE, at_ms(1000)));
}

} // namespace calicoscale
