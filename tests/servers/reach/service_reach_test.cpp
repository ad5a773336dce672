/*
 * calicoscale: service_reach_test.cpp
 * Tests what a node takes as unreachable, whom it forwards to, and what it carries for others.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/reach/forwarding_capacity.h"
#include "servers/reach/peer_reach.h"
#include "servers/reach/service_reach.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

const instant START{ std::chrono::hours(1) };

service_reach make_reach() {
	service_reach reach;
	reach.set_endpoints({ { "llm", { "e1", "e2", "e3" } }, { "single", { "s1" } } });
	return reach;
}

} // namespace

TEST(service_reach, one_failed_endpoint_of_several_says_nothing_of_the_service) {
	service_reach reach = make_reach();
	for (int i = 0; i < 10; i++) {
		reach.on_failure("llm", "e1", START);
	}
	EXPECT_TRUE(reach.is_reached("llm"));
	reach.on_failure("llm", "e2", START);
	EXPECT_FALSE(reach.is_reached("llm"));
	EXPECT_TRUE(reach.is_reached("single"));
	EXPECT_EQ(reach.get_unreached(), std::vector<std::string>{ "llm" });
}

TEST(service_reach, the_only_endpoint_stands_for_its_service) {
	service_reach reach = make_reach();
	reach.on_failure("single", "s1", START);
	EXPECT_FALSE(reach.is_reached("single"));
}

TEST(service_reach, contact_between_two_failures_keeps_a_service_reachable) {
	service_reach reach = make_reach();
	reach.on_failure("llm", "e1", START);
	reach.on_contact("llm", "e3", START);
	reach.on_failure("llm", "e2", START);
	EXPECT_TRUE(reach.is_reached("llm"));
	EXPECT_TRUE(reach.take_changes().empty());
}

TEST(service_reach, changes_name_the_age_of_the_last_contact) {
	service_reach reach = make_reach();
	reach.on_contact("llm", "e3", START);
	reach.on_failure("llm", "e1", START + milliseconds(300));
	reach.on_failure("llm", "e2", START + milliseconds(400));
	reach.on_contact("llm", "e3", START + milliseconds(900));
	const std::vector<reach_change> changes = reach.take_changes();
	ASSERT_EQ(changes.size(), 2U);
	EXPECT_FALSE(changes[0].is_reached);
	EXPECT_EQ(changes[0].contact_age, duration(milliseconds(400)));
	EXPECT_EQ(changes[0].failed_endpoints, 2U);
	EXPECT_TRUE(changes[1].is_reached);
	EXPECT_TRUE(reach.take_changes().empty());
}

TEST(service_reach, new_endpoints_of_an_unreachable_service_are_probed_and_others_are_not) {
	service_reach reach = make_reach();
	reach.on_failure("single", "s1", START);
	const std::vector<service_endpoint> probed = reach.set_endpoints({ { "llm", { "e1", "e4" } }, { "single", { "s1", "s2" } } });
	ASSERT_EQ(probed.size(), 1U);
	EXPECT_EQ(probed[0].service, "single");
	EXPECT_EQ(probed[0].vm, "s2");
	EXPECT_FALSE(reach.is_reached("single"));
}

TEST(service_reach, endpoints_stay_unreachable_while_others_of_their_service_are_reached) {
	service_reach reach = make_reach();
	reach.on_failure("llm", "e1", START);
	EXPECT_TRUE(reach.is_endpoint_reached("llm", "e1")) << "a single endpoint has probably crashed";
	reach.on_failure("llm", "e2", START);
	EXPECT_FALSE(reach.is_endpoint_reached("llm", "e3")) << "the whole service is unreachable";
	reach.on_contact("llm", "e3", START);
	EXPECT_TRUE(reach.is_reached("llm"));
	EXPECT_TRUE(reach.is_endpoint_reached("llm", "e3"));
	EXPECT_FALSE(reach.is_endpoint_reached("llm", "e1"));
	EXPECT_EQ(reach.get_unreached_endpoints().size(), 2U);
	reach.on_contact("llm", "e1", START);
	EXPECT_TRUE(reach.is_endpoint_reached("llm", "e1"));
	EXPECT_TRUE(reach.is_endpoint_reached("llm", "e2"));
	EXPECT_TRUE(reach.get_unreached_endpoints().empty());
}

TEST(service_reach, a_node_that_reaches_few_endpoints_of_a_service_is_of_no_use_to_others) {
	service_reach reach = make_reach();
	reach.on_failure("llm", "e1", START);
	EXPECT_TRUE(reach.get_mostly_unreached().empty());
	reach.on_contact("llm", "e3", START);
	reach.on_probe_failed("llm", "e2", START);
	EXPECT_TRUE(reach.is_reached("llm"));
	EXPECT_EQ(reach.get_mostly_unreached(), std::vector<std::string>{ "llm" });
	reach.on_contact("llm", "e2", START);
	EXPECT_TRUE(reach.get_mostly_unreached().empty());
	reach.on_probe_failed("llm", "e2", START - milliseconds(500));
	EXPECT_TRUE(reach.get_mostly_unreached().empty()) << "contact since the probe was started";
}

TEST(service_reach, failures_of_endpoints_that_left_the_list_do_not_count) {
	service_reach reach = make_reach();
	reach.on_failure("llm", "e1", START);
	reach.set_endpoints({ { "llm", { "e2", "e3" } } });
	reach.on_failure("llm", "e1", START);
	reach.on_failure("llm", "e2", START);
	EXPECT_TRUE(reach.is_reached("llm"));
	EXPECT_TRUE(reach.is_reached("single")) << "a service without endpoints";
}

TEST(peer_reach, exchanges_go_to_peers_that_do_not_report_the_service_in_turn_of_their_load) {
	peer_reach peers;
	random_source random(7);
	const std::vector<forwarding_peer> linked{ { "n1", true }, { "n2", false }, { "n3", false } };
	peers.set_unreached("n1", { "llm" }, START);
	EXPECT_EQ(peers.choose("other", linked, random, START), "n1") << "own zone first";
	std::map<std::string, int> chosen;
	for (int i = 0; i < 20; i++) {
		const std::optional<std::string> peer = peers.choose("llm", linked, random, START);
		ASSERT_TRUE(peer);
		peers.on_forwarded(*peer);
		chosen[*peer]++;
	}
	EXPECT_EQ(chosen, (std::map<std::string, int>{ { "n2", 10 }, { "n3", 10 } }));
	peers.on_ended("n3");
	EXPECT_EQ(peers.choose("llm", linked, random, START), "n3");
}

TEST(peer_reach, a_peer_that_declined_is_left_alone_for_a_while) {
	peer_reach peers;
	random_source random(7);
	const std::vector<forwarding_peer> linked{ { "n1", true } };
	peers.on_declined("n1", START);
	EXPECT_FALSE(peers.can_choose("llm", linked, START));
	EXPECT_FALSE(peers.choose("llm", linked, random, START));
	EXPECT_TRUE(peers.is_reached_by_any("llm", linked));
	EXPECT_EQ(peers.choose("llm", linked, random, START + peer_reach::DECLINED_TIME), "n1");
}

TEST(peer_reach, nobody_reaches_a_service_that_all_peers_report) {
	peer_reach peers;
	const std::vector<forwarding_peer> linked{ { "n1", true }, { "n2", false } };
	peers.set_unreached("n1", { "llm" }, START);
	EXPECT_TRUE(peers.is_reached_by_any("llm", linked));
	peers.set_unreached("n2", { "llm", "other" }, START);
	EXPECT_FALSE(peers.is_reached_by_any("llm", linked));
	peers.set_unreached("n2", {}, START);
	EXPECT_TRUE(peers.is_reached_by_any("llm", linked));
}

TEST(forwarding_capacity, memory_and_lateness_bound_what_is_carried_for_others) {
	constexpr double MEMORY = 8.0 * 1024 * 1024;
	forwarding_capacity capacity(MEMORY);
	std::size_t accepted = 0;
	while (capacity.try_reserve(1024)) {
		accepted++;
	}
	const std::size_t each = 1024 + forwarding_capacity::WINDOW_BYTES;
	EXPECT_EQ(accepted, static_cast<std::size_t>(MEMORY * forwarding_capacity::MEMORY_FRACTION) / each);
	capacity.release(1024);
	capacity.set_lateness(forwarding_capacity::MAX_LATENESS + milliseconds(1));
	EXPECT_FALSE(capacity.try_reserve(1024));
	capacity.set_lateness(milliseconds(1));
	EXPECT_TRUE(capacity.try_reserve(1024));
}

} // namespace calicoscale
