/*
 * calicoscale: gateway_evacuation_test.cpp
 * Tests complete gateways while availability zones are evacuated and taken back.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

class gateway_evacuation_test : public gateway_fixture {
protected:
	void evacuate(const std::string &p_zone, const std::string &p_value = "{}") { _store.put(CONFIGURATION_TOPIC, "evacuate/" + p_zone, p_value); }
	void take_back(const std::string &p_zone) { _store.drop(CONFIGURATION_TOPIC, "evacuate/" + p_zone); }

	/** Waits until a gateway has received an evacuation: at most one turn of the long-polling read and one heartbeat. */
	void wait_for_update() { wait(milliseconds(700)); }

	/** Sends enough requests that each endpoint in use would receive one. */
	void ask_often(const gateway &p_gateway, const std::string &p_path = "/safe/") {
		for (int i = 0; i < 12; i++) {
			EXPECT_EQ(ask(p_gateway, p_path)->head.status, 200);
		}
	}

	std::shared_ptr<caller_result> send_staged(const gateway &p_gateway) { return send(p_gateway, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"); }

	void await(const std::shared_ptr<caller_result> &p_result) {
		run_until([&p_result] { return p_result->end.has_value(); });
	}
};

} // namespace

TEST_F(gateway_evacuation_test, endpoints_of_an_evacuated_zone_get_nothing_until_it_is_taken_back) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	standin_replica &far = add_replica("llm", "b");
	gateway &entry = start_ready();
	evacuate("a");
	wait_for_update();
	const std::size_t before = near.runs.size();
	ask_often(entry);
	EXPECT_EQ(near.runs.size(), before);
	EXPECT_EQ(far.runs.size(), 12U);
	take_back("a");
	wait_for_update();
	ask_often(entry);
	EXPECT_GT(near.runs.size(), before);
}

TEST_F(gateway_evacuation_test, a_node_that_starts_into_an_evacuation_knows_it_before_it_is_ready) {
	configure(1);
	evacuate("a");
	standin_replica &near = add_replica("llm", "a");
	standin_replica &far = add_replica("llm", "b");
	gateway &entry = start_ready();
	ask_often(entry);
	EXPECT_TRUE(near.runs.empty());
	EXPECT_EQ(far.runs.size(), 12U);
}

TEST_F(gateway_evacuation_test, a_node_that_the_store_turns_away_is_told_by_its_peers_of_both) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	add_replica("llm", "b");
	standin_store other(_loop);
	start_ready();
	// Its store never answers, as if it refused this node.
	other.set_away(true);
	gateway &without_store = start_ready(other);
	evacuate("a");
	wait_for_update();
	ask_often(without_store);
	EXPECT_TRUE(near.runs.empty());
	take_back("a");
	wait_for_update();
	ask_often(without_store);
	EXPECT_FALSE(near.runs.empty());
}

TEST_F(gateway_evacuation_test, while_the_store_is_away_the_last_that_was_known_holds) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	add_replica("llm", "b");
	gateway &entry = start_ready();
	evacuate("a");
	wait_for_update();
	_store.set_away(true);
	wait(milliseconds(3500));
	ask_often(entry);
	EXPECT_TRUE(near.runs.empty());
}

TEST_F(gateway_evacuation_test, a_request_that_waits_for_a_repeat_is_not_sent_to_a_zone_evacuated_meanwhile) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	gateway &entry = start_ready();
	near.mode = replica_mode::HOLD;
	const std::shared_ptr<caller_result> result = send(entry, "/safe/");
	run_until([&near] { return near.runs.size() == 1; });
	standin_replica &far = add_replica("llm", "b");
	add_replica("llm", "a");
	evacuate("a");
	wait(milliseconds(1300));
	EXPECT_FALSE(result->end.has_value()) << "what is at work ends in its own time";
	near.end_process();
	await(result);
	EXPECT_EQ(result->head.status, 200);
	EXPECT_EQ(far.runs.size(), 1U);
	EXPECT_TRUE(_replicas.back().runs.empty());
}

TEST_F(gateway_evacuation_test, stage_work_that_waits_goes_to_another_zone_and_results_made_before_are_read) {
	configure(1);
	add_replica("llm", "b");
	standin_replica &encode_near = add_replica("encode", "a");
	standin_replica &search_near = add_replica("search", "a");
	standin_replica &search_far = add_replica("search", "b");
	search_near.hold_stages = true;
	search_far.hold_stages = true;
	gateway &entry = start_ready();
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 40; i++) {
		results.push_back(send_staged(entry));
	}
	run_until([&search_near, &search_far] { return search_near.get_held_stages() > 0 && search_far.get_held_stages() > 0; });
	const std::size_t made_near = encode_near.stage_items.size();
	EXPECT_GT(made_near, 0U);
	evacuate("a");
	wait_for_update();
	const std::size_t calls_near = search_near.stage_calls;
	search_near.run_held_stages();
	search_far.run_held_stages();
	for (const std::shared_ptr<caller_result> &result : results) {
		await(result);
	}
	EXPECT_EQ(search_near.stage_calls, calls_near) << "nothing new is sent there";
	EXPECT_TRUE(std::any_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->body == WHOLE_STREAM; }));
}

TEST_F(gateway_evacuation_test, a_service_whose_endpoints_all_lie_there_is_refused_at_once_with_a_time_to_come_back) {
	configure(1);
	standin_replica &only = add_replica("llm", "a");
	gateway &entry = start_ready();
	evacuate("a");
	wait_for_update();
	const instant sent = event_loop::now();
	const std::shared_ptr<caller_result> result = ask(entry, "/safe/");
	EXPECT_LT(event_loop::now() - sent, duration(milliseconds(500)));
	EXPECT_EQ(result->head.status, 503);
	EXPECT_GE(std::stod(result->get("Retry-After")), 1.0);
	EXPECT_TRUE(only.runs.empty());
}

TEST_F(gateway_evacuation_test, a_request_is_refused_before_its_stages_when_one_of_their_pools_lies_there) {
	configure(1);
	add_replica("llm", "b");
	standin_replica &encode = add_replica("encode", "b");
	add_replica("search", "a");
	gateway &entry = start_ready();
	evacuate("a");
	wait_for_update();
	const std::shared_ptr<caller_result> result = send_staged(entry);
	await(result);
	EXPECT_EQ(result->head.status, 503);
	EXPECT_EQ(encode.stage_calls, 0U) << "no work for an answer that cannot come";
}

TEST_F(gateway_evacuation_test, two_zones_at_once_and_then_all_zones) {
	configure(1);
	standin_replica &a = add_replica("llm", "a");
	standin_replica &b = add_replica("llm", "b");
	standin_replica &c = add_replica("llm", "c");
	gateway &entry = start_ready();
	evacuate("a");
	evacuate("b");
	wait_for_update();
	ask_often(entry);
	EXPECT_TRUE(a.runs.empty());
	EXPECT_TRUE(b.runs.empty());
	EXPECT_EQ(c.runs.size(), 12U);
	evacuate("c");
	wait_for_update();
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 503);
	EXPECT_EQ(c.runs.size(), 12U);
	EXPECT_EQ(ask_ready(entry), 200) << "the node itself is not emptied";
}

TEST_F(gateway_evacuation_test, records_of_any_shape_evacuate_and_zones_that_do_not_exist_do_no_harm) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	standin_replica &far = add_replica("llm", "b");
	gateway &entry = start_ready();
	evacuate("nowhere");
	evacuate("", "{}");
	_store.put_raw(CONFIGURATION_TOPIC, "\x7f");
	evacuate("a", "\xff not a document");
	wait_for_update();
	ask_often(entry);
	EXPECT_TRUE(near.runs.empty());
	EXPECT_EQ(far.runs.size(), 12U);
}

TEST_F(gateway_evacuation_test, a_configuration_after_an_evacuation_does_not_end_it) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	add_replica("llm", "b");
	gateway &entry = start_ready();
	evacuate("a");
	configure(2);
	wait_for_update();
	_store.forget_history();
	wait_for_update();
	ask_often(entry);
	EXPECT_TRUE(near.runs.empty());
}

} // namespace calicoscale
