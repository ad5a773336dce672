/*
 * calicoscale: http_client_test.cpp
 * Tests which bytes of a server the HTTP client takes for an answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_client.h"
#include "tests/main/raw_server.h"

#include <gtest/gtest.h>

#include <optional>

namespace calicoscale {

namespace {

class http_client_test : public ::testing::Test {
protected:
	event_loop _loop;
	raw_server _server{ _loop };
	http_client _client{ _loop };
	std::string _chunks; ///< Passed on while the latest call was in progress.

	/** Makes a call and returns how it ended. */
	http_result call(bool p_has_chunk_hook = false) {
		std::optional<http_result> ended;
		http_call order;
		order.to = _server.get_address();
		order.path = "/";
		http_hooks hooks;
		hooks.on_end = [this, &ended](const http_result &p_result) {
			ended = p_result;
			_loop.stop();
		};
		_chunks.clear();
		if (p_has_chunk_hook) {
			hooks.on_chunk = [this](std::string_view p_chunk) { _chunks += p_chunk; };
		}
		_client.start(order, std::move(hooks));
		timer give_up(_loop, [this] { _loop.stop(); });
		give_up.set(std::chrono::seconds(20));
		_loop.run();
		EXPECT_TRUE(ended);
		return ended.value_or(http_result());
	}

	void expect_malformed(const std::string &p_answer, raw_server::after p_after = raw_server::after::KEEP) {
		for (const bool has_chunk_hook : { false, true }) {
			_server.set_answer(p_answer, p_after);
			const std::size_t before = _server.count_accepted();
			const http_result result = call(has_chunk_hook);
			EXPECT_EQ(result.failure, http_failure::MALFORMED) << p_answer;
			EXPECT_EQ(result.status, 0) << p_answer;
			EXPECT_EQ(result.body + _chunks, "") << p_answer;
			_server.set_answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", raw_server::after::KEEP);
			EXPECT_EQ(call().body, "ok");
			EXPECT_GT(_server.count_accepted(), before) << "the connection is not used again";
		}
	}

	void expect_body(const std::string &p_answer, const std::string &p_body, raw_server::after p_after = raw_server::after::KEEP) {
		for (const bool has_chunk_hook : { false, true }) {
			_server.set_answer(p_answer, p_after);
			const http_result result = call(has_chunk_hook);
			EXPECT_EQ(result.failure, http_failure::NONE) << p_answer;
			EXPECT_EQ(result.status, 200) << p_answer;
			EXPECT_EQ(result.body + _chunks, p_body) << p_answer;
		}
	}
};

} // namespace

// Guards against an answer that evhttp accepts although its bytes are not valid.
TEST_F(http_client_test, an_answer_with_a_malformed_head_is_not_used) {
	for (const char *status : { "000", "0", "0200", "00200", " 200", "1200", "2000", "600", "099" }) {
		expect_malformed("HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 4\r\n\r\nbody");
	}
	for (const char *line : { "X A: 1", "X\x01: 1", "X : 1", " X: 1", "\tX: 1", "\rX: 1", "\nX: 1", " ", "X-A: 1\rX-B: 1", "X-A: \x01" }) {
		expect_malformed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + std::string(line) + "\r\n\r\nbody");
		expect_malformed("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\n\r\nbody", raw_server::after::CLOSE);
	}
	expect_malformed("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody");
	expect_malformed("HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_F(http_client_test, an_answer_in_malformed_chunks_ends_its_call) {
	const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	for (const char *chunks : { "4 4\r\nbody\r\n0\r\n\r\n", "4;\x01\r\nbody\r\n0\r\n\r\n", "+4\r\nbody\r\n0\r\n\r\n", "4\nbody\r\n0\r\n\r\n" }) {
		expect_malformed(head + chunks);
	}
	for (const char *chunks : { "4\r\nbodyXY0\r\n\r\n", "4\r\nbody\r\n0\r\nX A: 1\r\n\r\n" }) {
		_server.set_answer(head + chunks, raw_server::after::KEEP);
		EXPECT_EQ(call().failure, http_failure::MALFORMED) << chunks;
		EXPECT_EQ(call(true).failure, http_failure::MALFORMED) << chunks;
	}
}

TEST_F(http_client_test, an_answer_that_is_cut_is_lost) {
	_server.set_answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", raw_server::after::CLOSE);
	EXPECT_EQ(call().failure, http_failure::LOST);
	_server.set_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", raw_server::after::CLOSE);
	EXPECT_EQ(call().failure, http_failure::LOST);
}

// Guards against refusing what sound servers may send.
TEST_F(http_client_test, an_answer_that_follows_the_syntax_is_used) {
	expect_body("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A:\r\n\r\nbody", "body");
	expect_body("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body");
	expect_body("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2 \r\ndy\r\n0\r\nX: 1\r\n\r\n", "body");
	expect_body("HTTP/1.1 200 OK\r\n\r\nbody", "body", raw_server::after::CLOSE);
	EXPECT_EQ(_client.get_open_count(), 0U);
}

} // namespace calicoscale
