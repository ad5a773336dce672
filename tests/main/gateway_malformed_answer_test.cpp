/*
 * calicoscale: gateway_malformed_answer_test.cpp
 * Tests that nothing of an answer reaches a caller, or is believed, whose bytes do not follow the syntax of HTTP.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"
#include "tests/main/raw_connection.h"
#include "tests/main/raw_server.h"

namespace calicoscale {

namespace {

/** Repeats per window that let a gateway repeat within milliseconds of its start. */
constexpr double AMPLE_SLACK = 1e6;

/** Ends with the seal, as a line that begins with a blank may be joined to the one before it. */
const std::string FRAMED_HEAD = "X-Attempt-Id: $attempt\r\nContent-Length: 4\r\nX-Replica-Seal: raw\r\n";

std::string write_answer_of_status(const std::string &p_status) {
	return "HTTP/1.1 " + p_status + "\r\n" + FRAMED_HEAD + "\r\nbody";
}

/** Writes an answer with one more line behind its headers. */
std::string write_answer_with_line(const std::string &p_line) {
	return "HTTP/1.1 200 OK\r\n" + FRAMED_HEAD + p_line + "\r\n\r\nbody";
}

/** Returns the name of a header with a byte at its start, in its middle and at its end. */
std::vector<std::string> insert_byte(char p_byte) {
	const std::string byte(1, p_byte);
	return { byte + "X-Injected", "X-" + byte + "Injected", "X-Injected" + byte };
}

class gateway_malformed_answer_test : public gateway_fixture {
protected:
	raw_server _raw{ _loop };
	std::size_t _requests = 0; ///< That reached the endpoint.

	gateway &start_with_raw_endpoint(const std::string &p_service = "llm") {
		configure(1);
		_store.put(ENDPOINT_TOPIC, "i-raw", json{ { "service", p_service }, { "address", to_string(_raw.get_address()) }, { "zone", "a" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq_no", 1 }, { "born", 1 } }.dump());
		_adjust_settings = [](gateway_settings &r_settings) { r_settings.retries.slack = AMPLE_SLACK; };
		return start_ready();
	}

	void answer_with(const std::string &p_bytes) {
		_raw.set_responder([this, p_bytes](std::size_t, const std::string &) {
			_requests++;
			return p_bytes;
		});
	}

	/** Expects that a request that must not be repeated is sent once, and gets 502 in place of this answer. */
	void expect_not_passed_on(const gateway &p_node, const std::string &p_answer) {
		answer_with(p_answer);
		const std::size_t before = _requests;
		const std::shared_ptr<caller_result> result = ask(p_node, "/once/x");
		EXPECT_EQ(result->end, channel_end::COMPLETE) << p_answer;
		EXPECT_EQ(result->head.status, 502) << p_answer;
		EXPECT_EQ(result->get("X-Replica-Seal"), "") << p_answer;
		EXPECT_EQ(result->body.find("Injected"), std::string::npos) << p_answer;
		EXPECT_EQ(_requests, before + 1) << p_answer;
	}

	void expect_passed_on(const gateway &p_node, const std::string &p_answer) {
		answer_with(p_answer);
		const std::shared_ptr<caller_result> result = ask(p_node, "/once/x");
		EXPECT_EQ(result->head.status, 200) << p_answer;
		EXPECT_EQ(result->get("X-Replica-Seal"), "raw") << p_answer;
		EXPECT_EQ(result->body, "body") << p_answer;
	}
};

} // namespace

// Guards against a status out of range, which no client can interpret.
TEST_F(gateway_malformed_answer_test, a_status_that_no_answer_has_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	for (const char *status : { "000", "00", "0", "0000", "099", "99", "600", "999", "2000", "-200", "+200", "2 00", "2x0", "" }) {
		expect_not_passed_on(node, write_answer_of_status(std::string(status) + " OK"));
	}
}

// Guards against reading as 200 what other clients read as another status, or as none.
TEST_F(gateway_malformed_answer_test, a_status_that_is_not_written_in_three_digits_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	for (const char *status : { "0200 OK", "00200 OK", " 200 OK", "\t200 OK", "200OK", "0200", "200\tOK" }) {
		expect_not_passed_on(node, write_answer_of_status(status));
	}
}

// Guards against passing such a line on, joined to the header before it, or what follows it as the body.
TEST_F(gateway_malformed_answer_test, a_header_name_with_a_blank_or_a_control_byte_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	std::string bytes = " \x7f";
	for (int code = 0; code < 0x20; code++) {
		bytes.push_back(static_cast<char>(code));
	}
	for (const char byte : bytes) {
		for (const std::string &name : insert_byte(byte)) {
			expect_not_passed_on(node, write_answer_with_line(name + ": 1"));
		}
	}
}

TEST_F(gateway_malformed_answer_test, a_header_name_with_another_byte_that_names_do_not_have_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	for (const char byte : std::string("\"(),/;<=>?@[\\]{}\x80\xff")) {
		for (const std::string &name : insert_byte(byte)) {
			expect_not_passed_on(node, write_answer_with_line(name + ": 1"));
		}
	}
}

TEST_F(gateway_malformed_answer_test, a_line_that_is_no_header_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	for (const char *line : { " ", "\t", ": 1", "X-Injected", "X-A: 1\rX-Injected: 1", "X-A: 1\nX-Injected: 1", "X-A: 1\r\r\nX-Injected: 1", "X-A: \x01" }) {
		expect_not_passed_on(node, write_answer_with_line(line));
	}
	expect_not_passed_on(node, "HTTP/1.1 200 OK\r\n X-Injected: 1\r\n" + FRAMED_HEAD + "\r\nbody");
	expect_not_passed_on(node, "HTTP/1.1 200 OK\rX-Injected: 1\r\n" + FRAMED_HEAD + "\r\nbody");
	expect_not_passed_on(node, "HTTP/1.1 200 O\x01K\r\n" + FRAMED_HEAD + "\r\nbody");
}

// Guards against an interim answer whose bytes hide the beginning of the answer.
TEST_F(gateway_malformed_answer_test, an_answer_behind_a_malformed_interim_one_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	const std::string answer = write_answer_with_line("X-A: 1");
	for (const char *interim : { "HTTP/1.1 0103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n X-Injected: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\rX-Injected: 1\r\n\r\n", "HTTP/1.1 000 Continue\r\n\r\n" }) {
		expect_not_passed_on(node, interim + answer);
	}
	expect_passed_on(node, "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" + answer);
}

// Guards against chunks whose size lines, ends or trailers hold bytes that were skipped.
TEST_F(gateway_malformed_answer_test, an_answer_in_malformed_chunks_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $attempt\r\nX-Replica-Seal: raw\r\nTransfer-Encoding: chunked\r\n\r\n";
	for (const char *body : { "4\rZbody\r\n0\r\n\r\n", "4 4\r\nbody\r\n0\r\n\r\n", "4;\x01\r\nbody\r\n0\r\n\r\n", "4\r\nbodyXY0\r\n\r\n", "4\r\nbodyX\n0\r\n\r\n", "4\r\nbody\rY0\r\n\r\n", "4\r\nbody\r\n0\r\nX A: 1\r\n\r\n", "4\r\nbody\r\n0\r\n\rX: 1\r\n\r\n", "4\r\nbody\r\n0\r\n X: 1\r\n\r\n", "4\r\nbody\r\n0\rZ\r\n" }) {
		expect_not_passed_on(node, head + body);
	}
	for (const char *body : { "4\r\nbody\r\n0\r\n\r\n", "2;a=b\r\nbo\r\n2 \r\ndy\r\n0\r\nX-Trailer: 1\r\n\r\n" }) {
		expect_passed_on(node, head + body);
	}
}

// Guards against refusing what the protocol lets an endpoint send.
TEST_F(gateway_malformed_answer_test, an_unusual_answer_that_follows_the_syntax_is_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	for (const char *line : { "X-Odd!#$%&'*+-.^_`|~09: 1", "X-A:1", "X-A:", "X-A: \t 1 \t ", "X-A: a\tb", "X-A: \x80\xff" }) {
		expect_passed_on(node, write_answer_with_line(line));
	}
	for (const char *status : { "200", "200 ", "200 All  is\twell \xe2\x9c\x93" }) {
		expect_passed_on(node, write_answer_of_status(status));
	}
	expect_passed_on(node, "HTTP/1.1 200 OK\nX-Attempt-Id: $attempt\nX-Replica-Seal: raw\nContent-Length: 4\n\nbody");
}

TEST_F(gateway_malformed_answer_test, a_malformed_answer_to_a_request_without_a_body_is_not_passed_on) {
	const gateway &node = start_with_raw_endpoint();
	for (const std::string method : { "GET", "HEAD" }) {
		for (const std::string &answer : { write_answer_of_status("000 OK"), write_answer_of_status("0200 OK"), write_answer_with_line(" X-Injected: 1"), write_answer_with_line("\rX-Injected: 1") }) {
			answer_with(answer);
			raw_connection caller(node.get_caller_address());
			caller.send_bytes(method + " /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + method + std::to_string(_requests) + "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n");
			run_until([&caller] { caller.poll(); return caller.is_closed(); });
			EXPECT_TRUE(caller.get_received().starts_with("HTTP/1.1 502 ")) << caller.get_received();
			EXPECT_EQ(caller.get_received().find("Injected"), std::string::npos) << caller.get_received();
		}
	}
	EXPECT_EQ(_requests, 8U) << "each is sent once";
}

// Guards against the promise that a request did not run, made by an answer of which not all bytes are valid.
TEST_F(gateway_malformed_answer_test, a_malformed_rejection_proves_nothing) {
	const gateway &node = start_with_raw_endpoint();
	for (const char *line : { "X-Injected : 1", " X-Injected: 1", "\rX-Injected: 1" }) {
		expect_not_passed_on(node, "HTTP/1.1 503 Busy\r\nX-Attempt-Id: $attempt\r\nX-Not-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n" + std::string(line) + "\r\n\r\n");
	}
	expect_passed_on(node, write_answer_with_line("X-A: 1"));
}

TEST_F(gateway_malformed_answer_test, a_request_that_may_be_repeated_is_served_by_another_endpoint) {
	const standin_replica &other = add_replica("llm");
	const gateway &node = start_with_raw_endpoint();
	answer_with(write_answer_with_line("\rX-Injected: 1"));
	// Each request is sent to one of the two endpoints at random.
	run_until([this, &node, &other] {
		const std::shared_ptr<caller_result> result = ask(node, "/safe/x");
		EXPECT_EQ(result->head.status, 200);
		EXPECT_EQ(result->get("X-Replica-Seal").find("raw"), std::string::npos);
		return _requests > 0 && !other.runs.empty();
	});
}

// Guards against results of a stage replica whose answer has a header that hides in another.
TEST_F(gateway_malformed_answer_test, a_malformed_answer_of_a_stage_replica_is_not_used) {
	const standin_replica &engine = add_replica("llm");
	add_replica("search");
	const std::string body = json{ { "items", { { { "handle", to_string(_raw.get_address()) + "/a" } } } } }.dump();
	const std::string head = "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
	const gateway &node = start_with_raw_endpoint("encode");
	for (const std::string &answer : { "HTTP/1.1 0200 OK\r\n" + head, "HTTP/1.1 200 OK\r\n" + head + " X-Injected: 1\r\n", "HTTP/1.1 200 OK\r\n" + head + "\rX-Injected: 1\r\n" }) {
		answer_with(answer + "\r\n" + body);
		EXPECT_NE(ask(node, "/stream/staged/x", "key-1", "X-Segments: 1,0\r\nX-Segment-Key: k\r\n")->head.status, 200) << answer;
	}
	EXPECT_TRUE(engine.runs.empty());
}

} // namespace calicoscale
