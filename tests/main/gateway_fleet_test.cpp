/*
 * calicoscale: gateway_fleet_test.cpp
 * Tests gateways that work together, with an unreachable store, and at their planned stop.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"
#include "tests/main/raw_server.h"

#include <thread>

namespace calicoscale {

namespace {

class gateway_fleet_test : public gateway_fixture {};

} // namespace

TEST_F(gateway_fleet_test, pieces_of_two_nodes_meet_in_one_dispatcher) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	standin_replica &search = add_replica("search");
	gateway &one = start_ready();
	gateway &two = start_ready();
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 12; i++) {
		results.push_back(send(i % 2 == 0 ? one : two, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"));
	}
	run_until([&results] { return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	for (const std::shared_ptr<caller_result> &result : results) {
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
	EXPECT_EQ(encode.stage_items.size(), 12U);
	EXPECT_EQ(search.stage_items.size(), 12U);
	EXPECT_LT(encode.stage_calls, 12U);
}

TEST_F(gateway_fleet_test, a_large_pool_has_several_dispatchers_and_each_result_is_made_and_released_once) {
	constexpr int REPLICAS = 72;
	configure(1);
	add_replica("llm");
	for (int i = 0; i < REPLICAS; i++) {
		add_replica("encode");
	}
	standin_replica &search = add_replica("search");
	start_ready();
	start_ready();
	start_ready();
	wait(milliseconds(900));
	std::size_t dispatching = 0;
	const auto count_dispatching = [this, &dispatching] {
		const auto is_dispatching = [](const std::unique_ptr<gateway> &p_node) { return p_node->get_accepted_work_count() > 0; };
		dispatching = std::max(dispatching, static_cast<std::size_t>(std::count_if(_gateways.begin(), _gateways.end(), is_dispatching)));
	};
	// Counts at each stage call, because all work may start and complete between two turns of a busy loop.
	for (standin_replica &replica : _replicas) {
		replica.on_stage_call = count_dispatching;
	}
	std::vector<std::shared_ptr<caller_result>> results;
	for (std::size_t i = 0; i < 60; i++) {
		results.push_back(send(*_gateways[i % 3], "/stream/staged/x", "key-1", "X-Segments: 2,1\r\nX-Segment-Key: k\r\n"));
	}
	run_until([&results, &count_dispatching] {
		count_dispatching();
		return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); });
	});
	for (const std::shared_ptr<caller_result> &result : results) {
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
	wait(milliseconds(300));
	std::size_t made = 0;
	std::size_t left = 0;
	for (const standin_replica &replica : _replicas) {
		made += &replica == &search ? 0 : replica.stage_items.size();
		left += replica.results.size();
	}
	EXPECT_EQ(made, 120U);
	EXPECT_EQ(left, 0U) << "each is released at its maker";
	EXPECT_GE(dispatching, 2U);
}

TEST_F(gateway_fleet_test, work_handed_to_a_node_that_dies_is_done_all_the_same) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	gateway &one = start_ready();
	start_ready();
	start_ready();
	ask(one, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
	wait(milliseconds(600));
	encode.hold_stages = true;
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 6; i++) {
		results.push_back(send(one, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"));
	}
	run_until([&encode] { return encode.get_held_stages() > 0; });
	_gateways.pop_back();
	_gateways.pop_back();
	wait(milliseconds(100));
	encode.run_held_stages();
	run_until([&results] { return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	for (const std::shared_ptr<caller_result> &result : results) {
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
}

TEST_F(gateway_fleet_test, a_request_at_an_endpoint_of_a_zone_that_falls_silent_goes_elsewhere_at_once) {
	configure(1);
	standin_replica &far = add_replica("llm", "b");
	gateway &one = start_ready();
	_zone = "b";
	start_ready();
	wait(milliseconds(600));
	far.mode = replica_mode::HOLD;
	const std::shared_ptr<caller_result> result = send(one, "/stream/again/x");
	run_until([&far] { return far.runs.size() == 1U; });
	standin_replica &near = add_replica("llm", "a");
	wait(milliseconds(1300));
	EXPECT_FALSE(result->end) << "the endpoint is only slow as long as a node of its zone is heard";
	_gateways.pop_back();
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->body, WHOLE_STREAM);
	EXPECT_EQ(near.runs.size(), 1U);
	EXPECT_TRUE(far.is_held_gone());
}

TEST_F(gateway_fleet_test, what_a_stopping_node_handed_over_comes_back_to_it) {
	// One of the two nodes dispatches the pool. Each node stops once, so that one of them has handed work to the other.
	for (const std::size_t stopping : { 0U, 1U }) {
		_gateways.clear();
		configure(1 + static_cast<int>(stopping));
		add_replica("llm");
		standin_replica &encode = add_replica("encode");
		standin_replica &search = add_replica("search");
		encode.hold_stages = true;
		start_ready();
		start_ready();
		wait(milliseconds(600));
		std::vector<std::shared_ptr<caller_result>> results;
		for (int i = 0; i < 4; i++) {
			results.push_back(send(*_gateways[stopping], "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"));
		}
		run_until([&encode] { return encode.get_held_stages() > 0; });
		_gateways[stopping]->stop();
		EXPECT_EQ(ask_ready(*_gateways[stopping]), 503);
		wait(milliseconds(600));
		encode.run_held_stages();
		run_until([&results] { return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
		for (const std::shared_ptr<caller_result> &result : results) {
			EXPECT_EQ(result->body, WHOLE_STREAM) << "node " << stopping << " stopped";
		}
		EXPECT_EQ(encode.stage_items.size(), 4U) << "nothing was made twice";
		EXPECT_EQ(search.stage_items.size(), 4U);
		for (standin_replica &replica : _replicas) {
			_store.drop(ENDPOINT_TOPIC, replica.get_name());
		}
	}
}

TEST_F(gateway_fleet_test, the_larger_nodes_dispatch_and_the_others_when_none_is_left) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	_cores = 0.12;
	gateway &small = start_ready();
	start_ready();
	start_ready();
	_cores = 0.5;
	gateway &large = start_ready();
	wait(milliseconds(600));
	encode.hold_stages = true;
	const std::shared_ptr<caller_result> first = send(small, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
	run_until([&encode] { return encode.get_held_stages() > 0; });
	EXPECT_EQ(large.get_accepted_work_count(), 1U) << "whatever the hash of the names says";
	_gateways.pop_back();
	wait(milliseconds(100));
	encode.run_held_stages();
	run_until([&first] { return first->end.has_value(); });
	EXPECT_EQ(first->body, WHOLE_STREAM);
}

TEST_F(gateway_fleet_test, smaller_nodes_link_to_the_hubs_alone_and_are_served_by_them) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	_cores = 0.5;
	start_ready();
	start_ready();
	_cores = 0.12;
	for (int i = 0; i < 5; i++) {
		start_ready();
	}
	// A link that was only used to find the hubs is closed after ten seconds; the hubs report the number of nodes.
	run_until([this] { return std::all_of(_gateways.begin() + 2, _gateways.end(), [](const std::unique_ptr<gateway> &p_node) { return p_node->get_link_count() == 2 && p_node->get_live_count() == 7; }); });
	for (std::size_t i = 2; i < _gateways.size(); i++) {
		EXPECT_EQ(ask(*_gateways[i], "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n")->body, WHOLE_STREAM);
		EXPECT_EQ(_gateways[i]->get_accepted_work_count(), 0U);
	}
	EXPECT_EQ(engine.runs.size(), 5U);
	EXPECT_EQ(encode.stage_items.size(), 5U);
}

TEST_F(gateway_fleet_test, what_a_stopping_hub_holds_is_not_released) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	standin_replica &encode = add_replica("encode");
	standin_replica &search = add_replica("search");
	engine.mode = replica_mode::HOLD;
	start_ready();
	start_ready();
	start_ready();
	wait(milliseconds(600));
	// Each node dispatches some pool or none, and keeps results of pools that other nodes dispatch.
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		send(*entry, "/stream/staged/x", "key-1", "X-Segments: 2,2\r\nX-Segment-Key: k\r\n");
	}
	run_until([&engine] { return engine.runs.size() == 3; });
	run_until([&encode, &search] { return encode.results.size() + search.results.size() == 6U; });
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		entry->stop();
	}
	// Longer than a node may be silent and the results of a failed node are kept, but shorter than the lifetime of the results.
	wait(milliseconds(1700));
	EXPECT_EQ(encode.results.size() + search.results.size(), 6U);
}

TEST_F(gateway_fleet_test, smaller_nodes_go_on_when_their_hub_dies) {
	configure(1);
	add_replica("llm");
	add_replica("encode");
	add_replica("search");
	_cores = 0.12;
	for (int i = 0; i < 4; i++) {
		start_ready();
	}
	_cores = 0.5;
	start_ready();
	wait(milliseconds(1000));
	_gateways.pop_back();
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		const std::shared_ptr<caller_result> result = ask(*entry, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
}

TEST_F(gateway_fleet_test, results_of_a_node_that_dies_are_released_before_their_time_to_live) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	standin_replica &encode = add_replica("encode");
	standin_replica &search = add_replica("search");
	engine.mode = replica_mode::HOLD;
	for (int i = 0; i < 3; i++) {
		start_ready();
	}
	wait(milliseconds(600));
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		send(*entry, "/stream/staged/x", "key-1", "X-Segments: 2,2\r\nX-Segment-Key: k\r\n");
	}
	run_until([&engine] { return engine.runs.size() == 3; });
	// Each request keeps the results of its last stage.
	run_until([&encode, &search] { return encode.results.size() + search.results.size() == 6U; });
	_gateways.pop_back();
	run_until([&encode, &search] { return encode.results.size() + search.results.size() == 4U; });
}

TEST_F(gateway_fleet_test, a_node_that_starts_while_the_store_is_away_learns_from_its_peers) {
	configure(3);
	standin_replica &replica = add_replica("llm");
	start_ready();
	_store.set_away(true);
	gateway &late = start_ready();
	EXPECT_EQ(ask(late, "/once/")->head.status, 200);
	EXPECT_EQ(replica.runs.size(), 1U);
}

TEST_F(gateway_fleet_test, endpoints_that_lapsed_while_the_store_was_away_stay_in_use) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	_store.set_away(true);
	wait(milliseconds(3200));
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	_store.drop(ENDPOINT_TOPIC, replica.get_name());
	_store.set_away(false);
	const std::size_t calls = _store.get_calls();
	run_until([this, calls] { return _store.get_calls() >= calls + 4; });
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	run_until([this, &entry] { return ask(entry, "/once/")->head.status == 503; });
}

TEST_F(gateway_fleet_test, a_node_that_the_store_turns_away_learns_from_its_peers_what_went) {
	standin_store turning_away(_loop);
	configure(1);
	standin_replica &replica = add_replica("llm");
	turning_away.put(CONFIGURATION_TOPIC, "config", make_configuration(1).dump());
	turning_away.put(ENDPOINT_TOPIC, replica.get_name(), replica.get_entry("llm"));
	start_ready();
	gateway &apart = start_ready(turning_away);
	turning_away.set_away(true);
	EXPECT_EQ(ask(apart, "/once/")->head.status, 200);
	_store.drop(ENDPOINT_TOPIC, replica.get_name());
	run_until([this, &apart] { return ask(apart, "/once/")->head.status == 503; });
}

TEST_F(gateway_fleet_test, a_store_that_did_not_answer_is_read_again_beside_the_read_that_waits) {
	configure(1);
	add_replica("llm");
	gateway &entry = start_ready();
	const std::size_t calls = _store.get_calls();
	_store.set_mute(true);
	run_until([this, calls] { return _store.get_calls() > calls; });
	_store.set_mute(false);
	standin_replica &late = add_replica("llm");
	run_until([this, &entry, &late] {
		ask(entry, "/once/");
		return !late.runs.empty();
	});
	EXPECT_GT(_store.count_unanswered(), 0U) << "the store may still answer the first read, so it is not given up yet";
}

TEST_F(gateway_fleet_test, a_store_that_stays_silent_is_read_again_and_again) {
	configure(1);
	add_replica("llm");
	start_ready();
	_store.set_mute(true);
	const std::size_t calls = _store.get_calls();
	run_until([this, calls] { return _store.get_calls() >= calls + 5; });
	EXPECT_GT(_store.count_unanswered(), 1U) << "the next read does not wait until all before it have timed out";
}

TEST_F(gateway_fleet_test, one_node_of_a_zone_reads_the_store_for_the_others) {
	configure(1);
	add_replica("llm");
	for (int i = 0; i < 4; i++) {
		start_ready();
	}
	wait(milliseconds(2500));
	const std::size_t before = _store.get_calls();
	wait(milliseconds(3600));
	// A single node makes four reads of the endpoints and three of the configuration in this time.
	EXPECT_LE(_store.get_calls() - before, 10U);
}

TEST_F(gateway_fleet_test, nodes_that_do_not_read_learn_of_endpoints_and_versions) {
	configure(1);
	add_replica("llm");
	for (int i = 0; i < 3; i++) {
		start_ready();
	}
	wait(milliseconds(2500));
	configure(2);
	standin_replica &late = add_replica("llm");
	json changed = make_configuration(3);
	changed["tenants"][0]["api_keys"] = { "key-of-3" };
	_store.put(CONFIGURATION_TOPIC, "config", changed.dump());
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		run_until([this, &entry] { return ask(*entry, "/safe/", "key-of-3")->head.status == 200; });
		late.runs.clear();
		run_until([this, &entry, &late] {
			ask(*entry, "/safe/", "key-of-3");
			return !late.runs.empty();
		});
	}
	_store.drop(ENDPOINT_TOPIC, late.get_name());
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		run_until([this, &entry, &late] {
			late.runs.clear();
			for (int i = 0; i < 4; i++) {
				ask(*entry, "/safe/", "key-of-3");
			}
			return late.runs.empty();
		});
	}
}

/** The node that reads the store for its zone crashes without notice; the remaining nodes must read in its place. */
TEST_F(gateway_fleet_test, when_the_reader_of_a_zone_is_lost_the_others_go_on) {
	configure(1);
	add_replica("llm");
	for (int i = 0; i < 3; i++) {
		start_ready();
	}
	wait(milliseconds(2500));
	while (_gateways.size() > 1) {
		_gateways.pop_back();
		json changed = make_configuration(10 - static_cast<int>(_gateways.size()));
		const std::string key = "key-" + std::to_string(_gateways.size()) + "-left";
		changed["tenants"][0]["api_keys"] = { key };
		_store.put(CONFIGURATION_TOPIC, "config", changed.dump());
		standin_replica &late = add_replica("llm");
		run_until([this, &key] { return ask(*_gateways.front(), "/safe/", key)->head.status == 200; });
		run_until([this, &key, &late] {
			ask(*_gateways.front(), "/safe/", key);
			return !late.runs.empty();
		});
	}
}

TEST_F(gateway_fleet_test, nodes_that_start_without_a_configuration_do_not_take_each_others_zones_for_cut_off) {
	start_gateway();
	_zone = "b";
	gateway &two = start_gateway();
	run_until([&two] { return two.get_live_count() == 2; });
	const instant until = event_loop::now() + milliseconds(1500);
	bool was_alone = false;
	run_until([&two, &was_alone, until] {
		was_alone = was_alone || two.get_live_count() < 2;
		return event_loop::now() > until;
	});
	EXPECT_FALSE(was_alone);
}

TEST_F(gateway_fleet_test, what_the_endpoint_at_an_address_rejects_is_not_sent_there_by_others) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	_store.put(ENDPOINT_TOPIC, "i-gone", replica.get_entry("llm"));
	_store.drop(ENDPOINT_TOPIC, replica.get_name());
	gateway &one = start_ready();
	gateway &other = start_ready();
	wait(milliseconds(600));
	EXPECT_EQ(ask(one, "/once/")->head.status, 503);
	wait(milliseconds(600));
	EXPECT_EQ(ask(other, "/once/")->head.status, 503);
	EXPECT_EQ(replica.meant_for_others, 1U);
}

TEST_F(gateway_fleet_test, history_that_is_gone_is_read_anew) {
	configure(1);
	standin_replica &old = add_replica("llm");
	gateway &entry = start_ready();
	_store.drop(ENDPOINT_TOPIC, old.get_name());
	standin_replica &fresh = add_replica("llm");
	_store.forget_history();
	run_until([this, &entry, &fresh] { ask(entry, "/once/"); return !fresh.runs.empty(); });
}

TEST_F(gateway_fleet_test, a_planned_stop_cuts_nothing) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	const std::shared_ptr<caller_result> running = send(entry, "/once/");
	run_until([&replica] { return replica.runs.size() == 1; });
	entry.stop();
	EXPECT_EQ(ask_ready(entry), 503);
	replica.mode = replica_mode::ANSWER;
	const std::shared_ptr<caller_result> late = ask(entry, "/once/");
	EXPECT_EQ(late->head.status, 200) << "connections that the balancer still sends are served";
	EXPECT_EQ(late->get("Connection"), "close");
	run_until([&running] { return running->end.has_value(); });
	EXPECT_EQ(running->head.status, 504) << "its own deadline ended it, not the stop";
}

TEST_F(gateway_fleet_test, a_stopping_node_serves_what_still_comes_while_something_runs) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	entry.stop();
	wait(milliseconds(2000));
	replica.mode = replica_mode::HOLD;
	const std::shared_ptr<caller_result> running = send(entry, "/once/");
	run_until([&replica] { return replica.runs.size() == 1; });
	replica.mode = replica_mode::ANSWER;
	wait(milliseconds(1200));
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	run_until([&running] { return running->end.has_value(); });
}

TEST_F(gateway_fleet_test, a_stopping_node_refuses_what_might_outlast_it) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	entry.stop();
	wait(milliseconds(2000));
	const std::shared_ptr<caller_result> running = send(entry, "/once/");
	wait(milliseconds(1200));
	replica.mode = replica_mode::ANSWER;
	const std::shared_ptr<caller_result> late = send_lengthy(entry);
	run_until([&late] { return late->end.has_value(); });
	EXPECT_EQ(late->head.status, 503);
	EXPECT_NE(late->get("Retry-After"), "");
	EXPECT_EQ(replica.runs.size(), 1U) << "the refused request ran";
	run_until([&running] { return running->end.has_value(); });
}

TEST_F(gateway_fleet_test, a_node_that_ends_answers_what_it_could_not_finish) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	entry.stop();
	const std::shared_ptr<caller_result> running = send_lengthy(entry);
	run_until([&running] { return running->end.has_value(); });
	EXPECT_EQ(running->end, channel_end::COMPLETE);
	EXPECT_EQ(running->head.status, 502) << "it may have run";
	EXPECT_FALSE(entry.has_stopped()) << "it had all its grace";
	run_until([&entry] { return entry.has_stopped(); });
}

namespace {

/** Stalls the process for the given number of milliseconds while one node runs work for another. */
class held_up_nodes_test : public gateway_fixture, public ::testing::WithParamInterface<int> {};

} // namespace

TEST_P(held_up_nodes_test, ask_again_for_work_that_was_dropped_meanwhile) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	gateway &one = start_ready();
	gateway &two = start_ready();
	const std::string stages = "X-Segments: 1,1\r\nX-Segment-Key: k\r\n";
	ask(one, "/stream/staged/x", "key-1", stages);
	wait(milliseconds(900));
	encode.hold_stages = true;
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 6; i++) {
		results.push_back(send(i % 2 == 0 ? one : two, "/stream/staged/x", "key-1", stages));
	}
	run_until([&encode] { return encode.get_held_stages() > 0; });
	wait(milliseconds(60));
	std::this_thread::sleep_for(milliseconds(GetParam()));
	encode.hold_stages = false;
	encode.run_held_stages();
	for (const std::shared_ptr<caller_result> &result : results) {
		run_until([&result] { return result->end.has_value(); });
		EXPECT_EQ(result->head.status, 200);
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
}

// Around the stall after which a node drops work handed to it, and below the silence after which others consider it failed.
INSTANTIATE_TEST_SUITE_P(pauses, held_up_nodes_test, ::testing::Values(300, 620, 650, 680, 720));

// Guards against a fleet in two parts: the nodes that stay know the seeds as leaving, and seeds that start together find each other only.
TEST_F(gateway_fleet_test, a_fleet_whose_seeds_are_restarted_together_is_one_again) {
	constexpr std::size_t SEEDS = 2;
	constexpr std::size_t NODES = 5;
	configure(1);
	add_replica("llm");
	const auto is_one = [this] { return std::all_of(_gateways.begin(), _gateways.end(), [](const std::unique_ptr<gateway> &p_node) { return p_node->get_live_count() == NODES; }); };
	_most_seeds = SEEDS;
	const auto switch_off_names = [](gateway_settings &r_settings) { r_settings.mechanisms.switch_off(mechanism::NAMED_CONTACTS); };
	_adjust_settings = switch_off_names;
	for (std::size_t i = 0; i < NODES; i++) {
		start_ready();
	}
	run_until(is_one);
	std::vector<network_address> seeds;
	for (std::size_t i = 0; i < SEEDS; i++) {
		seeds.push_back(_gateways[i]->get_link_address());
		_gateways[i]->stop();
	}
	run_until([this] { return std::all_of(_gateways.begin(), _gateways.begin() + SEEDS, [](const std::unique_ptr<gateway> &p_node) { return p_node->has_stopped(); }); });
	_gateways.erase(_gateways.begin(), _gateways.begin() + SEEDS);
	_first_seeds = seeds;
	for (std::size_t i = 0; i < SEEDS; i++) {
		_adjust_settings = [&seeds, i, switch_off_names](gateway_settings &r_settings) {
			r_settings.vm = "n" + std::to_string(i);
			r_settings.link_address = seeds[i];
			switch_off_names(r_settings);
		};
		start_gateway();
	}
	run_until(is_one);
}

// Guards against a fleet in two parts whose settings name no common node: seeds are replaced, and each side knows only its own.
TEST_F(gateway_fleet_test, a_fleet_whose_seeds_are_replaced_by_nodes_that_name_themselves_is_one_again) {
	constexpr std::size_t SEEDS = 3;
	constexpr std::size_t NODES = 6;
	configure(1);
	add_replica("llm");
	const auto is_one = [this] { return std::all_of(_gateways.begin(), _gateways.end(), [](const std::unique_ptr<gateway> &p_node) { return p_node->get_live_count() == NODES; }); };
	_most_seeds = SEEDS;
	for (std::size_t i = 0; i < NODES; i++) {
		_zone = std::string(1, static_cast<char>('a' + i % 3));
		start_ready();
	}
	run_until(is_one);
	for (std::size_t i = 0; i < SEEDS; i++) {
		_gateways[i]->stop();
	}
	run_until([this] { return std::all_of(_gateways.begin(), _gateways.begin() + SEEDS, [](const std::unique_ptr<gateway> &p_node) { return p_node->has_stopped(); }); });
	_gateways.erase(_gateways.begin(), _gateways.begin() + SEEDS);
	std::vector<network_address> replacements;
	for (std::size_t i = 0; i < SEEDS; i++) {
		// Closed again, so that a gateway can use its port.
		replacements.push_back(raw_server(_loop).get_address());
	}
	for (std::size_t i = 0; i < SEEDS; i++) {
		_adjust_settings = [&replacements, i](gateway_settings &r_settings) {
			r_settings.vm = "replacement" + std::to_string(i);
			r_settings.zone = std::string(1, static_cast<char>('a' + i));
			r_settings.link_address = replacements[i];
			r_settings.peers = replacements;
		};
		start_gateway();
	}
	run_until(is_one);
}

} // namespace calicoscale
