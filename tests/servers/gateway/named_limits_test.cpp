/*
 * calicoscale: named_limits_test.cpp
 * Limits that endpoints advertise: which limits nodes know, and what whole fleets send, in virtual time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/random_source.h"
#include "servers/gateway/endpoint_limits.h"
#include "servers/gateway/service_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

constexpr const char *POOL = "llm";
/** Time span in which an endpoint's requests are counted against its advertised limit. */
constexpr int LIMIT_SPAN_MS = 4000;
/** Time from the first answer with a limit until all nodes must keep the limit. */
constexpr int GRACE_MS = 3000;
/** Nodes that receive their list of senders at this time know each other for long when the test starts. */
constexpr int LONG_BEFORE_MS = -10000;
/** Time from a request's arrival to the head of its answer, and from an answer to the reports at other nodes. */
constexpr int ANSWER_MS = 60;
constexpr int REPORT_MS = 150;

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(p_ms);
}

std::size_t get_allowed(double p_rate) {
	return static_cast<std::size_t>(p_rate * 1.5 * LIMIT_SPAN_MS / 1000.0 + 5.0);
}

endpoint_notice make_limit_notice(double p_rate) {
	endpoint_notice notice;
	notice.limit = limit_statement::ADVERTISED;
	notice.rate_limit = p_rate;
	return notice;
}

const endpoint_identity ENDPOINT{ "e0", 1000 };

/** Nodes that all send to one endpoint, whose advertised limit the test sets. */
struct limited_fleet {
	struct answer {
		std::size_t node = 0;
		int sent_ms = 0;
		std::optional<double> rate;
	};
	struct report {
		std::size_t from = 0;
		limit_record record;
	};

	std::vector<std::string> names;
	std::vector<endpoint_limits> nodes;
	std::vector<bool> is_up;
	std::optional<double> rate; ///< Limit that the endpoint advertises now.
	std::function<bool(std::size_t, std::size_t)> receives_from = [](std::size_t, std::size_t) { return true; };
	std::multimap<int, answer> answers;
	std::multimap<int, report> pending_reports;
	std::vector<int> arrived;
	std::set<std::size_t> nodes_with_answer; ///< Nodes that have received an answer with the limit.
	std::size_t served = 0;
	random_source random{ 11 };

	explicit limited_fleet(std::size_t p_nodes, double p_rate) :
			rate(p_rate) {
		gateway_configuration configuration;
		configuration.services[POOL] = gateway_service{ POOL, true, std::nullopt, std::chrono::seconds(0), 0.0 };
		endpoint_listing listing;
		listing.vm = ENDPOINT.vm;
		listing.incarnation = ENDPOINT.incarnation;
		listing.zone = "z";
		listing.pool = POOL;
		for (std::size_t i = 0; i < p_nodes; i++) {
			names.push_back("n" + std::to_string(i));
			nodes.emplace_back(names.back(), "z", limit_sharing::RANKS);
			nodes.back().set_listings({ listing }, configuration, at_ms(LONG_BEFORE_MS));
			is_up.push_back(true);
		}
	}

	/** Sets the senders that each node knows: those that it receives messages from. */
	void set_members(int p_ms) {
		for (std::size_t i = 0; i < nodes.size(); i++) {
			std::vector<std::string> known;
			for (std::size_t other = 0; other < nodes.size(); other++) {
				if (is_up[other] && (other == i || receives_from(i, other))) {
					known.push_back(names[other]);
				}
			}
			nodes[i].set_senders(known_senders{ known, known.size() }, at_ms(p_ms));
			nodes[i].forget_old(at_ms(p_ms));
		}
	}

	void deliver_messages(int p_ms) {
		for (auto next = answers.begin(); next != answers.end() && next->first <= p_ms; next = answers.erase(next)) {
			const answer &received = next->second;
			if (!is_up[received.node]) {
				continue;
			}
			const endpoint_notice notice = received.rate ? make_limit_notice(*received.rate) : endpoint_notice();
			advertised_limits &limits = nodes[received.node].get_advertised();
			limits.on_answer(ENDPOINT, notice, true, at_ms(received.sent_ms), at_ms(p_ms));
			if (received.rate) {
				nodes_with_answer.insert(received.node);
			}
			for (const limit_record &record : limits.take_updates()) {
				pending_reports.emplace(p_ms + REPORT_MS, report{ received.node, record });
			}
		}
		for (auto next = pending_reports.begin(); next != pending_reports.end() && next->first <= p_ms; next = pending_reports.erase(next)) {
			for (std::size_t node = 0; node < nodes.size(); node++) {
				if (node != next->second.from && is_up[node] && receives_from(next->second.from, node)) {
					nodes[node].get_advertised().take(next->second.record, at_ms(p_ms));
				}
			}
		}
	}

	/** Sends requests from random nodes at a rate, from one time to another. */
	void send_load(int p_from_ms, int p_to_ms, double p_per_second) {
		for (int ms = p_from_ms; ms < p_to_ms; ms++) {
			deliver_messages(ms);
			// Large fleets don't change in these tests, so their members are set less often.
			if (ms % (nodes.size() > 100 ? 1000 : 100) == 0) {
				set_members(ms);
			}
			for (double left = p_per_second / 1000.0; left > 0.0 && random.get_unit() < left; left -= 1.0) {
				send(static_cast<std::size_t>(random.get_unit() * static_cast<double>(nodes.size())), ms);
			}
		}
	}

	void send(std::size_t p_node, int p_ms) {
		if (!is_up[p_node] || !nodes[p_node].may_send(ENDPOINT, sender_share::SHARE, at_ms(p_ms))) {
			return;
		}
		nodes[p_node].on_sent(ENDPOINT, at_ms(p_ms));
		if (nodes_with_answer.contains(p_node)) {
			arrived.push_back(p_ms);
		}
		served++;
		answers.emplace(p_ms + ANSWER_MS, answer{ p_node, p_ms, rate });
	}

	/** Returns the maximum of requests within LIMIT_SPAN_MS, since a time, from nodes that have received an answer with the limit. */
	std::size_t get_max_in_span(int p_since_ms) const {
		std::size_t max_count = 0;
		for (auto first = std::lower_bound(arrived.begin(), arrived.end(), p_since_ms); first != arrived.end(); ++first) {
			max_count = std::max(max_count, static_cast<std::size_t>(std::lower_bound(first, arrived.end(), *first + LIMIT_SPAN_MS) - first));
		}
		return max_count;
	}

	/** Starts with nodes that have known each other for long, each of which sends once before it knows the limit. */
	void begin() {
		set_members(LONG_BEFORE_MS);
		for (std::size_t node = 0; node < nodes.size(); node++) {
			send(node, 0);
		}
	}

	std::size_t count_nodes_with_limit() const {
		return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const endpoint_limits &p_node) { return p_node.get_advertised().find_rate(ENDPOINT).has_value(); }));
	}
};

} // namespace

TEST(named_limits, a_fleet_of_any_size_sends_what_an_endpoint_names_and_no_more) {
	for (const std::size_t size : { 2U, 3U, 9U, 89U, 410U }) {
		for (const double rate : { 0.3, 1.0, 1.2, 2.5, 8.0 }) {
			limited_fleet fleet(size, rate);
			const double load = 10.0 * static_cast<double>(size); // More than any slot allows.
			fleet.begin();
			fleet.send_load(1, 13000, load);
			EXPECT_LE(fleet.get_max_in_span(GRACE_MS), get_allowed(rate)) << size << " nodes, " << rate << " a second";
			const std::size_t sent_before = fleet.served;
			fleet.send_load(13000, 23000, load);
			EXPECT_LE(static_cast<double>(fleet.served - sent_before), rate * 10.0 + rate + 1.0) << size << " nodes, " << rate << " a second";
			EXPECT_GE(static_cast<double>(fleet.served - sent_before), rate * 10.0 * 0.8 - 1.0) << "the rate it accepts is used; " << size << " nodes, " << rate << " a second";
		}
	}
}

TEST(named_limits, nodes_that_stop_start_and_come_one_after_the_other_keep_a_limit_together) {
	for (const double rate : { 1.0, 1.2, 2.5 }) {
		limited_fleet fleet(9, rate);
		fleet.begin();
		for (int round = 0; round < 18; round++) {
			const std::size_t node = static_cast<std::size_t>(round) % 9;
			const int begin = 1 + round * 1500;
			fleet.is_up[node] = false;
			fleet.send_load(begin, begin + 700, 400.0);
			fleet.is_up[node] = true;
			fleet.send_load(begin + 700, begin + 1500, 400.0);
		}
		EXPECT_LE(fleet.get_max_in_span(GRACE_MS), get_allowed(rate)) << rate << " a second";
		EXPECT_GE(static_cast<double>(fleet.served), 9.0 + rate * 27.0 * 0.2) << rate << " a second";
	}
}

TEST(named_limits, two_halves_that_do_not_hear_each_other_keep_a_limit_together) {
	for (const double rate : { 0.3, 1.0, 1.2, 2.5 }) {
		limited_fleet fleet(20, rate);
		fleet.begin();
		fleet.send_load(1, 8000, 400.0);
		fleet.receives_from = [](std::size_t p_from, std::size_t p_to) { return p_from % 2 == p_to % 2; };
		fleet.send_load(8000, 20000, 400.0);
		EXPECT_LE(fleet.get_max_in_span(GRACE_MS), get_allowed(rate)) << rate << " a second";
	}
}

TEST(named_limits, a_limit_that_changes_is_followed_and_its_end_is_known_to_nodes_without_a_place) {
	limited_fleet fleet(9, 4.0);
	fleet.begin();
	fleet.send_load(1, 8000, 400.0);
	fleet.rate = 1.0;
	fleet.send_load(8000, 18000, 400.0);
	EXPECT_LE(fleet.get_max_in_span(8000 + GRACE_MS), get_allowed(1.0));
	fleet.rate = std::nullopt;
	fleet.send_load(18000, 20000, 400.0);
	EXPECT_EQ(fleet.count_nodes_with_limit(), 0U) << "the node with the slot noticed within a second and reported it";
}

TEST(named_limits, a_limit_of_zero_gets_a_request_now_and_then_which_finds_its_end) {
	limited_fleet fleet(9, 0.0);
	fleet.begin();
	fleet.send_load(1, 60000, 400.0);
	EXPECT_LE(fleet.get_max_in_span(GRACE_MS), get_allowed(0.0));
	fleet.rate = std::nullopt;
	fleet.send_load(60000, 105000, 400.0);
	EXPECT_EQ(fleet.count_nodes_with_limit(), 0U);
}

TEST(named_limits, nobody_sends_for_long_and_then_all_at_once) {
	for (const std::size_t size : { 9U, 89U }) {
		limited_fleet fleet(size, 1.0);
		fleet.begin();
		fleet.send_load(1, 5000, 50.0);
		fleet.send_load(5000, 35000, 0.0);
		fleet.send_load(35000, 50000, 50.0);
		EXPECT_LE(fleet.get_max_in_span(GRACE_MS), get_allowed(1.0)) << size << " nodes";
	}
}

TEST(named_limits, a_late_answer_of_before_neither_ends_a_limit_nor_does_older_news_bring_one_back) {
	advertised_limits limits("n");
	EXPECT_EQ(limits.on_answer(ENDPOINT, make_limit_notice(1.0), true, at_ms(0), at_ms(100)), limit_change::ADVERTISED);
	EXPECT_EQ(limits.on_answer(ENDPOINT, endpoint_notice(), true, at_ms(50), at_ms(300)), limit_change::NONE) << "its request was sent before the limit was advertised";
	EXPECT_EQ(limits.on_answer(ENDPOINT, endpoint_notice(), false, at_ms(200), at_ms(300)), limit_change::NONE) << "it may not come from the endpoint itself";
	EXPECT_EQ(limits.on_answer(ENDPOINT, endpoint_notice(), true, at_ms(200), at_ms(400)), limit_change::ENDED);
	EXPECT_EQ(limits.take(limit_record{ ENDPOINT, 1.0, at_ms(350) }, at_ms(500)), limit_change::NONE);
	EXPECT_EQ(limits.find_rate(ENDPOINT), std::nullopt);
	EXPECT_EQ(limits.take(limit_record{ ENDPOINT, 2.0, at_ms(450) }, at_ms(500)), limit_change::ADVERTISED);
	EXPECT_EQ(limits.find_rate(ENDPOINT), 2.0);
}

TEST(named_limits, another_start_of_an_endpoint_is_not_bound_by_what_the_earlier_one_named) {
	advertised_limits limits("n");
	limits.on_answer(ENDPOINT, make_limit_notice(1.0), true, at_ms(0), at_ms(100));
	EXPECT_EQ(limits.find_rate(endpoint_identity{ ENDPOINT.vm, ENDPOINT.incarnation + 1 }), std::nullopt);
}

TEST(named_limits, an_unreadable_limit_changes_nothing) {
	advertised_limits limits("n");
	endpoint_notice unreadable;
	unreadable.limit = limit_statement::UNREADABLE;
	EXPECT_EQ(limits.on_answer(ENDPOINT, unreadable, true, at_ms(0), at_ms(100)), limit_change::NONE);
	limits.on_answer(ENDPOINT, make_limit_notice(3.0), true, at_ms(0), at_ms(100));
	EXPECT_EQ(limits.on_answer(ENDPOINT, unreadable, true, at_ms(200), at_ms(300)), limit_change::NONE);
	EXPECT_EQ(limits.find_rate(ENDPOINT), 3.0);
}

TEST(named_limits, what_is_told_of_one_limit_is_bounded_however_often_it_is_named_anew) {
	advertised_limits limits("n");
	std::size_t reports = 0;
	for (int ms = 0; ms < 20000; ms += 10) {
		limits.on_answer(ENDPOINT, make_limit_notice(1.0 + ms % 7), true, at_ms(ms), at_ms(ms + 5));
		reports += limits.take_updates().size();
	}
	EXPECT_LE(reports, 41U) << "one every half second";
	EXPECT_GE(reports, 20U);
}

TEST(named_limits, the_wait_for_a_place_counts_those_who_wait_before) {
	limited_fleet fleet(1, 2.0);
	fleet.begin();
	fleet.send_load(1, 200, 0.0);
	endpoint_limits &node = fleet.nodes.front();
	node.on_sent(ENDPOINT, at_ms(200));
	node.on_sent(ENDPOINT, at_ms(200));
	EXPECT_EQ(node.predict({ ENDPOINT }, 0, at_ms(200)).wait, std::chrono::seconds(1));
	EXPECT_EQ(node.predict({ ENDPOINT }, 3, at_ms(200)).wait, std::chrono::seconds(2));
	EXPECT_EQ(node.predict({ ENDPOINT, endpoint_identity{ "free", 1 } }, 3, at_ms(200)).wait, duration::zero());
	service_queue queue;
	const queue_position first = queue.join(POOL);
	const queue_position second = queue.join(POOL);
	EXPECT_EQ(queue.count_before(POOL, second), 1U);
	queue.leave(POOL, first);
	queue.leave(POOL, first);
	EXPECT_EQ(queue.count_before(POOL, second), 0U);
	EXPECT_EQ(queue.count(POOL), 1U);
}

} // namespace calicoscale
