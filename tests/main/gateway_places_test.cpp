/*
 * calicoscale: gateway_places_test.cpp
 * Tests complete gateways with cold endpoints, and with requests that have home regions.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

class gateway_places_test : public gateway_fixture {
protected:
	/** Configures home regions, and the requests a second that the service supports at a cold endpoint. */
	void configure_places(const json &p_route_homes, const json &p_customer_homes, double p_cold_rate = 0.0) {
		json document = make_configuration(1);
		for (json &route : document["routes"]) {
			route["home_regions"] = p_route_homes;
		}
		document["tenants"][0]["home_regions"] = p_customer_homes;
		document["services"][0]["cold_start_s"] = 3.0;
		document["services"][0]["cold_per_s"] = p_cold_rate;
		_store.put(CONFIGURATION_TOPIC, "config", document.dump());
	}

	/** Starts a gateway with two regions of one zone each. */
	gateway &start_in_regions() {
		_regions = { { "a", "north" }, { "b", "south" } };
		return start_ready();
	}

	void list_cold(const standin_replica &p_replica, int p_cold_ms) {
		json entry = json::parse(p_replica.get_entry("llm"));
		entry["cold_left_ms"] = p_cold_ms;
		_store.put(ENDPOINT_TOPIC, p_replica.get_name(), entry.dump());
	}

	std::size_t ask_many(const gateway &p_gateway, int p_number, const std::string &p_path = "/safe/") {
		std::size_t served = 0;
		for (int i = 0; i < p_number; i++) {
			served += ask(p_gateway, p_path)->head.status == 200 ? 1 : 0;
		}
		return served;
	}
};

} // namespace

TEST_F(gateway_places_test, a_cold_endpoint_gets_what_it_bears_and_the_rest_goes_to_warm_ones) {
	configure_places(json::array(), json::array(), 1.0);
	standin_replica &cold = add_replica("llm");
	standin_replica &warm = add_replica("llm");
	list_cold(cold, 3000);
	gateway &entry = start_ready();
	wait(milliseconds(800));
	const std::size_t before = cold.runs.size();
	EXPECT_EQ(ask_many(entry, 12), 12U);
	EXPECT_LE(cold.runs.size() - before, 2U) << "the requests take less than two seconds";
	// Unless this endpoint leaves, the other one need not be chosen, as it has no running requests.
	_store.put(ENDPOINT_TOPIC, warm.get_name(), warm.get_entry("llm", true));
	wait(milliseconds(3000));
	const std::size_t before_warm = cold.runs.size();
	EXPECT_EQ(ask_many(entry, 40), 40U);
	EXPECT_EQ(cold.runs.size() - before_warm, 40U) << "it is warm by now";
}

TEST_F(gateway_places_test, when_all_are_cold_requests_wait_for_their_turn_and_are_served) {
	configure_places(json::array(), json::array(), 4.0);
	standin_replica &cold = add_replica("llm");
	list_cold(cold, 60'000);
	gateway &entry = start_ready();
	wait(milliseconds(800));
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 7; i++) {
		results.push_back(send(entry, "/safe/"));
	}
	wait(milliseconds(500));
	EXPECT_LE(cold.runs.size(), 4U);
	for (const std::shared_ptr<caller_result> &result : results) {
		run_until([&result] { return result->end.has_value(); });
		EXPECT_EQ(result->head.status, 200);
	}
}

TEST_F(gateway_places_test, an_answer_that_says_it_is_cold_goes_before_the_entry) {
	configure_places(json::array(), json::array(), 1.0);
	standin_replica &cold = add_replica("llm");
	add_replica("llm");
	cold.cold_ms = 5000;
	gateway &entry = start_ready();
	wait(milliseconds(800));
	EXPECT_EQ(ask_many(entry, 30), 30U);
	EXPECT_LE(cold.runs.size(), 5U) << "the requests take less than two seconds";
}

TEST_F(gateway_places_test, a_request_stays_in_the_homes_of_its_route) {
	configure_places({ "south" }, json::array());
	standin_replica &north = add_replica("llm", "a");
	standin_replica &south = add_replica("llm", "b");
	gateway &entry = start_in_regions();
	EXPECT_EQ(ask_many(entry, 8), 8U);
	EXPECT_TRUE(north.runs.empty());
	south.mode = replica_mode::FAIL;
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 500);
	EXPECT_TRUE(north.runs.empty()) << "nor does a repeat leave it";
}

TEST_F(gateway_places_test, homes_of_route_and_customer_both_bind) {
	configure_places({ "south", "north" }, { "north", "east" });
	add_replica("llm", "a");
	standin_replica &south = add_replica("llm", "b");
	gateway &entry = start_in_regions();
	EXPECT_EQ(ask_many(entry, 8), 8U);
	EXPECT_TRUE(south.runs.empty());
}

TEST_F(gateway_places_test, a_request_that_no_home_can_serve_is_refused_at_once) {
	configure_places({ "south" }, { "north" });
	standin_replica &north = add_replica("llm", "a");
	standin_replica &south = add_replica("llm", "b");
	gateway &entry = start_in_regions();
	const instant sent = event_loop::now();
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 503);
	EXPECT_LT(event_loop::now() - sent, duration(milliseconds(500)));
	EXPECT_TRUE(north.runs.empty());
	EXPECT_TRUE(south.runs.empty());
}

TEST_F(gateway_places_test, an_endpoint_in_a_zone_of_no_known_region_is_no_home) {
	configure_places({ "south" }, json::array());
	standin_replica &unknown = add_replica("llm", "z");
	gateway &entry = start_in_regions();
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 503);
	EXPECT_TRUE(unknown.runs.empty());
}

TEST_F(gateway_places_test, stage_work_stays_in_the_homes_of_its_request_also_at_a_dispatcher_elsewhere) {
	configure_places({ "south" }, json::array());
	add_replica("llm", "b");
	standin_replica &encode_north = add_replica("encode", "a");
	standin_replica &encode_south = add_replica("encode", "b");
	add_replica("search", "b");
	start_in_regions();
	_zone = "b";
	start_in_regions();
	wait(milliseconds(600));
	for (int i = 0; i < 8; i++) {
		const std::shared_ptr<caller_result> result = ask(*_gateways[static_cast<std::size_t>(i % 2)], "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
	EXPECT_EQ(encode_north.stage_calls, 0U);
	EXPECT_EQ(encode_south.stage_items.size(), 8U);
}

} // namespace calicoscale
