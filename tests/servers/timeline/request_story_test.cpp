/*
 * calicoscale: request_story_test.cpp
 * Parses log lines, merges the logs of several nodes for one request, and explains its outcome.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/timeline/request_timeline.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

/** Logs by name, each a list of lines. */
using logs = std::map<std::string, std::vector<std::string>>;

request_timeline read(const std::string &p_request, const logs &p_logs) {
	request_timeline story(p_request);
	for (const auto &[name, lines] : p_logs) {
		for (const std::string &line : lines) {
			story.read(name, line);
		}
	}
	for (const auto &[name, lines] : p_logs) {
		for (const std::string &line : lines) {
			story.read_context(name, line);
		}
	}
	return story;
}

bool contains(const std::string &p_text, const std::string &p_part) {
	return p_text.find(p_part) != std::string::npos;
}

/** Logs of two nodes with unrelated steady clocks; `b` dispatches the pool, and its replica's call is overdue. */
logs make_logs() {
	return logs{
		{ "a.log", { "ms=1000 event=started vm=a wall_ms=50000", "ms=2000 event=request_admitted request=r1 route=x predicted_ms=400", "ms=2001 event=stage_asked request=r1 stage=0 pool=encode pieces=2 node=b left_ms=900", "ms=2002 event=stage_asked request=other stage=0 pool=encode node=b", "ms=2900 event=stage_failed request=r1 stage=0 pool=encode end=late took_ms=899", "ms=2901 event=request_finished request=r1 verdict=may_have_run reason=deadline_passed status=504 sends=0 took_ms=901" } },
		{ "b.log", { "ms=700000 event=started vm=b wall_ms=50100", "ms=700950 event=stage_call pool=encode call=7 replica=e1 pieces=3 requests=other,r1 waiting=0", "ms=701700 event=stage_call_overdue pool=encode call=7", "ms=701710 event=stage_call_overdue pool=encode call=8", "ms=701720 event=endpoint_changed endpoint=e1 change=removed", "ms=701730 event=endpoint_changed endpoint=e2 change=removed", "E20261202 a line of a library", "ms=799999 event=endpoint_changed endpoint=e1 change=added" } },
	};
}

} // namespace

TEST(logged_event, reads_what_is_a_line_and_nothing_else) {
	const std::optional<logged_event> entry = parse_logged_event("ms=12 event=send request=r1 left_ms=900 note=");
	ASSERT_TRUE(entry.has_value());
	EXPECT_EQ(entry->steady_ms, 12);
	EXPECT_EQ(entry->event, "send");
	EXPECT_EQ(entry->find_number("left_ms"), 900);
	EXPECT_EQ(entry->find("note"), "");
	EXPECT_EQ(entry->find_number("request"), std::nullopt);
	for (const char *line : { "", "event=send", "ms=1", "ms=x event=send", "W1202 something happened", "ms=99999999999999999999 event=send" }) {
		EXPECT_FALSE(parse_logged_event(line).has_value()) << line;
	}
}

TEST(request_story, orders_lines_of_nodes_whose_clocks_differ_and_leaves_out_what_is_others) {
	request_timeline story = read("r1", make_logs());
	const std::string text = story.write();
	EXPECT_LT(text.find("request_admitted"), text.find("stage_asked"));
	EXPECT_LT(text.find("stage_asked"), text.find("b  stage_call pool"));
	EXPECT_LT(text.find("b  stage_call pool"), text.find("call=7"));
	EXPECT_LT(text.find("endpoint=e1 change=removed"), text.find("stage_failed")) << text;
	EXPECT_TRUE(contains(text, "* 0 ms  a  request_admitted")) << text;
	EXPECT_TRUE(contains(text, "* 50 ms  b  stage_call")) << text;
	for (const char *foreign : { "other", "call=8", "e2", "change=added", "library" }) {
		EXPECT_FALSE(contains(text, foreign)) << foreign << "\n"
											  << text;
	}
	EXPECT_EQ(story.get_cause(), "Failed after 901 ms: the deadline or the route's time-out passed. Stage 0 at pool encode ended by late. The longest wait was 899 ms, for stage 0 at pool encode.");
}

TEST(request_story, tells_why_a_request_was_refused) {
	const request_timeline story = read("r2", { { "a", { "ms=5 event=request_refused request=r2 route=x reason=deadline_unreachable status=503 predicted_ms=1900 allowed_ms=1400 retry_after_ms=600" } } });
	EXPECT_EQ(story.get_cause(), "Refused as not run with 503: the stage pools had more admitted work than would be done within the objective. Predicted 1900 ms, allowed 1400 ms.");
	const request_timeline unconfirmed = read("r8", { { "a", { "ms=5 event=request_refused request=r8 reason=configuration_unconfirmed status=503 version=7 unconfirmed_ms=2400" } } });
	EXPECT_EQ(unconfirmed.get_cause(), "Refused as not run with 503: its route or its key is not in the configuration known to the node, which had not been confirmed for longer than a change may take.");
}

TEST(request_story, tells_what_broke_a_stream_and_where_a_late_answer_waited) {
	const request_timeline broken = read("r3", { { "a", { "ms=1 event=send request=r3 endpoint=e9", "ms=30 event=attempt_failed request=r3 endpoint=e9 reason=connection_lost took_ms=29", "ms=30 event=request_finished request=r3 verdict=may_have_run reason=connection_lost sends=1 took_ms=30" } } });
	EXPECT_TRUE(contains(broken.get_cause(), "The last attempt, at endpoint e9, ended by connection_lost.")) << broken.get_cause();
	const request_timeline late = read("r4", { { "a", { "ms=1 event=stage_done request=r4 stage=1 pool=search took_ms=1200", "ms=2 event=first_event request=r4 endpoint=e1 took_ms=90", "ms=30 event=request_finished request=r4 verdict=completed sends=1 took_ms=1500" } } });
	EXPECT_EQ(late.get_cause(), "Answered in full after 1500 ms and 1 sends. The longest wait was 1200 ms, for stage 1 at pool search.");
}

TEST(request_story, a_request_without_an_end_points_to_the_node_that_went) {
	const request_timeline restarted = read("r5", { { "a", { "ms=1 event=started vm=a wall_ms=1000", "ms=100 event=send request=r5 endpoint=e1", "ms=1500 event=started vm=a wall_ms=2500" } } });
	EXPECT_EQ(restarted.get_cause(), "No end is logged: node a ended and started again while it had the request.");
	const request_timeline dropped = read("r6", { { "a", { "ms=100 event=send request=r6 endpoint=e1" } } });
	EXPECT_TRUE(contains(dropped.get_cause(), "No end is logged")) << dropped.get_cause();
	const request_timeline unknown = read("r7", make_logs());
	EXPECT_FALSE(unknown.is_known());
	EXPECT_TRUE(contains(unknown.get_cause(), "No line names the request"));
}

} // namespace calicoscale
