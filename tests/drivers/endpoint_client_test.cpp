/*
 * calicoscale: endpoint_client_test.cpp
 * Tests which answers of endpoints are ascribed to an attempt.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_client.h"
#include "tests/main/raw_server.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

class endpoint_client_test : public ::testing::Test {
protected:
	event_loop _loop;
	raw_server _server{ _loop };
	http_client _http{ _loop };
	endpoint_client _client{ _http };
	std::set<std::size_t> _connections; ///< Connections that carried an attempt.
	std::uint32_t _next_number = 1;

	/** Answers the attempts in this order; the last answer is repeated. */
	void answer(const std::vector<std::string> &p_answers) {
		_server.set_responder([this, p_answers, count = std::size_t{ 0 }](std::size_t p_connection, const std::string &) mutable {
			_connections.insert(p_connection);
			return p_answers[std::min(count++, p_answers.size() - 1)];
		});
	}

	static attempt_id make_id(std::uint32_t p_number) {
		attempt_id id;
		id.attempt = p_number;
		return id;
	}

	/** Sends the next attempt and returns how it ended. */
	attempt_end run(stage_kind p_kind = stage_kind::CALL) {
		attempt_order order;
		order.id = make_id(_next_number++);
		order.to = _server.get_address();
		order.kind = p_kind;
		order.input = "{}";
		order.remaining = std::chrono::seconds(5);
		std::optional<attempt_end> ended;
		_client.start(order, attempt_hooks{ [](std::uint32_t, const std::string &) {}, [this, &ended](const attempt_end &p_end) {
											   ended = p_end;
											   _loop.stop(); } });
		timer give_up(_loop, [this] { _loop.stop(); });
		give_up.set(std::chrono::seconds(20));
		_loop.run();
		EXPECT_TRUE(ended);
		return ended.value_or(attempt_end());
	}

	static std::string write_refusal(const std::string &p_headers = "") { return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: busy\r\n" + p_headers + "Content-Length: 0\r\n\r\n"; }

	static std::string write_echo(std::uint32_t p_number) { return "Attempt: " + to_string(make_id(p_number)) + "\r\n"; }

	static std::string write_result(std::uint32_t p_number) {
		const std::string body = R"({"attempt":")" + to_string(make_id(p_number)) + R"(","output":1,"units":1})";
		return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
	}
};

} // namespace

// Guards against taking a late copy of a refusal for the answer to the next attempt, which runs.
TEST_F(endpoint_client_test, a_copy_of_a_refusal_does_not_show_that_the_next_attempt_did_not_run) {
	for (const stage_kind kind : { stage_kind::CALL, stage_kind::GENERATE }) {
		for (const bool names_attempt : { false, true }) {
			answer({ write_refusal(names_attempt ? write_echo(_next_number) : "") });
			EXPECT_EQ(run(kind).result.what, verdict::NOT_RUN) << names_attempt;
			EXPECT_EQ(run(kind).result.what, verdict::MAY_HAVE_RUN) << names_attempt;
		}
	}
}

// Guards against believing a refusal that names two attempts, or two reasons of which one may be no refusal.
TEST_F(endpoint_client_test, a_refusal_with_contradictory_headers_does_not_show_that_its_attempt_did_not_run) {
	answer({ write_refusal(write_echo(1) + write_echo(2)) });
	EXPECT_EQ(run().result.what, verdict::MAY_HAVE_RUN);
	answer({ write_refusal(write_echo(2) + "Not-Run: no\r\n") });
	EXPECT_EQ(run().result.what, verdict::MAY_HAVE_RUN);
}

TEST_F(endpoint_client_test, a_refusal_that_names_its_attempt_counts_on_any_connection) {
	answer({ write_refusal(write_echo(1)), write_refusal(write_echo(2)) });
	for (int i = 0; i < 2; i++) {
		const attempt_end end = run();
		EXPECT_EQ(end.result.what, verdict::NOT_RUN);
		EXPECT_EQ(end.result.why, reason::REFUSED_BUSY);
	}
	EXPECT_EQ(_connections.size(), 1U);
}

// Guards against a connection on which each answer is that of the attempt before.
TEST_F(endpoint_client_test, a_connection_carries_no_attempt_after_an_answer_that_names_another_one) {
	answer({ write_result(1), write_result(1), write_result(3) });
	EXPECT_EQ(run().result.what, verdict::COMPLETED);
	EXPECT_EQ(run().result.why, reason::WRONG_ECHO);
	EXPECT_EQ(run().result.what, verdict::COMPLETED);
	EXPECT_EQ(_connections.size(), 2U);
}

} // namespace calicoscale
