/*
 * calicoscale: endpoint_limits_test.cpp
 * Requests that a whole fleet sends to endpoints with a bounded rate, under more load than they accept.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_limits.h"

#include "core/random_source.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace calicoscale {

namespace {

constexpr double COLD_RATE = 9.1;
/** Requests that the endpoint withstands in any one second: one and a half times the rate plus five. */
constexpr double MAX_IN_A_SECOND = COLD_RATE * 1.5 + 5.0;
constexpr const char *POOL = "llm";
/** Nodes that receive their list of senders at this time know each other for long when the test starts. */
constexpr int LONG_BEFORE_MS = -10000;

instant at_ms(int p_ms) {
	return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(p_ms);
}

gateway_configuration make_configuration(double p_rate) {
	gateway_configuration configuration;
	configuration.services[POOL] = gateway_service{ POOL, true, std::nullopt, std::chrono::seconds(3), p_rate };
	configuration.services["warm"] = gateway_service{ "warm", false, std::nullopt, std::chrono::seconds(3), 0.0 };
	return configuration;
}

endpoint_listing make_endpoint(int p_number, const std::string &p_zone, duration p_cold_left) {
	endpoint_listing listing;
	listing.vm = "e" + std::to_string(p_number);
	listing.incarnation = 1000 + static_cast<std::uint64_t>(p_number);
	listing.zone = p_zone;
	listing.pool = POOL;
	listing.cold_left = p_cold_left;
	return listing;
}

/** Nodes and cold endpoints in the same zones; every node knows that the endpoints are cold. */
struct cold_fleet {
	gateway_configuration configuration;
	std::vector<std::string> names;
	std::vector<std::string> zones;
	std::vector<endpoint_limits> nodes;
	std::vector<endpoint_listing> endpoints;
	std::map<endpoint_identity, std::vector<instant>> arrived;
	random_source random{ 7 };

	cold_fleet(int p_nodes, int p_zones, int p_endpoints, limit_sharing p_sharing, double p_rate = COLD_RATE) :
			configuration(make_configuration(p_rate)) {
		for (int i = 0; i < p_nodes; i++) {
			names.push_back("n" + std::to_string(i));
			zones.push_back("z" + std::to_string(i % p_zones));
			nodes.emplace_back(names.back(), zones.back(), p_sharing);
		}
		for (int i = 0; i < p_endpoints; i++) {
			endpoints.push_back(make_endpoint(i, "z" + std::to_string(i % p_zones), std::chrono::seconds(3)));
		}
		for (endpoint_limits &node : nodes) {
			node.set_listings(endpoints, configuration, at_ms(0));
		}
	}

	std::vector<std::string> get_zone_nodes(const std::string &p_zone) const {
		std::vector<std::string> found;
		for (std::size_t i = 0; i < names.size(); i++) {
			if (zones[i] == p_zone) {
				found.push_back(names[i]);
			}
		}
		return found;
	}

	/** Sets the senders of all nodes, so that they know each other for long when the test starts. */
	void set_all_senders() {
		for (std::size_t i = 0; i < nodes.size(); i++) {
			nodes[i].set_senders(known_senders{ get_zone_nodes(zones[i]), names.size() }, at_ms(LONG_BEFORE_MS));
		}
	}

	/** Sends a request from a node to the first of its preferred endpoints that it may send to. Returns whether there was one. */
	bool send(std::size_t p_node, const std::vector<std::size_t> &p_preferred, instant p_now) {
		for (const std::size_t endpoint : p_preferred) {
			const endpoint_identity identity = endpoints[endpoint].get_identity();
			if (nodes[p_node].may_send(identity, sender_share::SHARE, p_now)) {
				nodes[p_node].on_sent(identity, p_now);
				arrived[identity].push_back(p_now);
				return true;
			}
		}
		return false;
	}

	/** Returns the maximum of requests that one endpoint received in any second. */
	std::size_t get_max_in_a_second() const {
		std::size_t max_count = 0;
		for (const auto &[endpoint, times] : arrived) {
			for (std::size_t first = 0; first < times.size(); first++) {
				const auto behind = std::find_if(times.begin() + static_cast<std::ptrdiff_t>(first), times.end(), [&times, first](instant p_time) { return p_time - times[first] >= std::chrono::seconds(1); });
				max_count = std::max(max_count, static_cast<std::size_t>(behind - times.begin()) - first);
			}
		}
		return max_count;
	}
};

/** Sends a request from a random node every millisecond, all to the same endpoint, as for a hot key. Returns the requests sent. */
std::size_t load_one_endpoint(cold_fleet &r_fleet, int p_ms) {
	std::size_t served = 0;
	for (int ms = 0; ms < p_ms; ms++) {
		const std::size_t node = static_cast<std::size_t>(r_fleet.random.get_unit() * static_cast<double>(r_fleet.nodes.size()));
		served += r_fleet.send(node, { 0 }, at_ms(ms)) ? 1 : 0;
	}
	return served;
}

} // namespace

TEST(endpoint_limits, a_key_that_is_much_asked_for_does_not_overrun_a_cold_endpoint) {
	for (const int size : { 1, 3, 9, 89, 410 }) {
		cold_fleet fleet(size, size < 3 ? 1 : 3, 3, limit_sharing::RANKS);
		fleet.set_all_senders();
		const std::size_t served = load_one_endpoint(fleet, 2900);
		EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), COLD_RATE) << size << " nodes";
		EXPECT_GE(served, 20U) << size << " nodes: the endpoint still gets the requests that it supports in 2.9 s";
	}
}

TEST(endpoint_limits, a_whole_zone_that_comes_back_cold_carries_its_part_of_a_burst) {
	// 89 nodes, 140 engines, 292 requests a second and a burst of 2.6; a third of the engines is cold.
	cold_fleet fleet(89, 3, 140, limit_sharing::RANKS);
	fleet.set_all_senders();
	int zone_requests = 0;
	int served = 0;
	for (int i = 0; i < 760 * 2; i++) {
		const instant now = at_ms(i * 2900 / (760 * 2));
		const std::size_t node = static_cast<std::size_t>(i) % fleet.nodes.size();
		if (fleet.zones[node] != "z0") {
			continue;
		}
		std::vector<std::size_t> preferred;
		for (std::size_t endpoint = 0; endpoint < fleet.endpoints.size(); endpoint++) {
			preferred.push_back((endpoint + static_cast<std::size_t>(i) * 37) % fleet.endpoints.size());
		}
		zone_requests++;
		served += fleet.send(node, preferred, now) ? 1 : 0;
	}
	EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), COLD_RATE);
	EXPECT_EQ(served, zone_requests) << "each node of the zone has slots at some of its cold engines";
}

TEST(endpoint_limits, the_bound_holds_while_two_halves_of_a_zone_do_not_hear_each_other) {
	// Silent members stay known for a while; here each half has already removed the other.
	cold_fleet fleet(89, 1, 3, limit_sharing::RANKS);
	for (std::size_t i = 0; i < fleet.nodes.size(); i++) {
		std::vector<std::string> half;
		for (std::size_t other = i % 2; other < fleet.nodes.size(); other += 2) {
			half.push_back(fleet.names[other]);
		}
		fleet.nodes[i].set_senders(known_senders{ half, half.size() }, at_ms(LONG_BEFORE_MS));
	}
	load_one_endpoint(fleet, 2900);
	EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), MAX_IN_A_SECOND);
}

TEST(endpoint_limits, nodes_that_join_and_are_known_to_others_only_later_keep_the_bound) {
	constexpr std::size_t FIRST = 15;
	constexpr std::size_t ALL = 30;
	constexpr int JOIN_MS = 100;
	cold_fleet fleet(ALL, 1, 3, limit_sharing::RANKS);
	for (int ms = 0; ms < 2900; ms++) {
		const std::size_t joined = std::min(ALL, FIRST + static_cast<std::size_t>(ms / JOIN_MS));
		const std::size_t node = static_cast<std::size_t>(fleet.random.get_unit() * static_cast<double>(joined));
		// Each node receives the list with the new nodes about every 0.3 s.
		const bool has_just_joined = node + 1 == joined && ms % JOIN_MS == 0;
		if (ms % 10 == 0 || has_just_joined) {
			const std::vector<std::string> known(fleet.names.begin(), fleet.names.begin() + static_cast<std::ptrdiff_t>(joined));
			fleet.nodes[node].set_senders(known_senders{ known, known.size() }, at_ms(ms));
		}
		fleet.send(node, { 0 }, at_ms(ms));
	}
	EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), MAX_IN_A_SECOND);
}

/**
 * Nodes 0 to 29 of one zone. The second half becomes known to the others at one node every 100 ms, and to each node a third of a
 * second late or more.
 */
struct growing_views {
	static constexpr std::size_t FIRST = 15;
	static constexpr std::size_t ALL = 30;
	static constexpr int JOIN_MS = 100;

	static std::vector<std::string> get_known(const cold_fleet &p_fleet, int p_ms) {
		const std::size_t known = std::min(ALL, FIRST + static_cast<std::size_t>(std::max(0, p_ms) / JOIN_MS));
		return { p_fleet.names.begin(), p_fleet.names.begin() + static_cast<std::ptrdiff_t>(known) };
	}
};

// All nodes send from the start, also those that are in no list yet, not even their own.
TEST(endpoint_limits, nodes_whose_lists_lack_many_that_send_keep_the_bound) {
	cold_fleet fleet(growing_views::ALL, 1, 3, limit_sharing::RANKS);
	std::size_t served = 0;
	for (int ms = 0; ms < 2900; ms++) {
		const std::size_t node = static_cast<std::size_t>(fleet.random.get_unit() * static_cast<double>(growing_views::ALL));
		if (ms % 10 == 0) {
			const std::vector<std::string> known = growing_views::get_known(fleet, ms);
			fleet.nodes[node].set_senders(known_senders{ known, known.size() }, at_ms(ms));
		}
		served += fleet.send(node, { 0 }, at_ms(ms)) ? 1 : 0;
	}
	EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), MAX_IN_A_SECOND);
	EXPECT_GE(served, 5U) << "at least what it supports in half a second";
}

// The first half has been sending for long when the others start simultaneously; each of them knows only the first half and itself.
TEST(endpoint_limits, nodes_that_start_at_one_moment_and_do_not_know_each_other_keep_the_bound) {
	cold_fleet fleet(growing_views::ALL, 1, 3, limit_sharing::RANKS);
	const std::vector<std::string> first = growing_views::get_known(fleet, 0);
	for (std::size_t node = 0; node < growing_views::FIRST; node++) {
		fleet.nodes[node].set_senders(known_senders{ first, first.size() }, at_ms(LONG_BEFORE_MS));
	}
	for (int ms = 0; ms < 2900; ms++) {
		const std::size_t node = static_cast<std::size_t>(fleet.random.get_unit() * static_cast<double>(growing_views::ALL));
		std::vector<std::string> known = ms < 400 ? first : fleet.names;
		if (node >= growing_views::FIRST && ms < 400) {
			known.push_back(fleet.names[node]);
		}
		fleet.nodes[node].set_senders(known_senders{ known, known.size() }, at_ms(ms));
		fleet.send(node, { 0 }, at_ms(ms));
	}
	EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), COLD_RATE);
}

// The previous holder of a slot may have sent a request a moment ago. The new holder must wait until that request no longer
// counts, or the endpoint would get both within one span.
TEST(endpoint_limits, a_place_that_came_free_is_taken_when_what_was_sent_from_it_counts_no_more) {
	cold_fleet fleet(12, 1, 1, limit_sharing::RANKS);
	fleet.set_all_senders();
	const endpoint_identity identity = fleet.endpoints[0].get_identity();
	const auto may_send = [&fleet, &identity](std::size_t p_node, int p_ms) { return fleet.nodes[p_node].may_send(identity, sender_share::SHARE, at_ms(p_ms)); };
	std::vector<std::size_t> without_slot;
	for (std::size_t node = 0; node < fleet.nodes.size(); node++) {
		if (!may_send(node, 0)) {
			without_slot.push_back(node);
		}
	}
	ASSERT_EQ(without_slot.size(), 3U) << "nine nodes have a slot each";
	for (const std::size_t node : without_slot) {
		fleet.nodes[node].set_senders(known_senders{ { fleet.names[node] }, 1 }, at_ms(100));
		EXPECT_FALSE(may_send(node, 100));
		EXPECT_FALSE(may_send(node, 1100));
		EXPECT_TRUE(may_send(node, 1700));
		fleet.nodes[node].set_senders(known_senders{ fleet.names, fleet.names.size() }, at_ms(1800));
		EXPECT_FALSE(may_send(node, 1800)) << "a lost slot must not be used from then on";
	}
}

TEST(endpoint_limits, a_node_that_has_not_settled_sends_nothing_however_long_it_takes) {
	endpoint_limits node("n", "z0", limit_sharing::RANKS);
	const endpoint_listing cold = make_endpoint(0, "z0", std::chrono::seconds(3));
	node.set_listings({ cold }, make_configuration(COLD_RATE), at_ms(0));
	for (int ms = 0; ms < 2000; ms += 100) {
		node.set_senders(known_senders{ { "n" }, 1, false }, at_ms(ms));
		EXPECT_FALSE(node.may_send(cold.get_identity(), sender_share::SHARE, at_ms(ms)));
	}
	node.set_senders(known_senders{ { "n" }, 1, true }, at_ms(2000));
	EXPECT_TRUE(node.may_send(cold.get_identity(), sender_share::SHARE, at_ms(2000))) << "the others have known it since it started";
}

TEST(endpoint_limits, a_node_that_knows_nobody_yet_sends_nothing_to_a_cold_endpoint_and_anything_to_a_warm_one) {
	endpoint_limits node("n", "z0", limit_sharing::RANKS);
	const endpoint_listing cold = make_endpoint(0, "z0", std::chrono::seconds(3));
	const endpoint_listing warm = make_endpoint(1, "z0", duration::zero());
	node.set_listings({ cold, warm }, make_configuration(COLD_RATE), at_ms(0));
	EXPECT_FALSE(node.may_send(cold.get_identity(), sender_share::SHARE, at_ms(1)));
	EXPECT_TRUE(node.may_send(warm.get_identity(), sender_share::SHARE, at_ms(1)));
}

TEST(endpoint_limits, an_endpoint_is_cold_as_long_as_its_entry_said_when_it_was_told_first) {
	endpoint_limits node("n", "z0", limit_sharing::RANKS);
	const gateway_configuration configuration = make_configuration(1.0);
	const endpoint_listing cold = make_endpoint(0, "z0", std::chrono::seconds(3));
	node.set_senders(known_senders{ { "n" }, 1 }, at_ms(LONG_BEFORE_MS));
	node.set_listings({ cold }, configuration, at_ms(0));
	EXPECT_TRUE(node.may_send(cold.get_identity(), sender_share::SHARE, at_ms(0)));
	node.on_sent(cold.get_identity(), at_ms(0));
	EXPECT_FALSE(node.may_send(cold.get_identity(), sender_share::SHARE, at_ms(500)));
	node.set_listings({ cold }, configuration, at_ms(2500));
	EXPECT_TRUE(node.may_send(cold.get_identity(), sender_share::SHARE, at_ms(1000)));
	EXPECT_EQ(node.get_cold_count(at_ms(2999)), 1U);
	EXPECT_EQ(node.get_cold_count(at_ms(3000)), 0U) << "the same entry read again does not restart its cold time";
	const endpoint_listing again = make_endpoint(0, "z0", std::chrono::seconds(2));
	node.set_listings({ again }, configuration, at_ms(5000));
	EXPECT_EQ(node.get_cold_count(at_ms(6999)), 1U);
}

TEST(endpoint_limits, answers_and_a_zone_taken_back_make_an_endpoint_cold_whose_entry_says_nothing) {
	const gateway_configuration configuration = make_configuration(1.0);
	const endpoint_listing listing = make_endpoint(0, "z0", duration::zero());
	endpoint_limits told("n", "z0", limit_sharing::RANKS);
	told.set_listings({ listing }, configuration, at_ms(0));
	EXPECT_EQ(told.get_cold_count(at_ms(0)), 0U);
	told.on_cold(listing.get_identity(), configuration, std::chrono::milliseconds(800), at_ms(0));
	EXPECT_EQ(told.get_cold_count(at_ms(799)), 1U);
	EXPECT_EQ(told.get_cold_count(at_ms(800)), 0U);
	endpoint_limits back("n", "z0", limit_sharing::RANKS);
	back.on_zone_restored("z1", { listing }, configuration, at_ms(0));
	EXPECT_EQ(back.get_cold_count(at_ms(0)), 0U);
	back.on_zone_restored("z0", { listing }, configuration, at_ms(0));
	EXPECT_EQ(back.get_cold_count(at_ms(2999)), 1U);
}

TEST(endpoint_limits, a_service_without_a_rate_is_not_limited) {
	endpoint_limits node("n", "z0", limit_sharing::RANKS);
	endpoint_listing listing = make_endpoint(0, "z0", std::chrono::seconds(3));
	listing.pool = "warm";
	node.set_listings({ listing }, make_configuration(COLD_RATE), at_ms(0));
	EXPECT_TRUE(node.may_send(listing.get_identity(), sender_share::SHARE, at_ms(0)));
	EXPECT_EQ(node.get_cold_count(at_ms(0)), 0U);
}

TEST(endpoint_limits, less_than_one_request_a_second_is_shared_too) {
	cold_fleet fleet(9, 3, 3, limit_sharing::RANKS, 0.4);
	fleet.set_all_senders();
	EXPECT_EQ(load_one_endpoint(fleet, 2900), 2U) << "one immediately and one after 2.5 s";
}

TEST(endpoint_limits, the_dispatcher_of_a_pool_has_all_that_a_cold_replica_bears) {
	endpoint_limits node("n", "z0", limit_sharing::RANKS);
	const endpoint_listing listing = make_endpoint(0, "z1", std::chrono::seconds(3));
	node.set_listings({ listing }, make_configuration(COLD_RATE), at_ms(0));
	node.set_senders(known_senders{ { "n", "m" }, 2 }, at_ms(LONG_BEFORE_MS));
	EXPECT_FALSE(node.may_send(listing.get_identity(), sender_share::SHARE, at_ms(0))) << "it is of another zone";
	int sent = 0;
	while (node.may_send(listing.get_identity(), sender_share::FULL, at_ms(10))) {
		node.on_sent(listing.get_identity(), at_ms(10));
		sent++;
	}
	EXPECT_EQ(sent, 9);
}

// limit_sharing::EVEN has no bound by construction, only on average; most nodes never send while an endpoint is cold.
TEST(endpoint_limits, even_shares_keep_the_bound_by_their_mean_only) {
	cold_fleet fleet(89, 3, 3, limit_sharing::EVEN);
	fleet.set_all_senders();
	const std::size_t served = load_one_endpoint(fleet, 2900);
	EXPECT_LE(static_cast<double>(fleet.get_max_in_a_second()), MAX_IN_A_SECOND);
	EXPECT_GE(served, 15U);
}

} // namespace calicoscale
