/*
 * calicoscale: lost_runs_test.cpp
 * Which runs are reported as possible causes of a crash of their endpoint, and when two requests have the same fingerprint.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/interrupted_runs.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant START{ seconds(1000) };
const endpoint_identity ENGINE{ "i-1", 5 };

request_fingerprint make_run(std::uint64_t p_number) {
	return request_fingerprint{ p_number, half_digest{ p_number, p_number } };
}

bool is_listed(const endpoint_identity &) {
	return true;
}

bool is_not_listed(const endpoint_identity &) {
	return false;
}

} // namespace

TEST(request_fingerprint_test, content_and_customer_make_a_request_one) {
	const request_content content{ "POST", "h.example", "/a?b", "hearth", "body", {} };
	EXPECT_EQ(make_fingerprint(content), make_fingerprint(content));
	for (const request_content &other : { request_content{ "GET", "h.example", "/a?b", "hearth", "body", {} }, request_content{ "POST", "h.example", "/a?c", "hearth", "body", {} }, request_content{ "POST", "h.example", "/a?b", "home", "body", {} }, request_content{ "POST", "h.example", "/a?b", "hearth", "bodies", {} } }) {
		EXPECT_NE(make_fingerprint(content).content, make_fingerprint(other).content);
	}
	const request_fingerprint longer_customer = make_fingerprint(request_content{ "POST", "h.example", "/a?b", "hearthb", "ody", {} });
	EXPECT_NE(make_fingerprint(content).content, longer_customer.content) << "the boundaries between fields are part of the fingerprint";
}

TEST(lost_runs_test, runs_are_blamed_when_nobody_listens_any_more) {
	interrupted_runs lost;
	EXPECT_TRUE(lost.add(ENGINE, make_run(1), START));
	EXPECT_FALSE(lost.add(ENGINE, make_run(2), START)) << "a probe is running already";
	EXPECT_EQ(lost.on_probed(ENGINE, probe_end::REFUSED), (std::vector<request_fingerprint>{ make_run(1), make_run(2) }));
	EXPECT_TRUE(lost.is_empty());
}

TEST(lost_runs_test, a_connection_that_ends_alone_blames_nobody) {
	interrupted_runs lost;
	lost.add(ENGINE, make_run(1), START);
	EXPECT_TRUE(lost.on_probed(ENGINE, probe_end::ACCEPTED).empty());
	EXPECT_TRUE(lost.take_ended(is_not_listed, START).empty()) << "an entry that is removed later has another cause";
}

TEST(lost_runs_test, where_nothing_comes_back_the_entry_tells) {
	interrupted_runs lost;
	lost.add(ENGINE, make_run(1), START);
	EXPECT_TRUE(lost.on_probed(ENGINE, probe_end::SILENT).empty());
	EXPECT_TRUE(lost.take_ended(is_listed, START + seconds(2)).empty());
	const std::vector<crashed_endpoint> ended = lost.take_ended(is_not_listed, START + seconds(3));
	ASSERT_EQ(ended.size(), 1U);
	EXPECT_EQ(ended.front().endpoint, ENGINE);
	EXPECT_EQ(ended.front().lost_at, START);
}

TEST(lost_runs_test, a_path_that_stays_cut_blames_nobody) {
	interrupted_runs lost;
	lost.add(ENGINE, make_run(1), START);
	lost.on_probed(ENGINE, probe_end::SILENT);
	EXPECT_TRUE(lost.take_ended(is_listed, START + seconds(7)).empty());
	EXPECT_TRUE(lost.take_ended(is_not_listed, START + seconds(8)).empty());
	EXPECT_TRUE(lost.is_empty());
}

} // namespace calicoscale
