/*
 * calicoscale: news_digest_test.cpp
 * The messages that report prompts are bounded, and the records of least worth are dropped.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/prompt_record.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + milliseconds(p_milliseconds));
}

prompt_record make_prompt(std::uint64_t p_tokens) {
	return prompt_record{ get_origin_code("n"), { "e", 1 }, { prompt_link{ p_tokens, p_tokens } } };
}

/** Returns the number of messages that a node sends at once in ten seconds, at a rate of prompts and a number of receivers. */
std::size_t count_at_once(int p_prompts_per_second, std::size_t p_receivers) {
	update_batch<prompt_record> digest = make_prompt_digest();
	std::size_t sent = 0;
	for (int i = 0; i < p_prompts_per_second * 10; i++) {
		digest.add(make_prompt(1));
		if (digest.try_spend(p_receivers, at(i * 1000 / p_prompts_per_second))) {
			digest.take();
			sent += p_receivers;
		}
	}
	return sent;
}

} // namespace

TEST(news_digest, a_small_fleet_is_told_at_once) {
	EXPECT_EQ(count_at_once(6, 8), 6U * 10U * 8U);
}

TEST(news_digest, messages_are_bounded_whatever_the_load_and_the_fleet) {
	// Reporting each prompt at once would take 450 x 34 = 15,300 messages a second.
	EXPECT_LE(count_at_once(450, 34), 200U * 11U);
}

TEST(news_digest, what_a_heartbeat_cannot_carry_is_dropped_the_shortest_first) {
	update_batch<prompt_record> digest = make_prompt_digest();
	for (std::uint64_t tokens = 1; tokens <= 1000; tokens++) {
		digest.add(make_prompt(tokens));
	}
	const std::vector<prompt_record> batch = digest.take();
	ASSERT_EQ(batch.size() + digest.get_dropped(), 1000U);
	EXPECT_LE(batch.size(), 140U);
	for (const prompt_record &prompt : batch) {
		EXPECT_GT(prompt.prompt.front().tokens, digest.get_dropped());
	}
	EXPECT_TRUE(digest.is_empty());
}

} // namespace calicoscale
