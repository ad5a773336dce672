/*
 * calicoscale: crash_memory_test.cpp
 * Crash events of requests that were running on endpoints that crashed, and their form in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/crash_archive.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant START{ std::chrono::hours(1) };

instant at(int p_seconds) {
	return START + seconds(p_seconds);
}

request_fingerprint make_run(std::uint64_t p_number) {
	return request_fingerprint{ p_number % 7, half_digest{ p_number, ~p_number } };
}

const request_fingerprint RUN = make_run(1);

crash_record make_crash(std::uint64_t p_endpoint, instant p_at) {
	return crash_record{ crash_event::CRASHED_ENDPOINT, RUN, p_endpoint, p_at };
}

crash_record make_trial(crash_event p_news, std::uint64_t p_trial, instant p_at) {
	return crash_record{ p_news, RUN, p_trial, p_at };
}

/** Returns a memory in which three endpoints crashed while they ran RUN. */
crash_memory make_memory_with_crashes() {
	crash_memory memory;
	for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++) {
		memory.take(make_crash(endpoint, START), START);
	}
	return memory;
}

} // namespace

TEST(crash_memory, three_endpoints_put_a_request_on_trial_and_the_same_one_told_again_does_not) {
	crash_memory memory;
	EXPECT_EQ(memory.judge(RUN, START).standing, crash_state::FREE);
	EXPECT_TRUE(memory.take(make_crash(1, START), START));
	EXPECT_FALSE(memory.take(make_crash(1, at(1)), at(1))) << "another node reports the same crash";
	EXPECT_EQ(memory.judge(RUN, START).standing, crash_state::SUSPECT);
	memory.take(make_crash(2, START), START);
	EXPECT_EQ(memory.judge(RUN, START).standing, crash_state::SUSPECT);
	memory.take(make_crash(3, START), START);
	EXPECT_EQ(memory.judge(RUN, START).standing, crash_state::ON_TRIAL);
	EXPECT_EQ(memory.judge(make_run(8), START).standing, crash_state::FREE) << "another request to the same target";
}

TEST(crash_memory, one_trial_at_a_time_and_two_in_all) {
	crash_memory memory = make_memory_with_crashes();
	memory.take(make_trial(crash_event::TRIAL_REQUESTED, 5, at(1)), at(1));
	EXPECT_EQ(memory.judge(RUN, at(1)).standing, crash_state::BLOCKED);
	EXPECT_LE(memory.judge(RUN, at(1)).retry_after, duration(seconds(1)));
	EXPECT_TRUE(memory.may_send_trial(RUN, 5, at(1)));
	memory.take(make_trial(crash_event::TRIAL_SENT, 5, at(1)), at(1));
	EXPECT_FALSE(memory.may_send_trial(RUN, 6, at(2))) << "while the first trial is running";
	memory.take(make_crash(4, at(2)), at(2));
	memory.take(make_trial(crash_event::TRIAL_ENDED, 5, at(2)), at(2));
	EXPECT_EQ(memory.judge(RUN, at(2)).standing, crash_state::ON_TRIAL);
	memory.take(make_trial(crash_event::TRIAL_SENT, 6, at(3)), at(3));
	memory.take(make_trial(crash_event::TRIAL_ENDED, 6, at(4)), at(4));
	const crash_verdict verdict = memory.judge(RUN, at(4));
	EXPECT_EQ(verdict.standing, crash_state::BLOCKED);
	EXPECT_EQ(verdict.retry_after, crash_memory::LIFETIME) << "the state does not change earlier";
	EXPECT_FALSE(memory.may_send_trial(RUN, 7, at(4)));
}

TEST(crash_memory, of_two_trials_asked_at_once_the_lower_id_is_sent) {
	crash_memory memory = make_memory_with_crashes();
	memory.take(make_trial(crash_event::TRIAL_REQUESTED, 9, at(1)), at(1));
	memory.take(make_trial(crash_event::TRIAL_REQUESTED, 4, at(1)), at(1));
	EXPECT_TRUE(memory.may_send_trial(RUN, 4, at(1)));
	EXPECT_FALSE(memory.may_send_trial(RUN, 9, at(1)));
	memory.take(make_trial(crash_event::TRIAL_DROPPED, 9, at(1)), at(1));
	EXPECT_EQ(memory.judge(RUN, at(1)).trials, 0U) << "a dropped trial does not count";
}

TEST(crash_memory, a_trial_of_a_node_that_is_lost_does_not_last) {
	crash_memory memory = make_memory_with_crashes();
	memory.take(make_trial(crash_event::TRIAL_SENT, 5, at(1)), at(1));
	EXPECT_EQ(memory.judge(RUN, at(10)).standing, crash_state::BLOCKED);
	EXPECT_EQ(memory.judge(RUN, at(17)).standing, crash_state::ON_TRIAL);
	EXPECT_EQ(memory.judge(RUN, at(17)).trials, 1U) << "but the trial counts";
}

TEST(crash_memory, a_run_that_ends_well_clears_and_late_news_of_before_change_nothing) {
	crash_memory memory = make_memory_with_crashes();
	memory.take(make_trial(crash_event::TRIAL_SENT, 5, at(1)), at(1));
	EXPECT_TRUE(memory.take(crash_record{ crash_event::SERVED, RUN, 0, at(2) }, at(2)));
	EXPECT_EQ(memory.judge(RUN, at(2)).standing, crash_state::FREE);
	EXPECT_FALSE(memory.take(make_crash(7, at(1)), at(3)));
	EXPECT_EQ(memory.judge(RUN, at(3)).standing, crash_state::FREE);
	EXPECT_TRUE(memory.take(make_crash(8, at(4)), at(4)));
	EXPECT_EQ(memory.judge(RUN, at(4)).standing, crash_state::SUSPECT);
	memory.expire(at(4) + crash_memory::LIFETIME + seconds(1));
	EXPECT_EQ(memory.get_size(), 0U);
	EXPECT_FALSE(memory.knows_target(RUN.place));
}

TEST(crash_memory, ends_some_time_after_the_newest_crash) {
	crash_memory memory = make_memory_with_crashes();
	memory.expire(START + crash_memory::LIFETIME);
	EXPECT_EQ(memory.judge(RUN, START + crash_memory::LIFETIME).standing, crash_state::ON_TRIAL);
	memory.expire(START + crash_memory::LIFETIME + seconds(1));
	EXPECT_EQ(memory.judge(RUN, START + crash_memory::LIFETIME + seconds(1)).standing, crash_state::FREE);
	EXPECT_FALSE(memory.take(make_crash(9, START), START + crash_memory::LIFETIME + seconds(1))) << "events older than LIFETIME are ignored";
}

TEST(crash_memory, ever_new_contents_neither_fill_it_nor_wash_out_what_is_held_back) {
	crash_memory memory = make_memory_with_crashes();
	for (std::uint64_t number = 100; number < 100 + 3 * crash_memory::MAX_ENTRIES; number++) {
		const instant now = START + milliseconds(number);
		memory.take(crash_record{ crash_event::CRASHED_ENDPOINT, make_run(number), number, now }, now);
	}
	EXPECT_LE(memory.get_size(), crash_memory::MAX_ENTRIES);
	EXPECT_EQ(memory.judge(RUN, at(20)).standing, crash_state::ON_TRIAL);
	const std::vector<crash_record> records = memory.get_records(10);
	ASSERT_EQ(records.size(), 10U);
	EXPECT_EQ(records.front().run, RUN) << "a node that has just started first receives the requests with the most crashes";
}

RC_GTEST_PROP(crash_memory, news_in_any_order_and_told_twice_leave_the_same_state, ()) {
	std::vector<crash_record> news;
	const std::size_t count = *rc::gen::inRange<std::size_t>(1, 12);
	for (std::size_t i = 0; i < count; i++) {
		const instant when = at(*rc::gen::inRange(0, 5));
		const std::uint64_t subject = *rc::gen::inRange<std::uint64_t>(1, 5);
		if (*rc::gen::arbitrary<bool>()) {
			news.push_back(make_crash(subject, at(static_cast<int>(subject))));
		} else {
			news.push_back(make_trial(*rc::gen::element(crash_event::TRIAL_REQUESTED, crash_event::TRIAL_SENT, crash_event::TRIAL_ENDED), subject, when));
		}
	}
	crash_memory one;
	crash_memory other;
	for (const crash_record &record : news) {
		one.take(record, at(6));
	}
	std::vector<crash_record> reordered = news;
	std::reverse(reordered.begin(), reordered.end());
	reordered.insert(reordered.end(), news.begin(), news.end());
	for (const crash_record &record : reordered) {
		other.take(record, at(6));
	}
	RC_ASSERT(one.judge(RUN, at(60)).standing == other.judge(RUN, at(60)).standing);
	RC_ASSERT(one.judge(RUN, at(60)).crashes == other.judge(RUN, at(60)).crashes);
	RC_ASSERT(one.judge(RUN, at(60)).trials == other.judge(RUN, at(60)).trials);
}

TEST(crash_archive, what_is_written_is_read_by_a_node_that_started_later) {
	crash_memory memory = make_memory_with_crashes();
	memory.take(make_trial(crash_event::TRIAL_ENDED, 0xabcdef, at(1)), at(1));
	const std::string key = write_crash_key(RUN);
	const std::string value = write_crash_value(memory.get_records_of(RUN), moment{ at(2), 1'000'000 });
	const instant later_start{ std::chrono::hours(9) };
	crash_memory later;
	for (const crash_record &record : read_crash_records(key, value, moment{ later_start, 1'010'000 })) {
		EXPECT_EQ(record.run, RUN);
		EXPECT_LE(record.at, later_start - seconds(10));
		later.take(record, later_start);
	}
	EXPECT_EQ(later.judge(RUN, later_start).crashes, 3U);
	EXPECT_EQ(later.judge(RUN, later_start).trials, 1U);
}

TEST(crash_archive, what_others_left_there_is_passed_over) {
	const std::string key = write_crash_key(RUN);
	const moment now{ START, 1'000'000 };
	EXPECT_TRUE(read_crash_records("short", "ended_endpoint:0000000000000001:5", now).empty());
	for (const char *value : { "", " ", "ended_endpoint", "ended_endpoint:0000000000000001", "ended_endpoint:0000000000000001:", "ended_endpoint:x:5", "other:0000000000000001:5", "ended_endpoint:0000000000000001:-5", "ended_endpoint:0000000000000001:99999999999999999999" }) {
		EXPECT_TRUE(read_crash_records(key, value, now).empty()) << value;
	}
	const std::vector<crash_record> ahead = read_crash_records(key, "x ended_endpoint:0000000000000001:2000000", now);
	ASSERT_EQ(ahead.size(), 1U);
	EXPECT_EQ(ahead.front().at, START) << "the wall clock of the writer is ahead";
}

namespace {

const request_fingerprint PART = make_part_fingerprint("5c1e07a2");

/** Applies crashes of distinct endpoints under a part, and sends a trial that crashes one more. */
class part_history {
	crash_memory _memory;
	instant _now{ std::chrono::hours(1) };
	std::uint64_t _next = 2;

public:
	void crash(std::size_t p_times) {
		for (std::size_t i = 0; i < p_times; i++) {
			_now += std::chrono::milliseconds(100);
			_memory.take(crash_record{ crash_event::CRASHED_ENDPOINT, PART, _next += 2, _now }, _now);
		}
	}

	/** Returns whether the trial was sent. */
	bool try_once(bool p_is_sole) {
		const std::uint64_t trial = crash_memory::mark_sole_suspect(_next += 2, p_is_sole);
		_memory.take(crash_record{ crash_event::TRIAL_REQUESTED, PART, trial, _now }, _now);
		const bool may_send = _memory.may_send_trial(PART, trial, _now);
		_memory.take(crash_record{ may_send ? crash_event::TRIAL_SENT : crash_event::TRIAL_DROPPED, PART, trial, _now }, _now);
		if (may_send) {
			crash(1);
			_memory.take(crash_record{ crash_event::TRIAL_ENDED, PART, trial, _now }, _now);
		}
		return may_send;
	}

	void serve() {
		_now += std::chrono::milliseconds(1);
		_memory.take(crash_record{ crash_event::SERVED, PART, 0, _now }, _now);
	}

	crash_verdict judge() const { return _memory.judge(PART, _now); }
};

} // namespace

TEST(crash_memory, a_part_is_on_trial_after_five_crashes_without_a_complete_answer_between) {
	part_history history;
	history.crash(4);
	history.serve();
	history.crash(4);
	EXPECT_EQ(history.judge().standing, crash_state::SUSPECT);
	history.crash(1);
	EXPECT_EQ(history.judge().standing, crash_state::ON_TRIAL);
	history.serve();
	EXPECT_EQ(history.judge().standing, crash_state::FREE);
}

TEST(crash_memory, a_part_that_is_the_only_suspect_is_blocked_after_two_trials) {
	part_history history;
	history.crash(5);
	EXPECT_TRUE(history.try_once(true));
	EXPECT_TRUE(history.try_once(false));
	EXPECT_EQ(history.judge().standing, crash_state::BLOCKED);
	EXPECT_FALSE(history.try_once(true));
	EXPECT_GT(history.judge().retry_after, duration(std::chrono::minutes(9)));
}

TEST(crash_memory, a_part_that_was_tried_beside_others_only_gets_one_trial_by_itself) {
	part_history history;
	history.crash(5);
	EXPECT_TRUE(history.try_once(false));
	EXPECT_TRUE(history.try_once(false));
	EXPECT_EQ(history.judge().standing, crash_state::ON_TRIAL);
	EXPECT_TRUE(history.judge().needs_sole_suspect);
	EXPECT_FALSE(history.try_once(false));
	EXPECT_TRUE(history.try_once(true));
	EXPECT_EQ(history.judge().standing, crash_state::BLOCKED);
	EXPECT_FALSE(history.try_once(true));
}

TEST(crash_memory, the_strictest_verdict_on_a_request_and_its_parts_counts) {
	const crash_verdict suspect{ crash_state::SUSPECT, 1, 0, duration::zero() };
	const crash_verdict on_trial{ crash_state::ON_TRIAL, 5, 0, duration::zero() };
	const crash_verdict sole{ crash_state::ON_TRIAL, 7, 2, duration::zero(), true };
	const crash_verdict blocked{ crash_state::BLOCKED, 8, 3, std::chrono::minutes(5) };
	EXPECT_EQ(combine_verdicts({}).standing, crash_state::FREE);
	EXPECT_EQ(combine_verdicts({ on_trial, suspect }).standing, crash_state::ON_TRIAL);
	EXPECT_EQ(combine_verdicts({ suspect, blocked, on_trial }).standing, crash_state::BLOCKED);
	EXPECT_EQ(combine_verdicts({ blocked, on_trial }).retry_after, duration(std::chrono::minutes(5)));
	EXPECT_EQ(combine_verdicts({ sole }).standing, crash_state::ON_TRIAL);
	EXPECT_EQ(combine_verdicts({ sole, suspect }).standing, crash_state::ON_TRIAL);
	EXPECT_EQ(combine_verdicts({ sole, on_trial }).standing, crash_state::BLOCKED);
}

TEST(crash_memory, parts_and_requests_have_different_fingerprints) {
	EXPECT_TRUE(is_part(PART));
	EXPECT_FALSE(is_part(make_fingerprint(request_content{ "POST", "h.example", "/a", "hearth", "5c1e07a2", {} })));
	EXPECT_NE(PART, make_part_fingerprint("5c1e07a3"));
}

} // namespace calicoscale
