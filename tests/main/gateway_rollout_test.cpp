/*
 * calicoscale: gateway_rollout_test.cpp
 * Tests complete gateways during the roll-out of a service to another version.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

constexpr const char *STATUS_TOPIC = "keyed.status";

class gateway_rollout_test : public gateway_fixture {
protected:
	void order(const std::string &p_service, const std::string &p_version, double p_seconds) {
		_store.put(CONFIGURATION_TOPIC, "rollout/" + p_service, json{ { "service", p_service }, { "target_version", p_version }, { "duration_s", p_seconds } }.dump());
	}

	standin_replica &add_version(const std::string &p_service, const std::string &p_version) {
		standin_replica &made = add_replica(p_service);
		made.version = p_version;
		_store.put(ENDPOINT_TOPIC, made.get_name(), made.get_entry(p_service));
		return made;
	}

	std::string get_state(const std::string &p_service) {
		const std::optional<std::string> text = _store.find(STATUS_TOPIC, "rollout/" + p_service);
		return text ? json::parse(*text).at("state").get<std::string>() : "none";
	}

	std::size_t count_runs(const std::string &p_version) const {
		std::size_t count = 0;
		for (const standin_replica &replica : _replicas) {
			count += replica.version == p_version ? replica.runs.size() : 0;
		}
		return count;
	}

	void set_mode(const std::string &p_version, replica_mode p_mode) {
		for (standin_replica &replica : _replicas) {
			replica.mode = replica.version == p_version ? p_mode : replica.mode;
		}
	}

	/** Sends requests to all gateways in turn until the condition is true, for at most 30 s. */
	void ask_until(const std::function<bool()> &p_condition, const std::string &p_path = "/safe/", const std::string &p_headers = "") {
		const instant give_up = event_loop::now() + seconds(30);
		for (std::size_t i = 0; !p_condition(); i++) {
			ASSERT_LT(event_loop::now(), give_up);
			EXPECT_EQ(ask(*_gateways.at(i % _gateways.size()), p_path, "key-1", p_headers)->head.status, 200);
			wait(milliseconds(2));
		}
	}

	void start_two_versions(const std::string &p_service) {
		configure(1);
		for (int i = 0; i < 4; i++) {
			add_version(p_service, "v1");
		}
		for (int i = 0; i < 2; i++) {
			start_ready();
		}
		order(p_service, "v2", 6.0);
		for (int i = 0; i < 4; i++) {
			add_version(p_service, "v2");
		}
	}
};

} // namespace

TEST_F(gateway_rollout_test, a_good_version_is_completed_before_its_deadline) {
	start_two_versions("llm");
	const instant ordered_at = event_loop::now();
	ask_until([this] { return get_state("llm") == "completed"; });
	EXPECT_LT(event_loop::now() - ordered_at, seconds(6));
	EXPECT_GT(count_runs("v2"), 0U);
	const std::size_t before = count_runs("v1");
	set_mode("v1", replica_mode::END);
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(ask(*_gateways.at(i % 2), "/once/")->head.status, 200) << "the present version has stopped";
	}
	EXPECT_EQ(count_runs("v1"), before);
}

TEST_F(gateway_rollout_test, a_version_that_fails_is_rolled_back_and_gets_nothing_more) {
	start_two_versions("llm");
	set_mode("v2", replica_mode::FAIL);
	ask_until([this] { return get_state("llm") == "rolled_back"; });
	EXPECT_LE(static_cast<double>(count_runs("v2")), 0.1 * static_cast<double>(count_runs("v1") + count_runs("v2")) + 50.0);
	wait(milliseconds(500));
	const std::size_t before = count_runs("v2");
	ask_until([this, asked = 0]() mutable { return ++asked > 150; });
	EXPECT_EQ(count_runs("v2"), before);
}

TEST_F(gateway_rollout_test, a_node_that_starts_later_knows_how_an_order_ended) {
	start_two_versions("llm");
	set_mode("v2", replica_mode::FAIL);
	ask_until([this] { return get_state("llm") == "rolled_back"; });
	_gateways.clear();
	wait(milliseconds(100));
	const std::size_t before = count_runs("v2");
	start_ready();
	ask_until([this, asked = 0]() mutable { return ++asked > 150; });
	EXPECT_EQ(count_runs("v2"), before);
	EXPECT_EQ(get_state("llm"), "rolled_back");
}

// Guards against an order whose duration starts from zero again after all nodes were killed and restarted.
TEST_F(gateway_rollout_test, an_order_whose_deadline_passed_while_no_node_ran_is_rolled_back_at_once) {
	start_two_versions("llm");
	ask_until([this] { return get_state("llm") == "in_progress"; });
	_gateways.clear();
	const std::size_t before = count_runs("v2");
	json state = json::parse(*_store.find(STATUS_TOPIC, "rollout/llm"));
	state["learnt_at_ms"] = state.value("learnt_at_ms", event_loop::wall()) - 60000;
	_store.put(STATUS_TOPIC, "rollout/llm", state.dump());
	for (int i = 0; i < 2; i++) {
		start_ready();
	}
	ask_until([this] { return get_state("llm") != "in_progress"; });
	EXPECT_EQ(get_state("llm"), "rolled_back");
	EXPECT_EQ(count_runs("v2"), before);
}

// Guards against an order that stops because its stored state was written by an earlier version of the program.
TEST_F(gateway_rollout_test, an_order_goes_on_from_a_state_without_a_readable_time) {
	start_two_versions("llm");
	ask_until([this] { return get_state("llm") == "in_progress"; });
	_gateways.clear();
	json state = json::parse(*_store.find(STATUS_TOPIC, "rollout/llm"));
	state["learnt_at_ms"] = "yesterday";
	_store.put(STATUS_TOPIC, "rollout/llm", state.dump());
	const std::size_t before = count_runs("v2");
	start_ready();
	ask_until([this, before] { return count_runs("v2") > before; });
	EXPECT_EQ(get_state("llm"), "in_progress");
}

TEST_F(gateway_rollout_test, an_order_that_cannot_be_carried_out_changes_nothing) {
	configure(1);
	standin_replica &present = add_replica("llm");
	gateway &entry = start_ready();
	for (const char *text : { "{}", "no order", R"({"service":"llm","target_version":"v2"})", R"({"service":"llm","target_version":7,"duration_s":5})", R"({"service":"llm","target_version":"v2","duration_s":-1})" }) {
		_store.put(CONFIGURATION_TOPIC, "rollout/llm", text);
	}
	_store.put(CONFIGURATION_TOPIC, "rollout/nobody", R"({"service":"nobody","target_version":"v2","duration_s":1})");
	wait(milliseconds(700));
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	}
	EXPECT_EQ(present.runs.size(), 20U);
	EXPECT_EQ(get_state("llm"), "none");
}

TEST_F(gateway_rollout_test, replicas_of_a_stage_pool_get_calls_by_their_versions_share) {
	configure(1);
	add_replica("llm");
	add_replica("search");
	add_version("encode", "v1");
	start_ready();
	order("encode", "v2", 6.0);
	standin_replica &target = add_version("encode", "v2");
	const std::string headers = "X-Segments: 1,1\r\nX-Segment-Key: k\r\n";
	const instant ordered_at = event_loop::now();
	ask_until([ordered_at] { return event_loop::now() - ordered_at > seconds(3); }, "/stream/staged/x", headers);
	const std::size_t on_trial = target.stage_items.size();
	EXPECT_LE(static_cast<double>(on_trial), 0.1 * static_cast<double>(_next_attempt));
	ask_until([this] { return get_state("encode") == "completed"; }, "/stream/staged/x", headers);
	EXPECT_GT(target.stage_items.size(), on_trial);
}

} // namespace calicoscale
