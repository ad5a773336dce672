/*
 * calicoscale: platform_codec_test.cpp
 * Checks the codecs for requests, configurations and stage calls, including malformed and hostile input.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/document_problem.h"
#include "platform/configuration_codec.h"
#include "platform/request_codec.h"
#include "platform/stage_codec.h"
#include "tests/mutation.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

http_head make_request() {
	http_head head;
	head.method = "POST";
	head.target = "/letters/2f?a=b%20c";
	head.headers = {
		{ "Host", "one.example" },
		{ "X-Attempt-Id", "9c41d07be2a35f68" },
		{ "X-Deadline-Ms", "8000" },
		{ "Authorization", "Bearer secret-key" },
		{ "X-Tenant", "somebody-else" },
		{ "X-Expect-Replica", "forged" },
		{ "X-Inputs", "10.0.0.1:1/forged" },
		{ "Kv-From", "10.0.0.1:1/forged" },
		{ "X-Model", "m" },
		{ "X-Custom", "kept" },
		{ "X-Hop", "dropped" },
		{ "Connection", "keep-alive, X-Hop, X-Attempt-Id" },
		{ "Transfer-Encoding", "chunked" },
		{ "X-Segments", "2, 0,16" },
		{ "X-Segment-Key", "k1" },
		{ "X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410" },
		{ "X-Token-Usage", "1460,80" },
	};
	return head;
}

const char *const CONFIGURATION = R"({"version":7,"routes":[
	{"name":"r1","host":"one.example","path_prefix":"/letters/","route_kind":"streaming","timeout_ms":8000,"slo_ms":1000,"priority":1,
	 "split":[{"service":"llm","weight":90},{"service":"llm2","weight":10}],"max_attempts":1,
	 "stages":[{"service":"enc","since_rev":[],"size_bytes":3000000},{"service":"enc","since_rev":[0],"size_bytes":8000}],"public":false,"sticky":true,"resumable":true,"itl_target_ms":200},
	{"name":"r2","host":"two.example","path_prefix":"/","route_kind":"idempotent","timeout_ms":1500,"slo_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true}],
	"services":[{"name":"llm","health_path":"/healthz","max_conns":370,"engine":{"slots":64}},
	 {"name":"enc","max_conns":10,"segments":{"slots":1,"queue":2,"batch":8,"call_ms":150.0,"item_ms":16.0,"headroom_mb":39.0,"handle_ttl_s":4.0}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"hearth","api_keys":["k1","k2"],"priority":1},{"name":"yards","api_keys":[]}]})";

} // namespace

TEST(request_codec, reads_the_attempt_that_began_a_resumed_stream) {
	http_head head = make_request();
	EXPECT_EQ(read_caller_request(head).resumed_attempt, "");
	head.headers.push_back({ "resumes", " 1471315f2e57e2b3 " });
	EXPECT_EQ(read_caller_request(head).resumed_attempt, "1471315f2e57e2b3");
	head.headers.push_back({ "Resumes", "1471315f2e57e2b3" });
	EXPECT_FALSE(read_caller_request(head).is_contradictory);
	head.headers.push_back({ "Resumes", "9c41d07be2a35f68" });
	EXPECT_TRUE(read_caller_request(head).is_contradictory);
}

TEST(request_codec, passes_on_what_came_and_sets_what_is_its_own) {
	endpoint_send send;
	send.endpoint = "i-7f3a";
	send.remaining = milliseconds(7400);
	send.customer = "hearth";
	send.priority = 1;
	send.inputs = { "10.0.0.2:80/a", "10.0.0.3:80/b" };
	const std::string text = write_endpoint_request(make_request(), "body bytes", send);
	EXPECT_TRUE(text.starts_with("POST /letters/2f?a=b%20c HTTP/1.1\r\nHost: one.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n"));
	EXPECT_TRUE(text.ends_with("\r\nContent-Length: 10\r\n\r\nbody bytes"));
	for (const char *kept : { "X-Custom: kept\r\n", "X-Model: m\r\n", "X-Segments: 2, 0,16\r\n", "X-Deadline-Ms: 7400\r\n", "X-Tenant: hearth\r\n", "X-Expect-Replica: i-7f3a\r\n", "X-Inputs: 10.0.0.2:80/a,10.0.0.3:80/b\r\n", "X-Request-Priority: 1\r\n" }) {
		EXPECT_NE(text.find(kept), std::string::npos) << kept;
	}
	for (const char *dropped : { "secret-key", "somebody-else", "forged", "X-Hop", "chunked", "8000", "Connection" }) {
		EXPECT_EQ(text.find(dropped), std::string::npos) << dropped;
	}
}

// Guards against a success without its seal, and requests without their prompt: an endpoint or a caller names the header in Connection.
TEST(request_codec, a_connection_header_does_not_remove_headers_that_decide_something) {
	for (const char *name : { "X-Replica-Seal", "X-Attempt-Id", "X-Not-Executed", "X-Replica-Id", "X-Weight-Versions", "X-Cold-Ms", "Server-Limit", "Server-Leaving", "Retry-After", "X-Replica-Load", "Content-Type" }) {
		http_head head;
		head.status = 200;
		head.headers = { { "Connection", std::string("close, x-hop , ") + name }, { "X-Hop", "dropped" }, { name, "value" } };
		const std::vector<http_header> passed = get_passed_headers(head);
		ASSERT_EQ(passed.size(), 1U) << name;
		EXPECT_EQ(passed[0].name, name);
	}
	for (const char *name : { "X-Attempt-Id", "X-Model", "X-Token-Usage", "X-Prefix-Hash", "X-Length-Hint", "X-Segments", "X-Segment-Key", "Last-Event-Id", "Resumes", "Content-Type" }) {
		http_head head;
		head.headers = { { "Connection", std::string("close, x-hop , ") + name }, { "X-Hop", "dropped" }, { name, "value" } };
		const std::string text = write_endpoint_request(head, "", endpoint_send());
		EXPECT_NE(text.find(std::string(name) + ": value\r\n"), std::string::npos) << name;
		EXPECT_EQ(text.find("dropped"), std::string::npos) << name;
	}
}

// Guards against believing, by chance, the first of two values of a header that decides something.
TEST(request_codec, a_header_that_decides_something_and_has_two_values_makes_its_message_contradictory) {
	for (const char *name : { "X-Attempt-Id", "X-Replica-Seal", "X-Not-Executed", "Content-Type", "Retry-After", "Server-Limit", "Server-Leaving", "X-Weight-Versions", "X-Replica-Load", "X-Cold-Ms" }) {
		http_head head;
		head.status = 503;
		head.headers = { { "X-Not-Executed", "1" }, { "X-Replica-Seal", "s" } };
		std::erase_if(head.headers, [name](const http_header &p_header) { return p_header.name == name; });
		head.headers.push_back({ name, "1" });
		head.headers.push_back({ "x-other", "2" });
		head.headers.push_back({ name, "1" });
		EXPECT_FALSE(read_endpoint_answer(head).is_contradictory) << name;
		EXPECT_TRUE(read_endpoint_answer(head).did_not_run) << name;
		head.headers.push_back({ name, "2" });
		const endpoint_answer answer = read_endpoint_answer(head);
		EXPECT_TRUE(answer.is_contradictory) << name;
		EXPECT_FALSE(answer.did_not_run || answer.has_seal || answer.is_other_endpoint) << name;
	}
	for (const char *name : { "X-Attempt-Id", "X-Deadline-Ms", "Authorization", "X-Segments", "X-Prefix-Hash", "Last-Event-Id" }) {
		http_head head;
		head.headers = { { name, "1" }, { name, "1" } };
		EXPECT_FALSE(read_caller_request(head).is_contradictory) << name;
		head.headers.push_back({ name, "2" });
		EXPECT_TRUE(read_caller_request(head).is_contradictory) << name;
	}
	http_head harmless;
	harmless.headers = { { "Set-Cookie", "a" }, { "Set-Cookie", "b" } };
	EXPECT_FALSE(read_endpoint_answer(harmless).is_contradictory);
}

TEST(request_codec, an_empty_seal_is_none) {
	http_head head;
	head.status = 200;
	head.headers = { { "X-Replica-Seal", " " } };
	EXPECT_FALSE(read_endpoint_answer(head).has_seal);
}

TEST(request_codec, reads_what_a_request_says_of_itself) {
	const caller_request facts = read_caller_request(make_request());
	EXPECT_EQ(facts.attempt, "9c41d07be2a35f68");
	EXPECT_EQ(facts.remaining, duration(milliseconds(8000)));
	EXPECT_EQ(facts.key, "secret-key");
	EXPECT_EQ(facts.stage_pieces, (std::vector<std::size_t>{ 2, 0, 16 }));
	EXPECT_EQ(facts.stage_key, "k1");
	ASSERT_EQ(facts.prompt.size(), 2U);
	EXPECT_EQ(facts.prompt[1].tokens, 410U);
}

TEST(request_codec, malformed_headers_are_left_empty) {
	http_head head;
	head.headers = { { "X-Segments", "1,x" }, { "X-Prefix-Hash", "nocolon" }, { "X-Deadline-Ms", "-5" }, { "Authorization", "Basic abc" }, { "X-Token-Usage", "," } };
	const caller_request facts = read_caller_request(head);
	EXPECT_TRUE(facts.stage_pieces.empty());
	EXPECT_TRUE(facts.prompt.empty());
	EXPECT_FALSE(facts.remaining);
	EXPECT_FALSE(facts.key);
	head.headers = { { "X-Segments", "999999999" }, { "X-Deadline-Ms", "99999999999999" } };
	EXPECT_TRUE(read_caller_request(head).stage_pieces.empty());
	EXPECT_EQ(read_caller_request(head).remaining, duration(std::chrono::hours(24)));
}

TEST(request_codec, a_resumed_stream_names_its_event_once) {
	http_head head = make_request();
	head.headers.push_back({ "Last-Event-Id", "3" });
	endpoint_send send;
	send.endpoint = "i";
	EXPECT_NE(write_endpoint_request(head, "", send).find("Last-Event-Id: 3\r\n"), std::string::npos);
	send.last_event_id = "9";
	const std::string text = write_endpoint_request(head, "", send);
	EXPECT_NE(text.find("Last-Event-Id: 9\r\n"), std::string::npos);
	EXPECT_EQ(text.find("Last-Event-Id: 3"), std::string::npos);
}

TEST(request_codec, reads_what_an_answer_promises) {
	http_head head;
	head.status = 503;
	head.headers = { { "X-Not-Executed", "1" }, { "Keep-Alive", "timeout=3" }, { "X-Replica-Load", "1,0,6" }, { "Content-Length", "0" } };
	EXPECT_TRUE(read_endpoint_answer(head).did_not_run);
	EXPECT_FALSE(read_endpoint_answer(head).has_seal);
	const std::vector<http_header> passed = get_passed_headers(head);
	ASSERT_EQ(passed.size(), 2U);
	head.status = 421;
	head.headers.clear();
	EXPECT_TRUE(read_endpoint_answer(head).did_not_run);
	EXPECT_TRUE(read_endpoint_answer(head).is_other_endpoint);
	head.status = 500;
	EXPECT_FALSE(read_endpoint_answer(head).did_not_run);
	EXPECT_EQ(make_retry_after(milliseconds(1250)).value, "1.250");
}

TEST(request_codec, a_limit_that_is_no_number_of_requests_is_neither_a_limit_nor_its_end) {
	const auto read = [](const std::string &p_text) {
		http_head head;
		head.status = 200;
		head.headers = { { "Server-Limit", p_text } };
		return read_endpoint_answer(head).notice;
	};
	const std::map<std::string, double> numbers{ { "1", 1.0 }, { " 1.2 ", 1.2 }, { "0", 0.0 }, { "0.25", 0.25 }, { "250", 250.0 } };
	for (const auto &[text, rate] : numbers) {
		EXPECT_EQ(read(text).limit, limit_statement::ADVERTISED) << text;
		EXPECT_DOUBLE_EQ(read(text).rate_limit, rate) << text;
	}
	for (const char *text : { "", "-1", "many", "1 a second", "1,5", "inf", "nan", "1e400" }) {
		EXPECT_EQ(read(text).limit, limit_statement::UNREADABLE) << text;
	}
	http_head silent;
	silent.status = 200;
	EXPECT_EQ(read_endpoint_answer(silent).notice.limit, limit_statement::NONE);
	http_head of_another;
	of_another.status = 421;
	of_another.headers = { { "Server-Limit", "1" } };
	EXPECT_EQ(read_endpoint_answer(of_another).notice.limit, limit_statement::NONE) << "it speaks for the endpoint that has the address now";
}

TEST(request_codec, rest_is_read_from_answers_that_turn_away_and_only_if_it_is_a_time) {
	const auto read = [](int p_status, const std::string &p_text) {
		http_head head;
		head.status = p_status;
		head.headers = { { "Retry-After", p_text }, { "X-Not-Executed", "1" } };
		return read_endpoint_answer(head).notice.rest;
	};
	EXPECT_EQ(read(503, "3"), std::chrono::seconds(3));
	EXPECT_EQ(read(503, " 0.25 "), milliseconds(250));
	EXPECT_EQ(read(429, "2"), std::chrono::seconds(2));
	EXPECT_EQ(read(503, "1000000000000"), std::chrono::seconds(600));
	for (const char *text : { "", "-3", "0", "soon", "3 s", "nan", "Fri, 31 Dec 2027 23:59:59 GMT" }) {
		EXPECT_EQ(read(503, text), duration::zero()) << text;
	}
	for (const int status : { 200, 400, 421, 500, 502, 504 }) {
		EXPECT_EQ(read(status, "3"), duration::zero()) << status;
	}
}

TEST(request_codec, an_answer_says_that_its_endpoint_leaves) {
	const auto read = [](int p_status, const std::string &p_text) {
		http_head head;
		head.status = p_status;
		head.headers = { { "Server-Leaving", p_text } };
		return read_endpoint_answer(head).notice.is_leaving;
	};
	for (const int status : { 200, 500, 503 }) {
		EXPECT_TRUE(read(status, "1")) << status;
	}
	EXPECT_FALSE(read(421, "1")) << "it speaks for the endpoint that has the address now";
	for (const char *text : { "0", "", "no" }) {
		EXPECT_FALSE(read(200, text)) << text;
	}
}

TEST(configuration_codec, reads_a_whole_configuration) {
	const std::shared_ptr<const gateway_configuration> configuration = parse_gateway_configuration(CONFIGURATION);
	EXPECT_EQ(configuration->version, 7U);
	const gateway_route *route = configuration->find_route("one.example", "/letters/2f");
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->repeats, repeat_rule::STREAM);
	EXPECT_EQ(route->objective, duration(milliseconds(1000)));
	EXPECT_EQ(route->services.size(), 2U);
	EXPECT_EQ(route->stages[1].inputs, std::vector<std::size_t>{ 0 });
	EXPECT_TRUE(route->is_resumable);
	EXPECT_TRUE(configuration->find_service("llm")->is_engine);
	ASSERT_TRUE(configuration->find_service("enc")->stage_pool);
	EXPECT_EQ(configuration->find_service("enc")->stage_pool->batch, 8U);
	EXPECT_EQ(configuration->limits.body_bytes, 4096U);
	EXPECT_EQ(configuration->find_customer("k2")->name, "hearth");
	EXPECT_EQ(configuration->find_customer("k2")->priority, 1);
	EXPECT_TRUE(configuration->find_route("two.example", "/x")->is_public);
}

TEST(configuration_codec, refuses_what_is_no_configuration) {
	nlohmann::json document = nlohmann::json::parse(CONFIGURATION);
	const std::vector<std::string> broken{ "", "{", "[]", "null", "{}", R"({"version":"x","routes":[],"services":[]})", R"({"version":1,"routes":[{}],"services":[]})" };
	for (const std::string &text : broken) {
		EXPECT_THROW(parse_gateway_configuration(text), document_error) << text;
	}
	document["routes"][0]["stages"][0]["since_rev"] = { 1 };
	EXPECT_THROW(parse_gateway_configuration(document.dump()), document_error) << "a stage may only need stages before it";
	document = nlohmann::json::parse(CONFIGURATION);
	document["routes"][1]["route_kind"] = "unheard_of";
	EXPECT_EQ(parse_gateway_configuration(document.dump())->routes[1].repeats, repeat_rule::ONCE) << "nothing is repeated that might not be";
}

TEST(configuration_codec, a_version_is_a_whole_number) {
	for (const char *version : { "-1", "1.5", "true", "1e300", "null", "\"7\"" }) {
		nlohmann::json document = nlohmann::json::parse(CONFIGURATION);
		document["version"] = nlohmann::json::parse(version);
		EXPECT_THROW(parse_gateway_configuration(document.dump()), document_error) << version;
	}
}

TEST(configuration_codec, numbers_out_of_range_are_brought_within) {
	nlohmann::json document = nlohmann::json::parse(CONFIGURATION);
	document["routes"][0]["timeout_ms"] = 1e300;
	document["routes"][0]["slo_ms"] = -5;
	document["routes"][0]["max_attempts"] = 1e300;
	document["routes"][0]["priority"] = -1e300;
	document["routes"][0]["split"][0]["weight"] = -90;
	document["limits"]["max_body_bytes"] = -1;
	const std::shared_ptr<const gateway_configuration> configuration = parse_gateway_configuration(document.dump());
	const gateway_route &route = configuration->routes[0];
	EXPECT_GT(route.timeout, duration(std::chrono::hours(24)));
	EXPECT_EQ(route.objective, duration::zero());
	EXPECT_GE(route.max_endpoints, 1);
	EXPECT_LE(route.priority, 0);
	EXPECT_EQ(choose_service(route, 0.5), "llm2");
	EXPECT_EQ(configuration->limits.body_bytes, 0U);
}

TEST(configuration_codec, the_message_of_a_mistake_is_short) {
	try {
		parse_gateway_configuration("{\"version\":\"" + std::string(100'000, 'x'));
		FAIL() << "taken";
	} catch (const document_error &error) {
		EXPECT_LT(std::string_view(error.what()).size(), 500U);
	}
}

RC_GTEST_PROP(configuration_codec, survives_any_damage, (const std::string &p_bytes)) {
	for (const std::string &text : { p_bytes, mutate(CONFIGURATION), mutate_document(CONFIGURATION) }) {
		try {
			const std::shared_ptr<const gateway_configuration> configuration = parse_gateway_configuration(text);
			configuration->find_route("one.example", "/letters/");
			for (const gateway_route &route : configuration->routes) {
				choose_service(route, 0.5);
			}
		} catch (const document_error &) {
		}
	}
}

TEST(stage_codec, writes_calls_and_reads_their_answers) {
	stage_work first;
	first.attempt = "r1";
	first.stage = 0;
	first.caller_key = "k1";
	stage_work second;
	second.attempt = "r2";
	second.stage = 2;
	second.inputs = { "10.1.64.9:8080/5c" };
	const std::string text = write_stage_call("i-1", network_address{ "10.0.0.1", 80 }, { { &first, 2, milliseconds(900) }, { &second, 0, milliseconds(50) } });
	const nlohmann::json body = nlohmann::json::parse(text.substr(text.find("\r\n\r\n") + 4));
	EXPECT_EQ(body["items"][0], nlohmann::json::parse(R"({"id":"r1","stage":0,"segment":2,"remaining_ms":900,"private_key":"k1"})"));
	EXPECT_EQ(body["items"][1], nlohmann::json::parse(R"({"id":"r2","stage":2,"segment":0,"remaining_ms":50,"inputs":["10.1.64.9:8080/5c"]})"));
	EXPECT_NE(text.find("X-Expect-Replica: i-1\r\n"), std::string::npos);
	const std::vector<item_result> results = read_stage_answer(R"({"items":[{"handle":"10.1.64.7:8080/91"},{"reason":"gone"},{"reason":"room"},{"reason":"late"},{"reason":"new"}]})", 5);
	ASSERT_EQ(results.size(), 5U);
	EXPECT_EQ(results[0].handle, "10.1.64.7:8080/91");
	EXPECT_EQ(results[1].end, item_end::INPUT_LOST);
	EXPECT_EQ(results[2].end, item_end::NO_CAPACITY);
	EXPECT_EQ(results[3].end, item_end::LATE);
	EXPECT_EQ(results[4].end, item_end::FAILED);
	EXPECT_EQ(get_producer("10.1.64.7:8080/91"), (network_address{ "10.1.64.7", 8080 }));
}

TEST(stage_codec, an_answer_that_does_not_fit_its_call_gives_nothing) {
	for (const char *broken : { "", "{}", "[]", R"({"items":3})", R"({"items":[]})", R"({"items":[{"handle":"10.0.0.1:1/a"},{"handle":"10.0.0.1:1/b"}]})", R"({"items":[5]})" }) {
		EXPECT_TRUE(read_stage_answer(broken, 1).empty()) << broken;
	}
	EXPECT_EQ(read_stage_answer(R"({"items":[{"handle":"nowhere"}]})", 1).front().end, item_end::FAILED);
	EXPECT_EQ(read_stage_answer(R"({"items":[{"handle":7}]})", 1).front().end, item_end::FAILED);
}

TEST(stage_codec, a_handle_must_fit_into_a_list_in_a_header) {
	for (const std::string &handle : { std::string("10.0.0.1:1/a b"), std::string("10.0.0.1:1/a,10.0.0.1:1/b"), std::string("x\r\nX: y\r\n10.0.0.1:1/a"), std::string("10.0.0.1:1/\xc3\xa4"), "10.0.0.1:1/" + std::string(300, 'a') }) {
		const std::string body = nlohmann::json{ { "items", { { { "handle", handle } } } } }.dump();
		EXPECT_EQ(read_stage_answer(body, 1).front().end, item_end::FAILED) << handle;
	}
}

RC_GTEST_PROP(stage_codec, any_answer_is_read_or_refused, (const std::string &p_bytes)) {
	const std::string answer = R"({"items":[{"handle":"10.1.64.7:8080/91"},{"reason":"gone"}]})";
	for (const std::string &text : { p_bytes, mutate(answer), mutate_document(answer) }) {
		const std::vector<item_result> results = read_stage_answer(text, 2);
		RC_ASSERT(results.empty() || results.size() == 2);
	}
}

RC_GTEST_PROP(stage_codec, calls_are_written_from_any_bytes, (const std::string &p_attempt, const std::string &p_key, const std::vector<std::string> &p_inputs)) {
	stage_work work;
	work.attempt = p_attempt;
	work.caller_key = p_key;
	work.inputs = p_inputs;
	for (const std::string &text : { write_stage_call("i-1", network_address{ "10.0.0.1", 80 }, { { &work, 0, milliseconds(900) } }), write_release(network_address{ "10.0.0.1", 80 }, p_inputs) }) {
		RC_ASSERT(nlohmann::json::parse(text.substr(text.find("\r\n\r\n") + 4), nullptr, false).is_object());
	}
}

RC_GTEST_PROP(request_codec, any_headers_are_read, (const std::string &p_name, const std::string &p_value)) {
	http_head head = make_request();
	for (http_header &header : head.headers) {
		header.value = *rc::gen::inRange(0, 3) == 0 ? mutate(header.value) : header.value;
	}
	head.headers.push_back({ p_name, p_value });
	const caller_request request = read_caller_request(head);
	RC_ASSERT(request.remaining.value_or(duration::zero()) <= duration(std::chrono::hours(24)));
	read_endpoint_answer(head);
	get_passed_headers(head);
	write_endpoint_request(head, p_value, endpoint_send());
}

TEST(request_codec, an_endpoint_tells_its_load_and_another_form_of_it_costs_nothing) {
	const auto read = [](const std::string &p_text) {
		http_head head;
		head.status = 200;
		head.headers = { http_header{ "X-Replica-Load", p_text } };
		return read_endpoint_answer(head).notice.load;
	};
	EXPECT_EQ(read("3,1,8"), (reported_load{ 3, 1, 8, 1.0 }));
	EXPECT_EQ(read("1, 0, 1, 250"), (reported_load{ 1, 0, 1, 2.5 }));
	for (const char *text : { "", "3", "3,1", "a,b,c", "-1,0,1", "1,0,1,x", "1,0,1,0", "1,0,1,-5", "99999999999999999999,0,1" }) {
		EXPECT_FALSE(read(text)) << text;
	}
}

} // namespace calicoscale
