/*
 * calicoscale: caller_interface_test.cpp
 * Tests that invalid input from callers gets a clear error or a closed connection and does not affect other callers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/node_fixture.h"
#include "tests/main/raw_connection.h"
#include "tests/sample_configuration.h"

namespace calicoscale {

namespace {

struct bad_request_case {
	const char *name;
	const char *path;
	std::vector<http_header> headers;
	std::string body;
	int status;
	const char *reason;
};

const http_header KEY{ "Authorization", "Bearer key-large" };
const char *const ANSWER = "/v1/pipelines/answer/requests";
const std::string VALID_BODY = R"({"input": {"marker": "m"}})";

std::vector<bad_request_case> make_cases() {
	std::string deep = "{\"input\": ";
	deep += std::string(500, '[') + std::string(500, ']') + "}";
	return {
		{ "malformed_json", ANSWER, { KEY }, "{\"input\": ", 400, "bad_request" },
		{ "empty_body", ANSWER, { KEY }, "", 400, "bad_request" },
		{ "not_an_object", ANSWER, { KEY }, "[1]", 400, "bad_request" },
		{ "no_input", ANSWER, { KEY }, "{}", 400, "bad_request" },
		{ "unknown_member", ANSWER, { KEY }, R"({"input": 1, "inputs": 2})", 400, "bad_request" },
		{ "wrong_type", ANSWER, { KEY }, R"({"input": 1, "stream": "yes"})", 400, "bad_request" },
		{ "invalid_utf8", ANSWER, { KEY }, "{\"input\": \"\xff\xfe\"}", 400, "bad_request" },
		{ "too_deep", ANSWER, { KEY }, deep, 400, "bad_request" },
		{ "unknown_pipeline", "/v1/pipelines/none/requests", { KEY }, VALID_BODY, 404, "not_found" },
		{ "unknown_path", "/v1/nothing", { KEY }, VALID_BODY, 404, "not_found" },
		{ "missing_key", ANSWER, {}, VALID_BODY, 401, "unauthorized" },
		{ "foreign_key", ANSWER, { { "Authorization", "Bearer guess" } }, VALID_BODY, 401, "unauthorized" },
		{ "basic_scheme", ANSWER, { { "Authorization", "Basic key-large" } }, VALID_BODY, 401, "unauthorized" },
		{ "zero_deadline", ANSWER, { KEY, { "Request-Deadline-Ms", "0" } }, VALID_BODY, 400, "bad_deadline" },
		{ "negative_deadline", ANSWER, { KEY, { "Request-Deadline-Ms", "-5" } }, VALID_BODY, 400, "bad_deadline" },
		{ "absurd_deadline", ANSWER, { KEY, { "Request-Deadline-Ms", "99999999999999999999" } }, VALID_BODY, 400, "bad_deadline" },
		{ "worded_deadline", ANSWER, { KEY, { "Request-Deadline-Ms", "soon" } }, VALID_BODY, 400, "bad_deadline" },
		{ "key_of_wrong_form", ANSWER, { KEY, { "Idempotency-Key", "x" } }, VALID_BODY, 400, "idempotency_key_malformed" },
		{ "key_missing", "/v1/pipelines/send/requests", { KEY }, VALID_BODY, 400, "idempotency_key_required" },
		{ "stream_under_a_key", ANSWER, { KEY, { "Idempotency-Key", "1-x" } }, R"({"input": 1, "stream": true})", 400, "bad_request" },
		{ "forged_resume", "/v1/resume", { KEY }, R"({"resume": "0000000000000000000000000000000000000000000000000000000000000000{}", "next": 0})", 404, "not_found" },
		{ "resume_without_token", "/v1/resume", { KEY }, "{}", 400, "bad_request" },
	};
}

} // namespace

class caller_interface_test : public node_fixture {
protected:
	void expect_undisturbed() {
		test_request request;
		request.marker = "other";
		EXPECT_EQ(ask(request).get_verdict(), "completed");
	}

	int count_everything() {
		int runs = 0;
		for (const char *vm : { "encoders-0", "encoders-1", "retrievers-0", "retrievers-1", "engines-0", "engines-1", "services-0", "services-1" }) {
			runs += static_cast<int>(_platform->find_endpoint(vm)->get_truth().runs);
		}
		return runs;
	}
};

TEST_F(caller_interface_test, bad_requests_get_a_clear_error_and_run_nothing) {
	start_all();
	for (const bad_request_case &entry : make_cases()) {
		http_call order;
		order.to = _nodes[0]->get_caller_address();
		order.is_post = true;
		order.path = entry.path;
		order.headers = entry.headers;
		order.body = entry.body;
		const http_result result = call(order);
		EXPECT_EQ(result.status, entry.status) << entry.name;
		const nlohmann::json problem = nlohmann::json::parse(result.body, nullptr, false);
		ASSERT_TRUE(problem.is_object()) << entry.name << ": " << result.body;
		EXPECT_EQ(problem.value("reason", ""), entry.reason) << entry.name;
		EXPECT_EQ(problem.value("verdict", ""), "not_run") << entry.name;
		EXPECT_EQ(result.find_header("Content-Type"), "application/problem+json") << entry.name;
	}
	EXPECT_EQ(count_everything(), 0);
	expect_undisturbed();
}

TEST_F(caller_interface_test, oversized_bodies_and_headers_are_refused) {
	start_all();
	http_call order;
	order.to = _nodes[0]->get_caller_address();
	order.is_post = true;
	order.path = ANSWER;
	order.headers = { KEY };
	order.body = "{\"input\": \"" + std::string(2 * 1024 * 1024, 'x') + "\"}";
	const http_result big_body = call(order);
	EXPECT_TRUE(big_body.status == 413 || big_body.failure != http_failure::NONE) << big_body.status;
	order.body = VALID_BODY;
	order.headers.push_back(http_header{ "X-Long", std::string(100 * 1024, 'x') });
	const http_result big_header = call(order);
	EXPECT_TRUE(big_header.status == 400 || big_header.status == 413 || big_header.failure != http_failure::NONE) << big_header.status;
	EXPECT_EQ(count_everything(), 0);
	expect_undisturbed();
}

TEST_F(caller_interface_test, two_content_lengths_close_the_connection) {
	start_all();
	raw_connection raw(_nodes[0]->get_caller_address());
	raw.send_bytes("POST /v1/pipelines/answer/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-large\r\nContent-Length: 26\r\nContent-Length: 5\r\n\r\n" + VALID_BODY);
	run_until([&raw] { raw.poll(); return raw.is_closed(); }, "a closed connection");
	EXPECT_NE(raw.get_received().find(" 400 "), std::string::npos) << raw.get_received();
	EXPECT_EQ(count_everything(), 0);
	expect_undisturbed();
}

TEST_F(caller_interface_test, garbage_half_closed_and_vanishing_callers_disturb_nobody) {
	start_all();
	raw_connection garbage(_nodes[0]->get_caller_address());
	garbage.send_bytes(std::string("\x00\x01\x02 GET garbage\r\n\r\n", 20));
	raw_connection half(_nodes[0]->get_caller_address());
	half.send_bytes("POST /v1/pipelines/answer/requests HTTP/1.1\r\nHost: x\r\nContent-Le");
	half.close_sending();
	{
		raw_connection vanishing(_nodes[0]->get_caller_address());
		vanishing.send_bytes("POST /v1/pipelines/answer/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-large\r\nContent-Length: 100\r\n\r\n{");
		run_for(20);
	}
	run_until([&half] { half.poll(); return half.is_closed(); }, "the half-closed connection closed");
	expect_undisturbed();
	EXPECT_EQ(get_status().at("requests").at("open"), 0);
}

TEST_F(caller_interface_test, bytes_sent_ahead_of_the_answer_neither_crash_nor_mix) {
	start_all();
	raw_connection raw(_nodes[0]->get_caller_address());
	const std::string order = "POST /v1/pipelines/plain/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-large\r\nContent-Length: " + std::to_string(VALID_BODY.size()) + "\r\n\r\n" + VALID_BODY;
	raw.send_bytes(order);
	run_for(3);
	raw.send_bytes(order);
	run_until([&raw] { raw.poll(); return raw.is_closed() || raw.get_received().find("\"completed\"") != std::string::npos; }, "an answer");
	EXPECT_NE(raw.get_received().find("\"completed\""), std::string::npos);
	expect_undisturbed();
}

TEST_F(caller_interface_test, slow_sender_disturbs_nobody) {
	start_all();
	raw_connection slow(_nodes[0]->get_caller_address());
	for (const char letter : std::string("POST /v1/pipelines/answer/requests HTTP/1.1\r\n")) {
		slow.send_bytes(std::string(1, letter));
		run_for(1);
	}
	expect_undisturbed();
}

TEST_F(caller_interface_test, outcomes_are_told_to_their_own_customer_only) {
	start_all();
	const test_answer answer = ask(test_request{});
	http_call lookup;
	lookup.to = _nodes[0]->get_caller_address();
	lookup.path = "/v1/requests/" + answer.body.at("request_id").get<std::string>();
	lookup.headers = { KEY };
	EXPECT_EQ(nlohmann::json::parse(call(lookup).body).at("verdict"), "completed");
	lookup.headers = { { "Authorization", "Bearer key-small" } };
	EXPECT_EQ(call(lookup).status, 404);
}

TEST_F(caller_interface_test, node_without_configuration_or_draining_refuses_not_run) {
	start_platform();
	start_node("vm-0", "z1");
	const test_answer early = ask(test_request{});
	EXPECT_EQ(early.get_verdict(), "not_run");
	EXPECT_EQ(early.get_reason(), "not_ready");
	EXPECT_GT(early.body.value("retry_after_ms", 0), 0);
}

TEST_F(caller_interface_test, customer_over_its_limit_is_told_when_to_come_back) {
	start_platform();
	start_node("vm-0", "z1");
	nlohmann::json document = nlohmann::json::parse(std::string(SAMPLE_CONFIGURATION));
	document["customers"][0]["limits"] = { { "requests_per_second", 1 }, { "burst_seconds", 1 }, { "concurrency", 5 } };
	_platform->get_log().append("configuration", encode(change_record{ "limited", 0, "test", event_loop::wall(), document.dump() }));
	run_until([this] { return get_status().at("ready").get<bool>(); }, "ready");
	EXPECT_EQ(ask(test_request{}).get_verdict(), "completed");
	const test_answer second = ask(test_request{});
	EXPECT_EQ(second.result.status, 429);
	EXPECT_EQ(second.get_reason(), "customer_rate");
	EXPECT_GT(second.body.value("retry_after_ms", 0), 0);
	EXPECT_FALSE(second.result.find_header("Retry-After").empty());
}

} // namespace calicoscale
