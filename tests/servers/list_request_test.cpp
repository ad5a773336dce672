/*
 * calicoscale: list_request_test.cpp
 * Selection of the peer from which a starting node requests the endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/list_request.h"

#include <gtest/gtest.h>

#include <set>

namespace calicoscale {

namespace {

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(p_ms);
}

const std::vector<list_source> SOURCES{ { "far-large", false, 0.5 }, { "near-small", true, 0.12 }, { "near-large", true, 0.5 }, { "far-small", false, 0.12 } };

} // namespace

TEST(list_request, asks_one_at_a_time_near_ones_first_and_the_larger_ones_of_these) {
	list_request request;
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(0)), "near-large");
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(100)), "") << "an answer is awaited";
	request.on_declined("near-large", at_ms(110));
	EXPECT_EQ(request.choose(SOURCES, 0.9, at_ms(110)), "near-small");
	request.on_declined("near-small", at_ms(120));
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(120)), "far-large");
	request.on_declined("far-large", at_ms(130));
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(130)), "far-small");
	request.on_declined("far-small", at_ms(140));
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(140)), "") << "all have declined just now";
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(520)), "near-large");
}

TEST(list_request, a_node_that_does_not_answer_is_passed_over_with_growing_patience) {
	list_request request;
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(0)), "near-large");
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(790)), "");
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(800)), "near-small");
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(2390)), "") << "the second timeout is twice as long, as a list takes longer over a busy link";
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(2400)), "near-large");
}

TEST(list_request, nodes_that_start_together_spread_over_whoever_tells) {
	std::vector<list_source> sources;
	for (int i = 0; i < 10; i++) {
		sources.push_back(list_source{ "n" + std::to_string(i), true, 0.12 });
	}
	std::set<std::string> selected;
	for (int i = 0; i < 100; i++) {
		list_request request;
		selected.insert(request.choose(sources, i / 100.0, at_ms(0)));
	}
	EXPECT_EQ(selected.size(), sources.size());
	list_request request;
	EXPECT_EQ(request.choose(sources, 1.0, at_ms(0)), "n9");
	EXPECT_EQ(list_request().choose({}, 0.5, at_ms(0)), "");
}

TEST(list_request, a_node_that_answered_may_be_asked_again_at_once) {
	list_request request;
	const std::vector<list_source> sources{ list_source{ "a", true, 1.0 } };
	EXPECT_EQ(request.choose(sources, 0.0, at_ms(0)), "a");
	request.on_answered("a");
	EXPECT_EQ(request.choose(sources, 0.0, at_ms(10)), "a");
}

TEST(list_request, a_late_refusal_of_another_node_does_not_end_the_wait) {
	list_request request;
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(0)), "near-large");
	request.on_declined("far-small", at_ms(10));
	EXPECT_EQ(request.choose(SOURCES, 0.0, at_ms(20)), "");
}

} // namespace calicoscale
