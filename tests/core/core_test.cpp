/*
 * calicoscale: core_test.cpp
 * Verdicts, ids, labels, buckets, sketches and clocks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/bounded_body.h"
#include "core/digest.h"
#include "core/hybrid_clock.h"
#include "core/ids.h"
#include "core/labels.h"
#include "core/quantile_sketch.h"
#include "core/token_bucket.h"
#include "core/verdict.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

instant at(std::int64_t p_milliseconds) {
	return instant(std::chrono::milliseconds(p_milliseconds));
}

} // namespace

RC_GTEST_PROP(verdict_tally_properties, not_run_only_if_every_attempt_was, (const std::vector<std::uint8_t> &p_attempts)) {
	verdict_tally tally;
	bool all_not_run = true;
	for (const std::uint8_t attempt : p_attempts) {
		const verdict value = static_cast<verdict>(attempt % 3);
		tally.add(value);
		all_not_run = all_not_run && value == verdict::NOT_RUN;
	}
	RC_ASSERT((tally.get_verdict() == verdict::NOT_RUN) == all_not_run);
}

// Guards against a body that exceeds the maximum and is then treated as a complete shorter one.
TEST(bounded_body, what_is_too_large_is_not_whole_whatever_comes_after) {
	bounded_body body(10);
	body.append("0123456789");
	EXPECT_TRUE(body.is_complete());
	EXPECT_EQ(body.get(), "0123456789");
	body.append("a");
	body.append("");
	EXPECT_FALSE(body.is_complete());
	EXPECT_EQ(body.get(), "");
	body.append("bc");
	EXPECT_FALSE(body.is_complete());
	EXPECT_EQ(body.get(), "");
	body.clear();
	EXPECT_TRUE(body.is_complete());
}

TEST(verdict, every_reason_has_a_name_that_leads_back_and_a_status) {
	for (int value = 0; value <= static_cast<int>(reason::CONFIGURATION_UNCONFIRMED); value++) {
		const reason why = static_cast<reason>(value);
		EXPECT_NE(get_name(why), "unknown");
		EXPECT_EQ(find_reason(get_name(why)), why);
		EXPECT_NE(get_http_status(why), 500) << get_name(why);
	}
}

RC_GTEST_PROP(id_properties, text_leads_back_to_the_id, (std::uint64_t p_incarnation, std::uint64_t p_sequence)) {
	const request_id id{ p_incarnation, p_sequence };
	RC_ASSERT(parse_request_id(to_string(id)) == id);
}

TEST(ids, malformed_text_is_no_id) {
	for (const char *text : { "", "-", "12-34", "000000000000000g-0000000000000000", "0000000000000000_0000000000000000", "0000000000000000-00000000000000001" }) {
		EXPECT_FALSE(parse_request_id(text).has_value()) << text;
	}
}

TEST(selector, operators) {
	label_set labels;
	labels.values = { { "customer", "a" }, { "zone", "z1" } };
	const auto matches = [&labels](match_operator p_operator, const char *p_key, std::vector<std::string> p_values) {
		return selector{ { requirement{ p_key, p_operator, std::move(p_values) } } }.matches(labels);
	};
	EXPECT_TRUE(matches(match_operator::EQUALS, "customer", { "a" }));
	EXPECT_FALSE(matches(match_operator::EQUALS, "customer", { "b" }));
	EXPECT_TRUE(matches(match_operator::IN, "customer", { "b", "a" }));
	EXPECT_FALSE(matches(match_operator::IN, "model", { "b" }));
	EXPECT_TRUE(matches(match_operator::NOT_IN, "customer", { "b" }));
	EXPECT_TRUE(matches(match_operator::NOT_IN, "model", { "b" }));
	EXPECT_FALSE(matches(match_operator::NOT_IN, "customer", { "a" }));
	EXPECT_TRUE(matches(match_operator::EXISTS, "zone", {}));
	EXPECT_FALSE(matches(match_operator::EXISTS, "model", {}));
	EXPECT_TRUE(selector().matches(labels));
}

RC_GTEST_PROP(token_bucket_properties, never_lets_through_more_than_burst_and_rate, (const std::vector<std::uint8_t> &p_steps)) {
	token_bucket bucket(10.0, 5.0, at(0));
	std::int64_t now = 0;
	int taken_count = 0;
	for (const std::uint8_t step : p_steps) {
		now += step;
		taken_count += bucket.try_take(1.0, at(now)) ? 1 : 0;
		RC_ASSERT(taken_count <= 5.0 + 10.0 * static_cast<double>(now) / 1000.0 + 1e-6);
	}
}

TEST(token_bucket, tells_how_long_to_wait) {
	token_bucket bucket(10.0, 1.0, at(0));
	EXPECT_TRUE(bucket.try_take(1.0, at(0)));
	EXPECT_FALSE(bucket.try_take(1.0, at(0)));
	EXPECT_EQ(bucket.get_wait(1.0, at(0)), std::chrono::milliseconds(100));
	EXPECT_TRUE(bucket.try_take(1.0, at(100)));
}

RC_GTEST_PROP(quantile_sketch_properties, is_off_by_at_most_a_bucket, ()) {
	std::vector<int> samples = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20000)));
	quantile_sketch sketch;
	for (const int sample : samples) {
		sketch.add(std::chrono::milliseconds(sample), at(0));
	}
	std::sort(samples.begin(), samples.end());
	const double median = samples[(samples.size() - 1) / 2];
	const double reported = to_milliseconds(*sketch.get_quantile(0.5));
	RC_ASSERT(reported <= median * 1.13);
	RC_ASSERT(reported >= median / 1.13);
}

TEST(quantile_sketch, old_samples_fade) {
	quantile_sketch sketch(std::chrono::seconds(1));
	for (int i = 0; i < 100; i++) {
		sketch.add(std::chrono::milliseconds(1000), at(0));
	}
	for (int i = 0; i < 20; i++) {
		sketch.add(std::chrono::milliseconds(10), at(10'000));
	}
	EXPECT_LT(*sketch.get_quantile(0.9), std::chrono::milliseconds(20));
	EXPECT_LT(sketch.get_count(at(10'000)), 21.0);
}

TEST(quantile_sketch, long_lives_do_not_overflow) {
	quantile_sketch sketch(std::chrono::seconds(1));
	for (int i = 0; i < 5000; i++) {
		sketch.add(std::chrono::milliseconds(10), at(i * 1000));
	}
	EXPECT_NEAR(sketch.get_count(at(4999 * 1000)), 2.0, 0.1);
	EXPECT_NEAR(to_milliseconds(*sketch.get_quantile(0.5)), 10.0, 1.3);
}

RC_GTEST_PROP(hybrid_clock_properties, cause_comes_before_effect_though_wall_clocks_disagree, (const std::vector<std::int16_t> &p_skews)) {
	hybrid_clock left;
	hybrid_clock right;
	hybrid_time last{};
	for (const std::int16_t skew : p_skews) {
		const hybrid_time sent = left.tick(1'000'000 + skew / 2);
		RC_ASSERT(sent > last);
		right.observe(sent, 1'000'000 - skew / 2);
		last = right.tick(1'000'000 - skew / 2);
		RC_ASSERT(last > sent);
		left.observe(last, 1'000'000);
	}
}

TEST(hybrid_clock, absurd_times_are_not_followed) {
	hybrid_clock clock;
	clock.observe(hybrid_time{ 10'000'000, 0 }, 1000);
	EXPECT_EQ(clock.tick(1000).wall, 1000);
}

TEST(digest, known_values) {
	EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
	EXPECT_TRUE(equal_in_constant_time("same", "same"));
	EXPECT_FALSE(equal_in_constant_time("same", "sane"));
	EXPECT_FALSE(equal_in_constant_time("same", "sam"));
	stream_digest left;
	left.add("ab");
	left.add("c");
	stream_digest right;
	right.add("a");
	right.add("bc");
	EXPECT_NE(left.to_string(), right.to_string());
}

} // namespace calicoscale
