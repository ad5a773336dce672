/*
 * calicoscale: gateway_test.cpp
 * Tests how a single gateway handles requests, endpoints and stages.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/bare_endpoint.h"
#include "tests/main/gateway_fixture.h"

#include <thread>

namespace calicoscale {

namespace {

/** Repeats per window that let a gateway repeat within milliseconds of its start. */
constexpr double AMPLE_SLACK = 1e6;

class gateway_test : public gateway_fixture {};

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

TEST_F(gateway_test, an_answer_that_waits_in_the_socket_at_the_time_to_give_up_is_delivered) {
	configure(1);
	bare_endpoint endpoint;
	const json entry{ { "service", "llm" }, { "address", to_string(endpoint.get_address()) }, { "zone", "a" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq_no", 1 }, { "born", 1 } };
	_store.put(ENDPOINT_TOPIC, "i-bare", entry.dump());
	gateway &node = start_ready();
	const std::shared_ptr<caller_result> result = send(node, "/hasty/");
	run_until([&endpoint] { return endpoint.has_request(); });
	endpoint.answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Length: 4\r\n\r\nmade");
	// Blocks the event loop until after the deadline of the request.
	std::this_thread::sleep_for(milliseconds(400));
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->head.status, 200);
	EXPECT_EQ(result->body, "made");
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
	_adjust_settings = [](gateway_settings &r_settings) { r_settings.retries.slack = AMPLE_SLACK; };
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
	_adjust_settings = [](gateway_settings &r_settings) { r_settings.retries.slack = AMPLE_SLACK; };
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
	const std::string producer = to_string(search.get_address());
	EXPECT_EQ(engine.runs[0].get("X-Inputs"), producer + "/1," + producer + "/2");
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

} // namespace calicoscale
