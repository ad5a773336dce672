/*
 * calicoscale: gateway_promise_test.cpp
 * Tests that a request which a gateway answers with a promise that it did not run has not run and never will.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"
#include "tests/main/late_copy_endpoint.h"
#include "tests/main/raw_server.h"

namespace calicoscale {

namespace {

/** Repeats per window that let a gateway repeat within milliseconds of its start. */
constexpr double AMPLE_SLACK = 1e6;

/** Statuses by which an answer promises that its request did not run. A 421 always comes from an endpoint that did not run it. */
const std::vector<std::string> PROMISES{ "408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable" };

class gateway_promise_test : public gateway_fixture {
protected:
	raw_server _raw{ _loop };

	gateway &start_with_endpoint(const std::string &p_entry) {
		configure(1);
		_store.put(ENDPOINT_TOPIC, "i-raw", p_entry);
		_adjust_settings = [](gateway_settings &r_settings) { r_settings.retries.slack = AMPLE_SLACK; };
		return start_ready();
	}

	std::string get_raw_entry() const {
		return json{ { "service", "llm" }, { "address", to_string(_raw.get_address()) }, { "zone", "a" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq_no", 1 }, { "born", 1 } }.dump();
	}

	static std::string write_failure(const std::string &p_status, const std::string &p_headers) {
		return "HTTP/1.1 " + p_status + "\r\nX-Attempt-Id: $attempt\r\nX-Replica-Seal: raw\r\n" + p_headers + "Content-Length: 4\r\n\r\nfull";
	}
};

} // namespace

// Guards against taking a late copy of a rejection for the answer to the next send of the same request, which runs.
TEST_F(gateway_promise_test, a_late_copy_of_a_rejection_does_not_answer_the_next_send) {
	late_copy_endpoint endpoint(_loop);
	gateway &node = start_with_endpoint(endpoint.get_entry("llm"));
	const std::shared_ptr<caller_result> result = ask(node, "/once/x");
	EXPECT_EQ(result->head.status, 200);
	EXPECT_EQ(result->body, "done r1");
	EXPECT_EQ(endpoint.runs["r1"], 1);
}

// Guards against a promise that no endpoint made: an endpoint may fail a request that it ran with one of these statuses.
TEST_F(gateway_promise_test, a_failure_of_an_endpoint_that_may_have_run_the_request_is_not_passed_on_as_a_promise) {
	gateway &node = start_with_endpoint(get_raw_entry());
	for (const std::string &status : PROMISES) {
		_raw.set_answer(write_failure(status, ""), raw_server::after::KEEP);
		const std::shared_ptr<caller_result> result = ask(node, "/once/x");
		EXPECT_EQ(result->head.status, 502) << status;
		EXPECT_EQ(result->get("X-Replica-Seal"), "") << "a seal belongs to the endpoint's own status";
		EXPECT_EQ(result->body, "");
	}
}

// Guards against a refusal after an answer that says both: a success cannot show that its request did not run.
TEST_F(gateway_promise_test, a_success_that_says_it_did_not_run_is_not_taken_for_a_rejection) {
	gateway &node = start_with_endpoint(get_raw_entry());
	_raw.set_answer(write_failure("200 OK", "X-Not-Executed: 1\r\n"), raw_server::after::KEEP);
	EXPECT_EQ(ask(node, "/once/x")->head.status, 200);
}

TEST_F(gateway_promise_test, a_rejection_that_says_it_did_not_run_is_refused_with_a_promise) {
	gateway &node = start_with_endpoint(get_raw_entry());
	_raw.set_answer(write_failure("503 Service Unavailable", "X-Not-Executed: 1\r\n"), raw_server::after::KEEP);
	EXPECT_EQ(ask(node, "/once/x")->head.status, 503);
}

} // namespace calicoscale
