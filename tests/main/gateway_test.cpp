/*
 * calicoscale: gateway_test.cpp
 * Whole gateways on real sockets, with stand-ins for the platform's store and replicas.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_channels.h"
#include "main/gateway.h"
#include "tests/standins/standin_replica.h"
#include "tests/standins/standin_store.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <list>

namespace calicoscale {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *CONFIGURATION_TOPIC = "keyed.op";
constexpr const char *ENDPOINT_TOPIC = "keyed.servers";

/** What a caller got. */
struct caller_result {
	http_head head;
	std::string body;
	std::optional<channel_end> end;

	std::string get(std::string_view p_name) const {
		const std::string *value = head.find(p_name);
		return value == nullptr ? std::string() : *value;
	}
};

json make_configuration(int p_version) {
	const json limits{ { "max_header_bytes", 16384 }, { "max_body_bytes", 4096 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
	const json stages = json::array({ { { "service", "encode" }, { "since_rev", json::array() }, { "size_bytes", 1000 } }, { { "service", "search" }, { "since_rev", { 0 } }, { "size_bytes", 1000 } } });
	// The route that may run once names two endpoints, so that only its kind keeps it from running twice.
	const auto route = [](const char *p_path, const char *p_kind, int p_attempts) {
		return json{ { "name", p_path }, { "host", "h.example" }, { "path_prefix", p_path }, { "route_kind", p_kind }, { "timeout_ms", 3000 }, { "slo_ms", 2000 }, { "priority", 1 }, { "service", "llm" }, { "max_attempts", p_attempts }, { "public", false } };
	};
	json once = route("/once/", "non_idempotent", 2);
	json safe = route("/safe/", "idempotent", 2);
	json open = route("/open/", "idempotent", 1);
	open["public"] = true;
	json hasty = route("/hasty/", "non_idempotent", 1);
	hasty["timeout_ms"] = 300;
	json lengthy = route("/lengthy/", "non_idempotent", 1);
	lengthy["timeout_ms"] = 9000;
	json stream = route("/stream/", "streaming", 1);
	json resumable = route("/stream/again/", "streaming", 2);
	resumable["resumable"] = true;
	json staged = route("/stream/staged/", "streaming", 1);
	staged["stages"] = stages;
	const json pool{ { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 20.0 }, { "item_ms", 1.0 }, { "headroom_mb", 1.0 }, { "handle_ttl_s", 4.0 } };
	const json services = json::array({ { { "name", "llm" }, { "max_conns", 50 } }, { { "name", "encode" }, { "segments", pool } }, { { "name", "search" }, { "segments", pool } } });
	const json customers = json::array({ { { "name", "hearth" }, { "api_keys", { "key-1", "key-2" } } } });
	return json{ { "version", p_version }, { "routes", { once, safe, open, hasty, lengthy, stream, resumable, staged } }, { "services", services }, { "limits", limits }, { "tenants", customers } };
}

class gateway_test : public ::testing::Test {
protected:
	event_loop _loop;
	standin_store _store{ _loop };
	std::list<standin_replica> _replicas;
	std::vector<std::unique_ptr<gateway>> _gateways;
	std::unique_ptr<endpoint_channels> _callers;
	int _next_attempt = 1;
	double _cores = 1.0; ///< Of the gateways started from now on.

	void SetUp() override { _callers = std::make_unique<endpoint_channels>(_loop); }

	void run_until(const std::function<bool()> &p_condition) {
		const instant give_up = event_loop::now() + seconds(30);
		while (!p_condition()) {
			ASSERT_LT(event_loop::now(), give_up);
			timer stop(_loop, [this] { _loop.stop(); });
			stop.set(milliseconds(1));
			_loop.run();
		}
	}

	standin_replica &add_replica(const std::string &p_service) {
		_replicas.emplace_back(_loop, "i-" + std::to_string(_replicas.size()));
		_store.put(ENDPOINT_TOPIC, _replicas.back().get_name(), _replicas.back().get_entry(p_service));
		return _replicas.back();
	}

	void configure(int p_version) { _store.put(CONFIGURATION_TOPIC, "config", make_configuration(p_version).dump()); }

	gateway &start_gateway() { return start_gateway(_store); }

	gateway &start_gateway(const standin_store &p_store) {
		gateway_settings settings;
		settings.vm = "n" + std::to_string(_gateways.size());
		settings.zone = "a";
		for (network_address *address : { &settings.caller_address, &settings.readiness_address, &settings.link_address }) {
			*address = network_address{ "127.0.0.1", 0 };
		}
		settings.store_address = p_store.get_address();
		settings.cores = _cores;
		for (const std::unique_ptr<gateway> &other : _gateways) {
			settings.peers.push_back(other->get_link_address());
		}
		_gateways.push_back(std::make_unique<gateway>(_loop, settings));
		_gateways.back()->start();
		return *_gateways.back();
	}

	/** A gateway that has read configuration and endpoints. */
	gateway &start_ready() { return start_ready(_store); }

	gateway &start_ready(const standin_store &p_store) {
		gateway &made = start_gateway(p_store);
		run_until([this, &made] { return ask_ready(made) == 200; });
		return made;
	}

	int ask_ready(const gateway &p_gateway) {
		const std::shared_ptr<caller_result> result = send_bytes(p_gateway.get_readiness_address(), "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
		run_until([&result] { return result->end.has_value(); });
		return result->head.status;
	}

	std::shared_ptr<caller_result> send_bytes(const network_address &p_to, const std::string &p_bytes, exchange_id *r_id = nullptr) {
		const std::shared_ptr<caller_result> result = std::make_shared<caller_result>();
		channel_request request;
		request.endpoint = to_string(p_to);
		request.to = p_to;
		request.bytes = p_bytes;
		const exchange_id id = _callers->start(std::move(request), channel_hooks{ [result](const http_head &p_head) { result->head = p_head; }, [result](std::string_view p_bytes_in) { result->body.append(p_bytes_in); }, [result](channel_end p_end) { result->end = p_end; } });
		if (r_id != nullptr) {
			*r_id = id;
		}
		return result;
	}

	std::shared_ptr<caller_result> send(const gateway &p_gateway, const std::string &p_path, const std::string &p_key = "key-1", const std::string &p_headers = "", exchange_id *r_id = nullptr) {
		const std::string attempt = "r" + std::to_string(_next_attempt++);
		std::string text = "POST " + p_path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 2500\r\n" + p_headers;
		text += p_key.empty() ? "" : "Authorization: Bearer " + p_key + "\r\n";
		return send_bytes(p_gateway.get_caller_address(), text + "Content-Length: 4\r\n\r\nbody", r_id);
	}

	std::shared_ptr<caller_result> ask(const gateway &p_gateway, const std::string &p_path, const std::string &p_key = "key-1", const std::string &p_headers = "") {
		const std::shared_ptr<caller_result> result = send(p_gateway, p_path, p_key, p_headers);
		run_until([&result] { return result->end.has_value(); });
		return result;
	}
};

const std::string WHOLE_STREAM = "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\nid: 3\ndata: token3\n\nid: 4\ndata: token4\n\n";

} // namespace

TEST_F(gateway_test, passes_a_request_on_as_it_came_and_its_answer_back) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	const std::shared_ptr<caller_result> result = ask(entry, "/once/a%20b?x=1", "key-1", "X-Custom: kept\r\nX-Tenant: forged\r\n");
	EXPECT_EQ(result->head.status, 200);
	EXPECT_EQ(result->body, "made by i-0");
	EXPECT_EQ(result->get("X-Replica-Seal"), "i-0");
	ASSERT_EQ(replica.runs.size(), 1U);
	const seen_request &seen = replica.runs[0];
	EXPECT_EQ(seen.head.target, "/once/a%20b?x=1");
	EXPECT_EQ(seen.body, "body");
	EXPECT_EQ(seen.get("X-Attempt-Id"), "r1");
	EXPECT_EQ(seen.get("X-Custom"), "kept");
	EXPECT_EQ(seen.get("X-Tenant"), "hearth");
	EXPECT_EQ(seen.get("Authorization"), "");
	EXPECT_LE(std::stoi(seen.get("X-Deadline-Ms")), 2500);
}

TEST_F(gateway_test, refuses_what_no_configuration_allows_and_says_not_ready_without_one) {
	gateway &entry = start_gateway();
	EXPECT_EQ(ask_ready(entry), 503);
	EXPECT_EQ(ask(entry, "/once/")->head.status, 503) << "a node without a configuration knows nothing to deny";
	standin_replica &replica = add_replica("llm");
	configure(1);
	run_until([this, &entry] { return ask_ready(entry) == 200; });
	EXPECT_EQ(ask(entry, "/unknown/")->head.status, 404);
	EXPECT_EQ(ask(entry, "/once/", "")->head.status, 401);
	EXPECT_EQ(ask(entry, "/once/", "key-x")->head.status, 401);
	EXPECT_TRUE(replica.runs.empty());
	EXPECT_EQ(ask(entry, "/open/", "")->head.status, 200);
}

TEST_F(gateway_test, a_newer_configuration_is_in_force_and_an_older_one_never_again) {
	configure(5);
	add_replica("llm");
	gateway &entry = start_ready();
	json newer = make_configuration(9);
	newer["tenants"][0]["api_keys"] = { "key-2" };
	_store.put(CONFIGURATION_TOPIC, "config", newer.dump());
	run_until([this, &entry] { return ask(entry, "/once/", "key-1")->head.status == 401; });
	configure(7);
	_store.put(CONFIGURATION_TOPIC, "config", "{broken");
	const std::size_t calls = _store.get_calls();
	run_until([this, calls] { return _store.get_calls() >= calls + 3; });
	EXPECT_EQ(ask(entry, "/once/", "key-1")->head.status, 401);
	EXPECT_EQ(ask(entry, "/once/", "key-2")->head.status, 200);
}

TEST_F(gateway_test, what_may_run_once_is_not_repeated_and_what_may_is) {
	configure(1);
	standin_replica &bad = add_replica("llm");
	gateway &entry = start_ready();
	bad.mode = replica_mode::RESET_AFTER_RUN;
	EXPECT_EQ(ask(entry, "/once/")->head.status, 502);
	EXPECT_EQ(bad.runs.size(), 1U);
	bad.mode = replica_mode::FAIL;
	const std::shared_ptr<caller_result> failed = ask(entry, "/once/");
	EXPECT_EQ(failed->head.status, 500);
	EXPECT_EQ(failed->get("X-Replica-Seal"), "i-0");
	EXPECT_EQ(bad.runs.size(), 2U);
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 500);
	EXPECT_EQ(bad.runs.size(), 4U) << "twice, as its route allows";
}

TEST_F(gateway_test, a_refusal_promises_that_nothing_ran) {
	configure(1);
	standin_replica &full = add_replica("llm");
	gateway &entry = start_ready();
	full.mode = replica_mode::SHED;
	const std::shared_ptr<caller_result> result = ask(entry, "/once/");
	EXPECT_EQ(result->head.status, 503);
	EXPECT_FALSE(result->get("Retry-After").empty());
	EXPECT_EQ(result->get("X-Replica-Seal"), "");
	EXPECT_TRUE(full.runs.empty());
}

TEST_F(gateway_test, an_answer_without_its_seal_is_no_answer) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::WITHOUT_SEAL;
	const std::shared_ptr<caller_result> result = ask(entry, "/once/");
	EXPECT_EQ(result->head.status, 502);
	EXPECT_EQ(result->body, "");
}

TEST_F(gateway_test, a_route_is_held_no_longer_than_its_timeout) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	EXPECT_EQ(ask(entry, "/hasty/")->head.status, 504);
	run_until([&replica] { return replica.is_held_gone(); });
}

TEST_F(gateway_test, a_caller_that_goes_takes_its_request_with_it) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	exchange_id id = 0;
	send(entry, "/safe/", "key-1", "", &id);
	run_until([&replica] { return !replica.runs.empty(); });
	_callers->cancel(id);
	run_until([&replica] { return replica.is_held_gone(); });
	EXPECT_EQ(replica.runs.size(), 1U);
}

TEST_F(gateway_test, a_leaving_replica_gets_nothing_more) {
	configure(1);
	standin_replica &leaving = add_replica("llm");
	gateway &entry = start_ready();
	standin_replica &staying = add_replica("llm");
	_store.put(ENDPOINT_TOPIC, leaving.get_name(), leaving.get_entry("llm", true));
	run_until([this, &entry, &staying] { ask(entry, "/once/"); return !staying.runs.empty(); });
	const std::size_t before = leaving.runs.size();
	_store.put(ENDPOINT_TOPIC, leaving.get_name(), leaving.get_entry("llm", false));
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(ask(entry, "/once/")->body, "made by " + staying.get_name());
	}
	EXPECT_EQ(leaving.runs.size(), before);
}

TEST_F(gateway_test, an_address_that_passed_to_another_replica_runs_nothing) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	_store.put(ENDPOINT_TOPIC, "i-gone", replica.get_entry("llm"));
	_store.drop(ENDPOINT_TOPIC, replica.get_name());
	gateway &entry = start_ready();
	EXPECT_EQ(ask(entry, "/once/")->head.status, 503);
	EXPECT_TRUE(replica.runs.empty());
}

TEST_F(gateway_test, passes_a_stream_and_breaks_it_visibly_when_it_breaks) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	EXPECT_EQ(ask(entry, "/stream/x")->body, WHOLE_STREAM);
	replica.mode = replica_mode::BREAK_STREAM;
	const std::shared_ptr<caller_result> broken = ask(entry, "/stream/x");
	EXPECT_EQ(broken->end, channel_end::BROKEN);
	EXPECT_EQ(broken->body, "id: 1\ndata: token1\n\n") << "no half event";
	EXPECT_EQ(replica.runs.size(), 2U);
}

TEST_F(gateway_test, takes_a_stream_up_where_it_broke_if_its_route_allows) {
	configure(1);
	standin_replica &first = add_replica("llm");
	gateway &entry = start_ready();
	first.mode = replica_mode::BREAK_STREAM;
	const std::shared_ptr<caller_result> result = ask(entry, "/stream/again/x");
	ASSERT_EQ(first.runs.size(), 2U);
	EXPECT_EQ(result->end, channel_end::COMPLETE);
	EXPECT_EQ(result->body, WHOLE_STREAM);
	EXPECT_EQ(first.runs[1].get("Last-Event-Id"), "1");
}

TEST_F(gateway_test, makes_stages_hands_over_their_results_and_releases_them) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	standin_replica &encode = add_replica("encode");
	standin_replica &search = add_replica("search");
	gateway &entry = start_ready();
	EXPECT_EQ(ask(entry, "/stream/staged/x", "key-1", "X-Segments: 1,2\r\nX-Segment-Key: k\r\n")->body, WHOLE_STREAM);
	EXPECT_EQ(encode.stage_items, std::vector<std::string>{ "r1.0.0" });
	EXPECT_EQ(search.stage_items, (std::vector<std::string>{ "r1.1.0", "r1.1.1" }));
	const std::string maker = to_string(search.get_address());
	EXPECT_EQ(engine.runs[0].get("X-Inputs"), maker + "/1," + maker + "/2");
	run_until([&encode, &search] { return encode.results.empty() && search.results.empty(); });
}

TEST_F(gateway_test, makes_everything_again_when_a_result_is_lost) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	standin_replica &search = add_replica("search");
	gateway &entry = start_ready();
	search.missing_input = to_string(encode.get_address()) + "/1";
	EXPECT_EQ(ask(entry, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n")->body, WHOLE_STREAM);
	EXPECT_EQ(encode.stage_items, (std::vector<std::string>{ "r1.0.0", "r1.0.0" }));
}

TEST_F(gateway_test, pieces_of_two_nodes_meet_in_one_dispatcher) {
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

TEST_F(gateway_test, work_handed_to_a_node_that_dies_is_done_all_the_same) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	gateway &one = start_ready();
	start_ready();
	start_ready();
	ask(one, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
	const instant live_to_each_other = event_loop::now() + milliseconds(600);
	run_until([live_to_each_other] { return event_loop::now() > live_to_each_other; });
	encode.hold_stages = true;
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 6; i++) {
		results.push_back(send(one, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"));
	}
	run_until([&encode] { return encode.get_held_stages() > 0; });
	_gateways.pop_back();
	_gateways.pop_back();
	const instant closed = event_loop::now() + milliseconds(100);
	run_until([closed] { return event_loop::now() > closed; });
	encode.run_held_stages();
	run_until([&results] { return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	for (const std::shared_ptr<caller_result> &result : results) {
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
}

TEST_F(gateway_test, what_a_stopping_node_handed_over_comes_back_to_it) {
	// One of the two dispatches the pool, so that each is once the one that stops and has handed work to the other.
	for (const std::size_t stopping : { 0U, 1U }) {
		_gateways.clear();
		configure(1 + static_cast<int>(stopping));
		add_replica("llm");
		standin_replica &encode = add_replica("encode");
		standin_replica &search = add_replica("search");
		encode.hold_stages = true;
		start_ready();
		start_ready();
		const instant live_to_each_other = event_loop::now() + milliseconds(600);
		run_until([live_to_each_other] { return event_loop::now() > live_to_each_other; });
		std::vector<std::shared_ptr<caller_result>> results;
		for (int i = 0; i < 4; i++) {
			results.push_back(send(*_gateways[stopping], "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"));
		}
		run_until([&encode] { return encode.get_held_stages() > 0; });
		_gateways[stopping]->stop();
		EXPECT_EQ(ask_ready(*_gateways[stopping]), 503);
		const instant told_to_peers = event_loop::now() + milliseconds(600);
		run_until([told_to_peers] { return event_loop::now() > told_to_peers; });
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

TEST_F(gateway_test, the_larger_nodes_dispatch_and_the_others_when_none_is_left) {
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
	const instant live_to_each_other = event_loop::now() + milliseconds(600);
	run_until([live_to_each_other] { return event_loop::now() > live_to_each_other; });
	encode.hold_stages = true;
	const std::shared_ptr<caller_result> first = send(small, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n");
	run_until([&encode] { return encode.get_held_stages() > 0; });
	EXPECT_EQ(large.get_handed_work(), 1U) << "whatever the hash of the names says";
	_gateways.pop_back();
	const instant closed = event_loop::now() + milliseconds(100);
	run_until([closed] { return event_loop::now() > closed; });
	encode.run_held_stages();
	run_until([&first] { return first->end.has_value(); });
	EXPECT_EQ(first->body, WHOLE_STREAM);
}

TEST_F(gateway_test, results_of_a_node_that_dies_are_released_before_their_time_to_live) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	standin_replica &encode = add_replica("encode");
	standin_replica &search = add_replica("search");
	engine.mode = replica_mode::HOLD;
	for (int i = 0; i < 3; i++) {
		start_ready();
	}
	const instant live_to_each_other = event_loop::now() + milliseconds(600);
	run_until([live_to_each_other] { return event_loop::now() > live_to_each_other; });
	for (const std::unique_ptr<gateway> &entry : _gateways) {
		send(*entry, "/stream/staged/x", "key-1", "X-Segments: 2,2\r\nX-Segment-Key: k\r\n");
	}
	run_until([&engine] { return engine.runs.size() == 3; });
	// Each request holds the results of its last stage.
	run_until([&encode, &search] { return encode.results.size() + search.results.size() == 6U; });
	_gateways.pop_back();
	run_until([&encode, &search] { return encode.results.size() + search.results.size() == 4U; });
}

TEST_F(gateway_test, a_node_that_starts_while_the_store_is_away_learns_from_its_peers) {
	configure(3);
	standin_replica &replica = add_replica("llm");
	start_ready();
	_store.set_away(true);
	gateway &late = start_ready();
	EXPECT_EQ(ask(late, "/once/")->head.status, 200);
	EXPECT_EQ(replica.runs.size(), 1U);
}

TEST_F(gateway_test, endpoints_that_lapsed_while_the_store_was_away_stay_in_use) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	_store.set_away(true);
	const instant away_until = event_loop::now() + milliseconds(3200);
	run_until([away_until] { return event_loop::now() > away_until; });
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	_store.drop(ENDPOINT_TOPIC, replica.get_name());
	_store.set_away(false);
	const std::size_t calls = _store.get_calls();
	run_until([this, calls] { return _store.get_calls() >= calls + 4; });
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	run_until([this, &entry] { return ask(entry, "/once/")->head.status == 503; });
}

TEST_F(gateway_test, a_node_that_the_store_turns_away_learns_from_its_peers_what_went) {
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

TEST_F(gateway_test, a_store_that_did_not_answer_is_read_again_beside_the_read_that_waits) {
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

TEST_F(gateway_test, history_that_is_gone_is_read_anew) {
	configure(1);
	standin_replica &old = add_replica("llm");
	gateway &entry = start_ready();
	_store.drop(ENDPOINT_TOPIC, old.get_name());
	standin_replica &fresh = add_replica("llm");
	_store.forget_history();
	run_until([this, &entry, &fresh] { ask(entry, "/once/"); return !fresh.runs.empty(); });
}

TEST_F(gateway_test, a_planned_stop_cuts_nothing) {
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

TEST_F(gateway_test, a_stopping_node_serves_what_still_comes_while_something_runs) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	entry.stop();
	const instant past_listening = event_loop::now() + milliseconds(2000);
	run_until([past_listening] { return event_loop::now() > past_listening; });
	replica.mode = replica_mode::HOLD;
	const std::shared_ptr<caller_result> running = send(entry, "/once/");
	run_until([&replica] { return replica.runs.size() == 1; });
	replica.mode = replica_mode::ANSWER;
	const instant past_ending = event_loop::now() + milliseconds(1200);
	run_until([past_ending] { return event_loop::now() > past_ending; });
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
	run_until([&running] { return running->end.has_value(); });
}

TEST_F(gateway_test, a_stopping_node_refuses_what_might_outlast_it) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	entry.stop();
	const instant past_listening = event_loop::now() + milliseconds(2000);
	run_until([past_listening] { return event_loop::now() > past_listening; });
	const std::shared_ptr<caller_result> running = send(entry, "/once/");
	const instant past_ending = event_loop::now() + milliseconds(1200);
	run_until([past_ending] { return event_loop::now() > past_ending; });
	replica.mode = replica_mode::ANSWER;
	const std::string text = "POST /lengthy/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: long\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody";
	const std::shared_ptr<caller_result> late = send_bytes(entry.get_caller_address(), text);
	run_until([&late] { return late->end.has_value(); });
	EXPECT_EQ(late->head.status, 503);
	EXPECT_NE(late->get("Retry-After"), "");
	EXPECT_EQ(replica.runs.size(), 1U) << "the refused request ran";
	run_until([&running] { return running->end.has_value(); });
}

TEST_F(gateway_test, a_node_that_ends_answers_what_it_could_not_finish) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	entry.stop();
	const std::string text = "POST /lengthy/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: long\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody";
	const std::shared_ptr<caller_result> running = send_bytes(entry.get_caller_address(), text);
	run_until([&running] { return running->end.has_value(); });
	EXPECT_EQ(running->end, channel_end::COMPLETE);
	EXPECT_EQ(running->head.status, 502) << "it may have run";
	EXPECT_FALSE(entry.has_stopped()) << "it had all its grace";
	run_until([&entry] { return entry.has_stopped(); });
}

} // namespace calicoscale
