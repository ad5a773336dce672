/*
 * calicoscale: named_limits_test.cpp
 * Limits that endpoints name: what is believed of them, and what whole fleets send, in virtual time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/random_source.h"
#include "servers/gateway/endpoint_limits.h"
#include "servers/gateway/waiting_line.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

constexpr const char *POOL = "llm";
/** Within it an endpoint's requests are counted against the limit that it names. */
constexpr int LIMIT_SPAN_MS = 4000;
/** From the first answer that names a limit until all nodes must keep it. */
constexpr int GRACE_MS = 3000;
/** By the first moment of a test, nodes have known each other for long. */
constexpr int LONG_BEFORE_MS = -10000;
/** From a request's arrival to the head of its answer, and from an answer to the other nodes that are told of it. */
constexpr int ANSWER_MS = 60;
constexpr int NEWS_MS = 150;

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(p_ms);
}

std::size_t get_allowed(double p_rate) {
	return static_cast<std::size_t>(p_rate * 1.5 * LIMIT_SPAN_MS / 1000.0 + 5.0);
}

endpoint_notice name_limit(double p_rate) {
	endpoint_notice notice;
	notice.limit = limit_statement::NAMED;
	notice.rate_limit = p_rate;
	return notice;
}

const endpoint_identity ENDPOINT{ "e0", 1000 };

/** Nodes before one endpoint, whose limit the test sets at each moment; all press on it. */
struct limited_fleet {
	struct answer {
		std::size_t node = 0;
		int sent_ms = 0;
		std::optional<double> rate;
	};
	struct news {
		std::size_t from = 0;
		limit_record record;
	};

	std::vector<std::string> names;
	std::vector<endpoint_limits> nodes;
	std::vector<bool> is_up;
	std::optional<double> rate; ///< As the endpoint names it now.
	std::function<bool(std::size_t, std::size_t)> hears = [](std::size_t, std::size_t) { return true; };
	std::multimap<int, answer> answers;
	std::multimap<int, news> told;
	std::vector<int> arrived;
	std::set<std::size_t> passed_on; ///< Nodes that got an answer that named the limit.
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

	/** The nodes that each node knows: those that it hears. */
	void tell_members(int p_ms) {
		for (std::size_t i = 0; i < nodes.size(); i++) {
			std::vector<std::string> known;
			for (std::size_t other = 0; other < nodes.size(); other++) {
				if (is_up[other] && (other == i || hears(i, other))) {
					known.push_back(names[other]);
				}
			}
			nodes[i].set_senders(known_senders{ known, known.size() }, at_ms(p_ms));
			nodes[i].forget_old(at_ms(p_ms));
		}
	}

	void take_answers(int p_ms) {
		for (auto next = answers.begin(); next != answers.end() && next->first <= p_ms; next = answers.erase(next)) {
			const answer &came = next->second;
			if (!is_up[came.node]) {
				continue;
			}
			const endpoint_notice notice = came.rate ? name_limit(*came.rate) : endpoint_notice();
			named_limits &limits = nodes[came.node].get_named();
			limits.on_answer(ENDPOINT, notice, true, at_ms(came.sent_ms), at_ms(p_ms));
			if (came.rate) {
				passed_on.insert(came.node);
			}
			for (const limit_record &record : limits.take_news()) {
				told.emplace(p_ms + NEWS_MS, news{ came.node, record });
			}
		}
		for (auto next = told.begin(); next != told.end() && next->first <= p_ms; next = told.erase(next)) {
			for (std::size_t node = 0; node < nodes.size(); node++) {
				if (node != next->second.from && is_up[node] && hears(next->second.from, node)) {
					nodes[node].get_named().take(next->second.record, at_ms(p_ms));
				}
			}
		}
	}

	/** Requests at random nodes at this rate, from one moment to another. */
	void press(int p_from_ms, int p_to_ms, double p_per_second) {
		for (int ms = p_from_ms; ms < p_to_ms; ms++) {
			take_answers(ms);
			// Large fleets do not change in these tests.
			if (ms % (nodes.size() > 100 ? 1000 : 100) == 0) {
				tell_members(ms);
			}
			for (double left = p_per_second / 1000.0; left > 0.0 && random.get_unit() < left; left -= 1.0) {
				send(static_cast<std::size_t>(random.get_unit() * static_cast<double>(nodes.size())), ms);
			}
		}
	}

	void send(std::size_t p_node, int p_ms) {
		if (!is_up[p_node] || !nodes[p_node].may_send(ENDPOINT, sender_part::SHARE, at_ms(p_ms))) {
			return;
		}
		nodes[p_node].on_sent(ENDPOINT, at_ms(p_ms));
		if (passed_on.contains(p_node)) {
			arrived.push_back(p_ms);
		}
		served++;
		answers.emplace(p_ms + ANSWER_MS, answer{ p_node, p_ms, rate });
	}

	/** Most that the endpoint got within the span from nodes that had passed its limit on, from a moment on. */
	std::size_t get_most(int p_since_ms) const {
		std::size_t most = 0;
		for (auto first = std::lower_bound(arrived.begin(), arrived.end(), p_since_ms); first != arrived.end(); ++first) {
			most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, arrived.end(), *first + LIMIT_SPAN_MS) - first));
		}
		return most;
	}

	/** As nodes that have been up for long and know each other, each of which sends before it is told. */
	void begin() {
		tell_members(LONG_BEFORE_MS);
		for (std::size_t node = 0; node < nodes.size(); node++) {
			send(node, 0);
		}
	}

	std::size_t count_believers() const {
		return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const endpoint_limits &p_node) { return p_node.get_named().find_rate(ENDPOINT).has_value(); }));
	}
};

} // namespace

TEST(named_limits, a_fleet_of_any_size_sends_what_an_endpoint_names_and_no_more) {
	for (const std::size_t size : { 2U, 3U, 9U, 89U, 410U }) {
		for (const double rate : { 0.3, 1.0, 1.2, 2.5, 8.0 }) {
			limited_fleet fleet(size, rate);
			const double load = 10.0 * static_cast<double>(size); // More than any place takes.
			fleet.begin();
			fleet.press(1, 13000, load);
			EXPECT_LE(fleet.get_most(GRACE_MS), get_allowed(rate)) << size << " nodes, " << rate << " a second";
			const std::size_t sent_before = fleet.served;
			fleet.press(13000, 23000, load);
			EXPECT_LE(static_cast<double>(fleet.served - sent_before), rate * 10.0 + rate + 1.0) << size << " nodes, " << rate << " a second";
			EXPECT_GE(static_cast<double>(fleet.served - sent_before), rate * 10.0 * 0.8 - 1.0) << "what it takes is used; " << size << " nodes, " << rate << " a second";
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
			fleet.press(begin, begin + 700, 400.0);
			fleet.is_up[node] = true;
			fleet.press(begin + 700, begin + 1500, 400.0);
		}
		EXPECT_LE(fleet.get_most(GRACE_MS), get_allowed(rate)) << rate << " a second";
		EXPECT_GE(static_cast<double>(fleet.served), 9.0 + rate * 27.0 * 0.2) << rate << " a second";
	}
}

TEST(named_limits, two_halves_that_do_not_hear_each_other_keep_a_limit_together) {
	for (const double rate : { 0.3, 1.0, 1.2, 2.5 }) {
		limited_fleet fleet(20, rate);
		fleet.begin();
		fleet.press(1, 8000, 400.0);
		fleet.hears = [](std::size_t p_from, std::size_t p_to) { return p_from % 2 == p_to % 2; };
		fleet.press(8000, 20000, 400.0);
		EXPECT_LE(fleet.get_most(GRACE_MS), get_allowed(rate)) << rate << " a second";
	}
}

TEST(named_limits, a_limit_that_changes_is_followed_and_its_end_is_known_to_nodes_without_a_place) {
	limited_fleet fleet(9, 4.0);
	fleet.begin();
	fleet.press(1, 8000, 400.0);
	fleet.rate = 1.0;
	fleet.press(8000, 18000, 400.0);
	EXPECT_LE(fleet.get_most(8000 + GRACE_MS), get_allowed(1.0));
	fleet.rate = std::nullopt;
	fleet.press(18000, 20000, 400.0);
	EXPECT_EQ(fleet.count_believers(), 0U) << "the holder of the place noticed within a second, and told";
}

TEST(named_limits, a_limit_of_zero_gets_a_request_now_and_then_which_finds_its_end) {
	limited_fleet fleet(9, 0.0);
	fleet.begin();
	fleet.press(1, 60000, 400.0);
	EXPECT_LE(fleet.get_most(GRACE_MS), get_allowed(0.0));
	fleet.rate = std::nullopt;
	fleet.press(60000, 105000, 400.0);
	EXPECT_EQ(fleet.count_believers(), 0U);
}

TEST(named_limits, nobody_sends_for_long_and_then_all_at_once) {
	for (const std::size_t size : { 9U, 89U }) {
		limited_fleet fleet(size, 1.0);
		fleet.begin();
		fleet.press(1, 5000, 50.0);
		fleet.press(5000, 35000, 0.0);
		fleet.press(35000, 50000, 50.0);
		EXPECT_LE(fleet.get_most(GRACE_MS), get_allowed(1.0)) << size << " nodes";
	}
}

TEST(named_limits, a_late_answer_of_before_neither_ends_a_limit_nor_does_older_news_bring_one_back) {
	named_limits limits("n");
	EXPECT_EQ(limits.on_answer(ENDPOINT, name_limit(1.0), true, at_ms(0), at_ms(100)), limit_change::NAMED);
	EXPECT_EQ(limits.on_answer(ENDPOINT, endpoint_notice(), true, at_ms(50), at_ms(300)), limit_change::NONE) << "its request was sent before the limit was named";
	EXPECT_EQ(limits.on_answer(ENDPOINT, endpoint_notice(), false, at_ms(200), at_ms(300)), limit_change::NONE) << "it may not be the endpoint's";
	EXPECT_EQ(limits.on_answer(ENDPOINT, endpoint_notice(), true, at_ms(200), at_ms(400)), limit_change::ENDED);
	EXPECT_EQ(limits.take(limit_record{ ENDPOINT, 1.0, at_ms(350) }, at_ms(500)), limit_change::NONE);
	EXPECT_EQ(limits.find_rate(ENDPOINT), std::nullopt);
	EXPECT_EQ(limits.take(limit_record{ ENDPOINT, 2.0, at_ms(450) }, at_ms(500)), limit_change::NAMED);
	EXPECT_EQ(limits.find_rate(ENDPOINT), 2.0);
}

TEST(named_limits, another_start_of_an_endpoint_is_not_bound_by_what_the_earlier_one_named) {
	named_limits limits("n");
	limits.on_answer(ENDPOINT, name_limit(1.0), true, at_ms(0), at_ms(100));
	EXPECT_EQ(limits.find_rate(endpoint_identity{ ENDPOINT.vm, ENDPOINT.incarnation + 1 }), std::nullopt);
}

TEST(named_limits, an_unreadable_limit_changes_nothing) {
	named_limits limits("n");
	endpoint_notice unreadable;
	unreadable.limit = limit_statement::UNREADABLE;
	EXPECT_EQ(limits.on_answer(ENDPOINT, unreadable, true, at_ms(0), at_ms(100)), limit_change::NONE);
	limits.on_answer(ENDPOINT, name_limit(3.0), true, at_ms(0), at_ms(100));
	EXPECT_EQ(limits.on_answer(ENDPOINT, unreadable, true, at_ms(200), at_ms(300)), limit_change::NONE);
	EXPECT_EQ(limits.find_rate(ENDPOINT), 3.0);
}

TEST(named_limits, what_is_told_of_one_limit_is_bounded_however_often_it_is_named_anew) {
	named_limits limits("n");
	std::size_t told = 0;
	for (int ms = 0; ms < 20000; ms += 10) {
		limits.on_answer(ENDPOINT, name_limit(1.0 + ms % 7), true, at_ms(ms), at_ms(ms + 5));
		told += limits.take_news().size();
	}
	EXPECT_LE(told, 41U) << "one each half second";
	EXPECT_GE(told, 20U);
}

TEST(named_limits, the_wait_for_a_place_counts_those_who_wait_before) {
	limited_fleet fleet(1, 2.0);
	fleet.begin();
	fleet.press(1, 200, 0.0);
	endpoint_limits &node = fleet.nodes.front();
	node.on_sent(ENDPOINT, at_ms(200));
	node.on_sent(ENDPOINT, at_ms(200));
	EXPECT_EQ(node.predict({ ENDPOINT }, 0, at_ms(200)).wait, std::chrono::seconds(1));
	EXPECT_EQ(node.predict({ ENDPOINT }, 3, at_ms(200)).wait, std::chrono::seconds(2));
	EXPECT_EQ(node.predict({ ENDPOINT, endpoint_identity{ "free", 1 } }, 3, at_ms(200)).wait, duration::zero());
	waiting_line line;
	const line_place first = line.join(POOL);
	const line_place second = line.join(POOL);
	EXPECT_EQ(line.count_before(POOL, second), 1U);
	line.leave(POOL, first);
	line.leave(POOL, first);
	EXPECT_EQ(line.count_before(POOL, second), 0U);
	EXPECT_EQ(line.count(POOL), 1U);
}

} // namespace calicoscale
