/*
 * calicoscale: digest_feed_test.cpp
 * Each peer is sent each member's digest once, and again when a stable field changes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/digest_feed.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

member_digest make_digest(const std::string &p_vm, std::uint64_t p_heartbeat = 1) {
	member_digest digest;
	digest.vm = p_vm;
	digest.incarnation = 7;
	digest.heartbeat = p_heartbeat;
	digest.zone = "a";
	return digest;
}

bool is_any(const std::string &) {
	return true;
}

} // namespace

TEST(digest_feed, tells_a_fleet_of_300_once_in_bounded_messages) {
	digest_feed feed;
	for (int i = 0; i < 300; i++) {
		feed.note(make_digest("n" + std::to_string(i)));
	}
	std::size_t sent_count = 0;
	for (std::vector<std::string> next = feed.take("p", is_any); !next.empty(); next = feed.take("p", is_any)) {
		EXPECT_LE(next.size(), 64U);
		sent_count += next.size();
	}
	EXPECT_EQ(sent_count, 300U);
	// A new heartbeat number alone is no change: nothing is sent while the stable fields stay the same.
	for (int i = 0; i < 300; i++) {
		feed.note(make_digest("n" + std::to_string(i), 2));
	}
	EXPECT_TRUE(feed.take("p", is_any).empty());
}

TEST(digest_feed, tells_again_what_changed_and_all_to_a_link_made_anew) {
	digest_feed feed;
	feed.note(make_digest("n0"));
	feed.note(make_digest("n1"));
	feed.take("p", is_any);
	member_digest hub = make_digest("n1");
	hub.hub = true;
	feed.note(hub);
	EXPECT_EQ(feed.take("p", is_any), std::vector<std::string>{ "n1" });
	feed.restart("p");
	EXPECT_EQ(feed.take("p", is_any).size(), 2U);
}

TEST(digest_feed, does_not_tell_a_peer_of_itself_or_of_what_is_of_no_use_to_it) {
	digest_feed feed;
	feed.note(make_digest("p"));
	feed.note(make_digest("near"));
	feed.note(make_digest("far"));
	EXPECT_EQ(feed.take("p", [](const std::string &p_vm) { return p_vm != "far"; }), std::vector<std::string>{ "near" });
}

} // namespace calicoscale
