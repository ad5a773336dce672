/*
 * calicoscale: crash_fleet_test.cpp
 * Tests in virtual time how fleets of different sizes block a part of prompts that crashes endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/random_source.h"
#include "servers/gateway/crash_memory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const request_fingerprint BAD = make_part_fingerprint("bad0bad0");
const request_fingerprint COMMON = make_part_fingerprint("c0330c03");

/** Wait for the announcements of competing trials, as nodes do. */
constexpr duration TRIAL_WAIT = milliseconds(250);
/** Longest time of a record from a node to a hub, or from a hub to a node. */
constexpr duration MAX_HOP = milliseconds(60);
/** Time from the start of a run until its endpoint crashes. */
constexpr duration CRASH_AFTER = milliseconds(100);
constexpr duration ANSWER_TIME = milliseconds(1500);
constexpr duration PAUSE = milliseconds(100);
constexpr duration BLOCKING_DELAY = seconds(3);
constexpr duration SOUND_DELAY = seconds(6);
constexpr duration LENGTH = seconds(20);
constexpr std::size_t MAX_LATE_SENDS = 3;

/** Nodes whose records pass one hub. Each bad request has the bad part, and a sound part that the sound requests have too. */
class crash_fleet {
	std::vector<crash_memory> _nodes;
	crash_memory _hub;
	std::multimap<instant, std::function<void()>> _queue;
	random_source _random;
	instant _now{ std::chrono::hours(1) };
	std::uint64_t _next_endpoint = 1;
	bool _is_common_served;

	void _after(duration p_time, std::function<void()> p_hook) { _queue.emplace(_now + p_time, std::move(p_hook)); }

	duration _get_hop() { return from_seconds(_random.get_unit() * to_seconds(MAX_HOP)); }

	void _publish(std::size_t p_node, const crash_record &p_record) {
		if (!_nodes[p_node].take(p_record, _now)) {
			return;
		}
		records++;
		_after(_get_hop(), [this, p_record] {
			if (!_hub.take(p_record, _now)) {
				return;
			}
			for (crash_memory &node : _nodes) {
				_after(_get_hop(), [this, &node, p_record] { node.take(p_record, _now); });
			}
		});
	}

	void _publish_all(std::size_t p_node, crash_event p_event, const std::vector<request_fingerprint> &p_parts, std::uint64_t p_subject) {
		for (const request_fingerprint &part : p_parts) {
			_publish(p_node, crash_record{ p_event, part, p_subject, _now });
		}
	}

	std::vector<request_fingerprint> _find_on_trial(std::size_t p_node, std::vector<request_fingerprint> p_parts) const {
		std::erase_if(p_parts, [this, p_node](const request_fingerprint &p_part) { return _nodes[p_node].judge(p_part, _now).standing != crash_state::ON_TRIAL; });
		return p_parts;
	}

	/** Sends a request if its parts allow it; the hook is called when it is sent. */
	void _ask(std::size_t p_node, const std::vector<request_fingerprint> &p_parts, const std::function<void(std::uint64_t)> &p_send) {
		std::vector<crash_verdict> verdicts;
		for (const request_fingerprint &part : p_parts) {
			verdicts.push_back(_nodes[p_node].judge(part, _now));
		}
		const crash_verdict verdict = combine_verdicts(verdicts);
		if (verdict.standing == crash_state::BLOCKED) {
			return;
		}
		if (verdict.standing != crash_state::ON_TRIAL) {
			p_send(0);
			return;
		}
		const std::vector<request_fingerprint> suspects = _find_on_trial(p_node, p_parts);
		const std::uint64_t trial = crash_memory::mark_sole_suspect(_random.get_bits(), suspects.size() == 1);
		_publish_all(p_node, crash_event::TRIAL_REQUESTED, suspects, trial);
		_after(TRIAL_WAIT, [this, p_node, suspects, trial, p_send] {
			const bool may_send = std::all_of(suspects.begin(), suspects.end(), [this, p_node, trial](const request_fingerprint &p_part) { return _nodes[p_node].may_send_trial(p_part, trial, _now); });
			_publish_all(p_node, may_send ? crash_event::TRIAL_SENT : crash_event::TRIAL_DROPPED, suspects, trial);
			if (may_send) {
				p_send(trial);
			}
		});
	}

	void _send_bad(std::size_t p_node) {
		const std::vector<request_fingerprint> parts{ COMMON, BAD };
		_ask(p_node, parts, [this, p_node, parts](std::uint64_t p_trial) {
			bad_sent_at.push_back(_now);
			_after(CRASH_AFTER, [this, p_node, parts, p_trial] {
				crashed_at.push_back(_now);
				_publish_all(p_node, crash_event::CRASHED_ENDPOINT, parts, _next_endpoint++);
				if (p_trial != 0) {
					_publish_all(p_node, crash_event::TRIAL_ENDED, parts, p_trial);
				}
			});
		});
	}

	void _send_sound(std::size_t p_node) {
		const bool is_late = crashed_at.size() >= crash_memory::CRASHES_TO_TRY_PART && _now > crashed_at[crash_memory::CRASHES_TO_TRY_PART - 1] + SOUND_DELAY;
		sound += is_late ? 1 : 0;
		_ask(p_node, { COMMON }, [this, p_node, is_late](std::uint64_t) {
			sound_sent += is_late ? 1 : 0;
			_after(ANSWER_TIME, [this, p_node] {
				if (_nodes[p_node].count_crashes(COMMON) > 0) {
					_publish(p_node, crash_record{ crash_event::SERVED, COMMON, 0, _now });
				}
			});
		});
	}

public:
	std::vector<instant> bad_sent_at;
	std::vector<instant> crashed_at;
	std::size_t sound = 0;
	std::size_t sound_sent = 0;
	std::size_t records = 0;

	/** @param p_is_common_served whether sound requests arrive before the part is blocked; otherwise they arrive afterwards only. */
	crash_fleet(std::size_t p_nodes, bool p_is_common_served) :
			_nodes(p_nodes), _random(p_nodes), _is_common_served(p_is_common_served) {}

	void play() {
		const instant end = _now + LENGTH;
		for (duration at = duration::zero(); at < LENGTH; at += PAUSE) {
			_after(at, [this] { _send_bad(_random.get_bits() % _nodes.size()); });
			if (_is_common_served || at > LENGTH / 3) {
				_after(at + PAUSE / 2, [this] { _send_sound(_random.get_bits() % _nodes.size()); });
			}
		}
		while (!_queue.empty() && _queue.begin()->first < end) {
			_now = _queue.begin()->first;
			const std::function<void()> hook = std::move(_queue.begin()->second);
			_queue.erase(_queue.begin());
			hook();
		}
	}

	std::size_t count_late_sends() const {
		const instant blocked_from = crashed_at.at(crash_memory::CRASHES_TO_TRY_PART - 1) + BLOCKING_DELAY;
		return static_cast<std::size_t>(std::count_if(bad_sent_at.begin(), bad_sent_at.end(), [blocked_from](instant p_at) { return p_at > blocked_from; }));
	}
};

class crash_fleet_test : public ::testing::TestWithParam<std::size_t> {};

} // namespace

TEST_P(crash_fleet_test, a_part_that_crashes_endpoints_is_blocked_and_a_common_one_is_not) {
	crash_fleet fleet(GetParam(), true);
	fleet.play();
	EXPECT_LE(fleet.count_late_sends(), MAX_LATE_SENDS) << fleet.crashed_at.size() << " crashes";
	EXPECT_GE(static_cast<double>(fleet.sound_sent), 0.9 * static_cast<double>(fleet.sound)) << fleet.sound_sent << " of " << fleet.sound;
	EXPECT_GT(fleet.sound, 20U);
	EXPECT_LT(fleet.records, 40 * fleet.crashed_at.size()) << "records of " << fleet.crashed_at.size() << " crashes";
}

TEST_P(crash_fleet_test, a_common_part_that_nobody_was_served_with_meanwhile_is_cleared_by_its_own_trial) {
	crash_fleet fleet(GetParam(), false);
	fleet.play();
	EXPECT_LE(fleet.count_late_sends(), MAX_LATE_SENDS) << fleet.crashed_at.size() << " crashes";
	EXPECT_GE(static_cast<double>(fleet.sound_sent), 0.8 * static_cast<double>(fleet.sound)) << fleet.sound_sent << " of " << fleet.sound;
}

INSTANTIATE_TEST_SUITE_P(sizes, crash_fleet_test, ::testing::Values(1, 9, 90, 410, 986));

} // namespace calicoscale
