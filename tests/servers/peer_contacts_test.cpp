/*
 * calicoscale: peer_contacts_test.cpp
 * Intervals of heartbeats, the updates in them, and when a peer counts as unresponsive.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/peer_contacts.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + milliseconds(p_milliseconds));
}

/** Counts the heartbeats to one peer and the updates in them over ten seconds, with a check every 200 ms. */
std::pair<int, std::size_t> count_sent(peer_contacts &r_contacts, bool p_at_short_interval) {
	int heartbeats = 0;
	std::size_t updates = 0;
	for (int now = 0; now < 10000; now += 200) {
		if (r_contacts.is_due("n", p_at_short_interval, true, at(now))) {
			heartbeats++;
			updates += r_contacts.on_sent("n", p_at_short_interval, true, at(now)).size();
		}
	}
	return { heartbeats, updates };
}

bool is_never_obsolete(const endpoint_update &) {
	return false;
}

} // namespace

TEST(peer_contacts, nodes_that_dispatch_nothing_talk_seldom_and_tell_each_news_once) {
	peer_contacts frequent;
	peer_contacts small;
	for (peer_contacts *contacts : { &frequent, &small }) {
		for (int i = 0; i < 100; i++) {
			contacts->add_update(endpoint_update{ { "e" + std::to_string(i), 1 }, true }, at(0));
		}
	}
	EXPECT_EQ(count_sent(frequent, true), (std::pair<int, std::size_t>(50, 100)));
	EXPECT_EQ(count_sent(small, false), (std::pair<int, std::size_t>(10, 100)));
}

TEST(peer_contacts, news_do_not_wait_for_the_next_beat) {
	peer_contacts contacts;
	contacts.on_sent("n", false, true, at(0));
	EXPECT_FALSE(contacts.is_due("n", false, true, at(200)));
	contacts.add_update(endpoint_update{ { "e", 1 }, false }, at(200));
	EXPECT_TRUE(contacts.is_due("n", false, true, at(200)));
	EXPECT_EQ(contacts.on_sent("n", false, true, at(200)).size(), 1U);
	EXPECT_FALSE(contacts.is_due("n", false, true, at(400)));
}

TEST(peer_contacts, a_peer_that_is_linked_anew_is_told_what_is_recent_and_still_true) {
	peer_contacts contacts;
	contacts.add_update(endpoint_update{ { "leaving", 1 }, false }, at(0));
	contacts.add_update(endpoint_update{ { "gone", 1 }, true }, at(0));
	contacts.add_update(endpoint_update{ { "back", 1 }, true }, at(0));
	EXPECT_EQ(contacts.on_sent("n", false, true, at(0)).size(), 3U);
	contacts.on_linked("n");
	contacts.expire_updates([](const endpoint_update &p_update) { return p_update.endpoint.vm == "back"; }, at(1000));
	EXPECT_EQ(contacts.on_sent("n", false, true, at(1000)).size(), 2U);
	contacts.on_linked("n");
	contacts.expire_updates(is_never_obsolete, at(6000));
	const std::vector<endpoint_update> sent = contacts.on_sent("n", false, true, at(6000));
	ASSERT_EQ(sent.size(), 1U) << "by then the store lists the endpoint as leaving";
	EXPECT_EQ(sent[0].endpoint.vm, "gone");
	contacts.on_linked("n");
	contacts.expire_updates(is_never_obsolete, at(21000));
	EXPECT_TRUE(contacts.on_sent("n", false, true, at(21000)).empty());
}

TEST(peer_contacts, a_peer_that_does_not_tell_when_it_beats_counts_as_one_that_beats_often) {
	peer_contacts contacts;
	contacts.on_contact("of an older version", duration::zero(), at(0));
	contacts.on_contact("absurd", std::chrono::hours(1), at(0));
	EXPECT_TRUE(contacts.is_responsive("of an older version", at(740)));
	EXPECT_FALSE(contacts.is_responsive("absurd", at(3150)));
}

TEST(peer_contacts, a_peer_is_lost_after_three_of_its_own_beats) {
	peer_contacts contacts;
	EXPECT_FALSE(contacts.is_responsive("n", at(0)));
	contacts.on_contact("n", peer_contacts::get_interval(true), at(0));
	contacts.on_contact("small", peer_contacts::get_interval(false), at(0));
	EXPECT_TRUE(contacts.is_responsive("n", at(740)));
	EXPECT_FALSE(contacts.is_responsive("n", at(750)));
	EXPECT_TRUE(contacts.is_responsive("small", at(3100)));
	EXPECT_FALSE(contacts.is_responsive("small", at(3150)));
	EXPECT_TRUE(contacts.get_silent_peers(at(2500)).empty());
	EXPECT_EQ(contacts.get_silent_peers(at(2600)), std::vector<std::string>{ "n" });
}

TEST(peer_contacts, a_peer_is_told_that_heartbeats_slow_before_it_could_miss_one) {
	// Guards against a longer interval that isn't announced: a stopping node then counted as failed for a quarter of a second, and the
	// work assigned to it ran twice.
	peer_contacts sender;
	peer_contacts receiver;
	sender.on_linked("receiver");
	bool was_unresponsive = false;
	for (int now = 0; now < 5000; now += 200) {
		const bool at_short_interval = now < 1000;
		was_unresponsive = was_unresponsive || (now > 0 && !receiver.is_responsive("sender", at(now)));
		if (sender.is_due("receiver", at_short_interval, true, at(now))) {
			sender.on_sent("receiver", at_short_interval, true, at(now));
			receiver.on_contact("sender", peer_contacts::get_interval(at_short_interval), at(now));
		}
	}
	EXPECT_FALSE(was_unresponsive);
}

TEST(peer_contacts, needs_hold_for_some_heartbeats_and_end_when_they_are_taken_back) {
	peer_contacts contacts;
	contacts.on_contact("n", peer_contacts::get_interval(true), at(0));
	contacts.on_needs_reported("n", true, true, at(0));
	EXPECT_TRUE(contacts.is_wanted("n", at(3000)));
	EXPECT_EQ(contacts.get_followers(at(500)), std::vector<std::string>{ "n" });
	EXPECT_TRUE(contacts.get_followers(at(1000)).empty()) << "a silent node no longer counts as a follower";
	contacts.on_needs_reported("n", false, false, at(1100));
	EXPECT_FALSE(contacts.is_wanted("n", at(1100)));
	EXPECT_FALSE(contacts.is_relied_on("n", at(1100)));
}

} // namespace calicoscale
