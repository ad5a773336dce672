/*
 * calicoscale: endpoint_restart_test.cpp
 * Endpoints that restart under the same name: the directory, reports of other nodes, and the prompt caches of engines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/engine_view.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant at(int p_ms) {
	return instant(seconds(1000) + milliseconds(p_ms));
}

endpoint_listing make_start(std::uint64_t p_incarnation, bool p_leaving = false) {
	endpoint_listing listing;
	listing.vm = "e";
	listing.incarnation = p_incarnation;
	listing.pool = "encode";
	listing.address = network_address{ "10.0.0.1", 80 };
	listing.leaving = p_leaving;
	return listing;
}

using listings = std::vector<endpoint_listing>;

} // namespace

TEST(endpoint_identity, a_later_start_replaces_an_earlier_one_and_an_unknown_one_nothing) {
	EXPECT_TRUE(is_replaced_by({ "e", 1 }, { "e", 2 }));
	EXPECT_FALSE(is_replaced_by({ "e", 2 }, { "e", 2 }));
	EXPECT_FALSE(is_replaced_by({ "e", 2 }, { "e", 1 }));
	EXPECT_FALSE(is_replaced_by({ "e", 0 }, { "e", 2 }));
	EXPECT_FALSE(is_replaced_by({ "e", 1 }, { "other", 2 }));
}

TEST(endpoint_directory_restart, what_left_may_start_again_and_its_earlier_start_stays_away) {
	endpoint_directory directory;
	directory.put(make_start(1, true));
	directory.put(make_start(2));
	EXPECT_EQ(directory.get_listings(), listings{ make_start(2) });
	directory.drop("e", at(10));
	directory.put(make_start(1));
	EXPECT_TRUE(directory.get_listings().front().leaving);
}

TEST(endpoint_directory_restart, an_earlier_start_that_is_read_late_changes_nothing) {
	endpoint_directory directory;
	directory.put(make_start(2));
	directory.put(make_start(1, true));
	directory.replace({ make_start(1) }, at(10));
	EXPECT_EQ(directory.get_listings(), listings{ make_start(2) });
	EXPECT_TRUE(directory.take_updates().empty());
}

TEST(endpoint_directory_restart, an_entry_that_went_lets_an_earlier_start_follow) {
	endpoint_directory directory;
	endpoint_directory follower;
	for (endpoint_directory *each : { &directory, &follower }) {
		each->on_read(at(0));
		each->put(make_start(2));
	}
	// The clock of the endpoint was set back.
	const endpoint_delta reading = directory.apply_records({ endpoint_record{ "e", std::nullopt }, endpoint_record{ "e", make_start(1) } }, 0, 2, at(10));
	follower.apply_delta(reading, at(10));
	EXPECT_EQ(directory.get_listings(), listings{ make_start(1) });
	EXPECT_EQ(follower.get_listings(), listings{ make_start(1) });
}

TEST(endpoint_directory_restart, late_news_of_an_earlier_start_changes_nothing) {
	endpoint_directory directory;
	directory.put(make_start(2));
	EXPECT_FALSE(directory.mark_leaving({ "e", 1 }));
	EXPECT_FALSE(directory.mark_removed({ "e", 1 }, at(0))) << "even though this node reads nothing itself";
	EXPECT_EQ(directory.get_listings(), listings{ make_start(2) });
	EXPECT_TRUE(directory.take_updates().empty());
}

TEST(endpoint_directory_restart, news_told_before_a_restart_does_not_count_after_it) {
	endpoint_directory directory;
	directory.on_read(at(0));
	directory.put(make_start(1));
	EXPECT_FALSE(directory.mark_removed({ "e", 1 }, at(10))) << "this node reads the log itself";
	directory.put(make_start(2));
	EXPECT_TRUE(directory.drop_reported_removals(at(5000)).empty());
	EXPECT_TRUE(directory.contains_start({ "e", 2 }));
	EXPECT_FALSE(directory.contains_start({ "e", 1 }));
}

TEST(endpoint_directory_restart, news_of_a_later_start_counts_for_what_is_known) {
	endpoint_directory directory;
	directory.put(make_start(1));
	EXPECT_TRUE(directory.mark_leaving({ "e", 2 }));
	EXPECT_TRUE(directory.get_listings().front().leaving);
	EXPECT_TRUE(directory.mark_removed({ "e", 2 }, at(0)));
	EXPECT_EQ(directory.get_size(), 0U);
}

TEST(endpoint_directory_restart, peers_that_know_no_incarnation_speak_of_the_start_that_is_known) {
	endpoint_directory directory;
	directory.put(make_start(2));
	directory.put(make_start(0));
	EXPECT_EQ(directory.get_listings(), listings{ make_start(2) });
	EXPECT_TRUE(directory.mark_leaving({ "e", 0 }));
	EXPECT_EQ(directory.take_updates(), (std::vector<endpoint_identity>{ { "e", 2 } }));
	directory.put(make_start(3));
	EXPECT_FALSE(directory.get_listings().front().leaving);
}

TEST(endpoint_directory_restart, lists_that_differ_by_a_start_are_told_apart) {
	endpoint_directory one;
	endpoint_directory other;
	one.put(make_start(1));
	other.put(make_start(2));
	const endpoint_delta reading = one.apply_records({}, 0, 0, at(0));
	EXPECT_TRUE(one.is_like(reading));
	EXPECT_FALSE(other.is_like(reading));
	EXPECT_NE(endpoint_directory().get_listed_starts(), 0U) << "0 stands for a reader that does not support incarnations";
}

TEST(endpoint_directory_restart, an_entry_kept_over_an_outage_is_replaced_by_a_later_start) {
	endpoint_directory directory;
	directory.on_read(at(0));
	directory.put(make_start(1));
	directory.on_read(at(6000));
	directory.drop("e", at(6000));
	directory.put(make_start(2));
	directory.tick(at(8100));
	EXPECT_EQ(directory.get_listings(), listings{ make_start(2) });
	EXPECT_TRUE(directory.take_removed().empty());
}

TEST(engine_view_restart, an_engine_that_started_again_has_read_nothing_and_is_as_fast_as_any) {
	const endpoint_identity earlier{ "e", 1 };
	const endpoint_identity later{ "e", 2 };
	const std::vector<prompt_link> prompt{ { 11, 8000 }, { 12, 100 } };
	engine_view view;
	view.set_start(earlier);
	view.on_sent(earlier, prompt, at(0));
	for (int i = 0; i < 8; i++) {
		view.on_first_event(earlier, view.predict(earlier, prompt, at(i)), seconds(2), at(i));
	}
	const duration typical = view.predict({ "other", 1 }, prompt, at(10)).reading;
	EXPECT_EQ(view.predict(earlier, prompt, at(10)).unread_shared, 0U);
	view.set_start(later);
	const engine_prediction after_restart = view.predict(later, prompt, at(10));
	EXPECT_EQ(after_restart.unread_shared, 8000U);
	EXPECT_EQ(after_restart.wait, duration::zero());
	EXPECT_EQ(after_restart.reading, typical);
}

TEST(engine_view_restart, what_is_told_late_of_the_earlier_start_is_ignored) {
	const endpoint_identity earlier{ "e", 1 };
	const endpoint_identity later{ "e", 2 };
	const std::vector<prompt_link> prompt{ { 11, 8000 }, { 12, 100 } };
	engine_view view;
	view.set_start(later);
	const engine_prediction predicted = view.predict(later, prompt, at(0));
	view.on_sent(earlier, prompt, at(0));
	view.on_first_event(earlier, predicted, seconds(9), at(0));
	EXPECT_EQ(view.predict(earlier, prompt, at(10)).unread_shared, 8000U) << "nothing is stored about the earlier start";
	EXPECT_EQ(view.predict(later, prompt, at(10)).unread_shared, 8000U);
	EXPECT_EQ(view.predict(later, prompt, at(10)).reading, predicted.reading);
	view.set_start(earlier);
	view.on_sent(later, prompt, at(20));
	EXPECT_EQ(view.predict(later, prompt, at(30)).unread_shared, 0U);
}

} // namespace calicoscale
