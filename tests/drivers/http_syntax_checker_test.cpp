/*
 * calicoscale: http_syntax_checker_test.cpp
 * Checks which bytes the HTTP reader and the caller server accept as messages, however they are cut.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_reader.h"
#include "tests/drivers/caller_server_fixture.h"
#include "tests/mutation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using kind = http_reader::kind;
using state = http_reader::state;

constexpr std::size_t MAX_HEADER_BYTES = 4096;

/** What a reader told of some bytes. */
struct reading {
	state end = state::READING;
	std::vector<std::string> headers; ///< Each as "name: value".
	int status = 0;
	std::string body;
	std::size_t heads = 0;
	std::size_t consumed = 0;

	bool operator==(const reading &p_other) const = default;
};

/** Reads bytes in parts, each as long as the function says of the place where it begins. */
reading read_in_parts(kind p_kind, std::string_view p_bytes, const std::function<std::size_t(std::size_t)> &p_get_size) {
	reading result;
	const auto on_head = [&result](const http_head &p_head) {
		result.heads++;
		result.status = p_head.status;
		for (const http_header &header : p_head.headers) {
			result.headers.push_back(header.name + ": " + header.value);
		}
	};
	http_reader reader(p_kind, http_reader::hooks{ on_head, [&result](std::string_view p_part) { result.body.append(p_part); } }, MAX_HEADER_BYTES);
	while (result.consumed < p_bytes.size() && reader.get_state() == state::READING) {
		result.consumed += reader.feed(p_bytes.substr(result.consumed, p_get_size(result.consumed)));
	}
	result.end = reader.get_state();
	return result;
}

reading read_whole(kind p_kind, std::string_view p_bytes) {
	return read_in_parts(p_kind, p_bytes, [&p_bytes](std::size_t) { return p_bytes.size(); });
}

/** Reads bytes whole, one by one and cut at each place; expects the same each time. */
reading read_in_all_ways(kind p_kind, std::string_view p_bytes) {
	const reading whole = read_whole(p_kind, p_bytes);
	EXPECT_EQ(read_in_parts(p_kind, p_bytes, [](std::size_t) { return 1; }), whole) << p_bytes;
	for (std::size_t cut = 1; cut < p_bytes.size(); cut++) {
		EXPECT_EQ(read_in_parts(p_kind, p_bytes, [cut, &p_bytes](std::size_t p_place) { return p_place < cut ? cut - p_place : p_bytes.size(); }), whole) << p_bytes << " cut at " << cut;
	}
	return whole;
}

void expect_malformed(kind p_kind, std::string_view p_bytes, std::size_t p_heads) {
	const reading result = read_in_all_ways(p_kind, p_bytes);
	EXPECT_EQ(result.end, state::MALFORMED) << p_bytes;
	EXPECT_EQ(result.heads, p_heads) << p_bytes;
}

void expect_body(kind p_kind, std::string_view p_bytes, std::string_view p_body) {
	const reading result = read_in_all_ways(p_kind, p_bytes);
	EXPECT_EQ(result.end, state::COMPLETE) << p_bytes;
	EXPECT_EQ(result.consumed, p_bytes.size()) << p_bytes;
	EXPECT_EQ(result.body, p_body) << p_bytes;
}

const std::string ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n";
const std::string REQUEST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n";
const std::string CHUNKED_ANSWER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string CHUNKED_REQUEST = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<std::string> MALFORMED_LINES{
	"\rX-I: 1", "\nX-I: 1", " X-I: 1", "\tX-I: 1", "X-I : 1", "X-I\t: 1", "X I: 1", "X-\x01I: 1", "X-\x7f: 1", "X-\x80: 1", "X-(I): 1", ": 1", "X-I", " ", "\t",
	"X-A: 1\rX-I: 1", "X-A: 1\nX-I: 1", "X-A: 1\r\r\nX-I: 1", "X-A: 1\n\nX-I: 1", "X-A: \x01", "X-A: \x7f", "X-A: 1\r\n b: 2", std::string("X-A\0: 1", 7), std::string("X-A: \0", 6)
};

const std::vector<std::string> MALFORMED_CHUNKS{
	"5\rZhello\r\n0\r\n\r\n", "5 5\r\nhello\r\n0\r\n\r\n", "5;\x01\r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n", "\r\n5\r\nhello\r\n0\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
	"5\r\nhelloXY0\r\n\r\n", "5\r\nhelloX\n0\r\n\r\n", "5\r\nhello\rY0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "10000000000000005\r\nhello\r\n0\r\n\r\n",
	"5\r\nhello\r\n0\r\nX A: 1\r\n\r\n", "5\r\nhello\r\n0\r\n\rX: 1\r\n\r\n", "5\r\nhello\r\n0\r\n X: 1\r\n\r\n", "5\r\nhello\r\n0\r\nX: \x01\r\n\r\n", "5\r\nhello\r\n0\rZ\r\n", "5\r\nhello\r\n0\r\nX: 1\n\r\n"
};

const std::vector<std::string> VALID_CHUNKS{
	"5\r\nhello\r\n0\r\n\r\n", "0005\r\nhello\r\n000\r\n\r\n", "2;a=\"b\"\r\nhe\r\n3  ;c\r\nllo\r\n0 \r\n\r\n", "5\r\nhello\r\n0\r\nX-A: 1\r\nX-B:\t2\r\n\r\n", "5\r\nhello\r\n0;a\r\nContent-Length: 7\r\n\r\n"
};

} // namespace

// Guards against an answer whose bytes were skipped or joined by the parser, so that nothing showed them.
TEST(http_syntax_checker, an_answer_with_a_malformed_line_has_no_head) {
	for (const std::string &line : MALFORMED_LINES) {
		expect_malformed(kind::ANSWER, ANSWER + line + "\r\n\r\nhello", 0);
		expect_malformed(kind::ANSWER, "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nhello", 0);
	}
	for (const char *line : { "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200 OK\rX-I: 1", "HTTP/1.1 200\rX-I: 1", "HTTP/1.1 200 O\x01K", "HTTP/1.10 200 OK", "HTTP/01.1 200 OK", "HTTP/1.1200 OK", "HTTP/2.0 200 OK", "HTTP 200 OK", "\r\nHTTP/1.1 200 OK", " HTTP/1.1 200 OK", "ICY 200 OK" }) {
		expect_malformed(kind::ANSWER, std::string(line) + "\r\nContent-Length: 5\r\n\r\nhello", 0);
	}
	expect_malformed(kind::ANSWER, ANSWER + "\r\rhello", 0);
	expect_malformed(kind::ANSWER, "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", 0);
}

// Guards against a request behind which the rest of its bytes was read as the next request.
TEST(http_syntax_checker, a_request_with_a_malformed_line_has_no_head) {
	for (const std::string &line : MALFORMED_LINES) {
		expect_malformed(kind::REQUEST, REQUEST + line + "\r\n\r\nhello", 0);
	}
	expect_malformed(kind::REQUEST, "POST / HTTP/1.1\r\nHost: a\r\n\rContent-Length: 5\r\n\r\nhello", 0);
	for (const char *line : { "GET  / HTTP/1.1", "GET /  HTTP/1.1", "GET\t/ HTTP/1.1", "GET /a\tb HTTP/1.1", "GET /a b HTTP/1.1", "GET /\x01 HTTP/1.1", "GET / HTTP/1.1 ", "GET / HTTP/1.10", "GET / ICE/1.0", "GET / HTTP/1.1\rX-I: 1", "GET /", " GET / HTTP/1.1", "\rGET / HTTP/1.1", "G\x01T / HTTP/1.1" }) {
		expect_malformed(kind::REQUEST, std::string(line) + "\r\nHost: a\r\n\r\n", 0);
	}
}

TEST(http_syntax_checker, a_message_in_malformed_chunks_is_never_complete) {
	for (const std::string &chunks : MALFORMED_CHUNKS) {
		expect_malformed(kind::ANSWER, CHUNKED_ANSWER + chunks, 1);
		expect_malformed(kind::REQUEST, CHUNKED_REQUEST + chunks, 1);
	}
}

// Guards against refusing what sound endpoints and callers may send.
TEST(http_syntax_checker, a_message_that_follows_the_syntax_is_read_whole) {
	for (const char *line : { "X!#$%&'*+-.^_`|~09aZ: 1", "X-A:1", "X-A:", "X-A: \t", "X-A: a\tb  c \t ", "X-A: \x80\xff:\"(),/" }) {
		expect_body(kind::ANSWER, ANSWER + line + "\r\n\r\nhello", "hello");
		expect_body(kind::REQUEST, REQUEST + line + "\r\n\r\nhello", "hello");
	}
	for (const char *line : { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.9 299 All  is\twell \xe2\x9c\x93" }) {
		expect_body(kind::ANSWER, std::string(line) + "\r\nContent-Length: 5\r\n\r\nhello", "hello");
	}
	for (const char *start : { "", "\r\n", "\r\n\r\n", "\n", "\n\r\n" }) {
		expect_body(kind::REQUEST, start + REQUEST + "\r\nhello", "hello");
	}
	expect_body(kind::REQUEST, "OPTIONS /\xc3\xa9?a=%20;b=[1]|{}\"<> HTTP/1.0\r\n\r\n", "");
	for (const std::string &chunks : VALID_CHUNKS) {
		expect_body(kind::ANSWER, CHUNKED_ANSWER + chunks, "hello");
		expect_body(kind::REQUEST, CHUNKED_REQUEST + chunks, "hello");
	}
	expect_body(kind::ANSWER, ANSWER + "\r\n\r\n\rh\n", "\r\n\rh\n");
}

TEST(http_syntax_checker, lines_may_end_with_line_feeds_if_all_of_a_head_do) {
	expect_body(kind::ANSWER, "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", "hello");
	expect_body(kind::REQUEST, "POST / HTTP/1.1\nHost: a\nContent-Length: 5\n\nhello", "hello");
	expect_malformed(kind::ANSWER, "HTTP/1.1 200 OK\nContent-Length: 5\r\n\nhello", 0);
	expect_malformed(kind::ANSWER, "HTTP/1.1 200 OK\nContent-Length: 5\n\r\nhello", 0);
	expect_malformed(kind::REQUEST, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\n\nhello", 0);
}

// Guards against a head that names what was not sent, whatever is wrong with the bytes.
RC_GTEST_PROP(http_syntax_checker, what_is_read_of_a_damaged_answer_is_what_was_sent, ()) {
	const std::string bytes = mutate("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: abc\r\nContent-Length: 5\r\nX-B: x\r\n\r\nhello");
	const reading whole = read_whole(kind::ANSWER, bytes);
	const reading in_parts = read_in_parts(kind::ANSWER, bytes, [](std::size_t) { return *rc::gen::inRange<std::size_t>(1, 9); });
	RC_ASSERT(in_parts == whole);
	if (whole.heads == 0) {
		return;
	}
	const std::string line_end = bytes[bytes.find('\n') - 1] == '\r' ? "\r\n" : "\n";
	std::size_t place = bytes.find(line_end) + line_end.size();
	RC_ASSERT(bytes.substr(0, 13).starts_with("HTTP/1."));
	RC_ASSERT(bytes.substr(9, 3) == std::to_string(whole.status));
	for (const std::string &header : whole.headers) {
		std::string line = bytes.substr(place, bytes.find(line_end, place) - place);
		const std::size_t colon = line.find(':');
		RC_ASSERT(colon != std::string::npos);
		const std::size_t value = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
		const std::string trimmed = line.substr(0, colon) + ": " + line.substr(value);
		RC_ASSERT(trimmed.substr(0, trimmed.find_last_not_of(" \t") + 1) == header.substr(0, header.find_last_not_of(" \t") + 1));
		place += line.size() + line_end.size();
	}
	RC_ASSERT(bytes.substr(place, line_end.size()) == line_end);
}

TEST_F(caller_server_test, a_malformed_request_is_refused_and_nothing_behind_it_is_read) {
	const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
	for (const char *request : { "POST / HTTP/1.1\r\nHost: h\r\n\rContent-Length: 5\r\n\r\nhello", "GET / HTTP/1.1\r\nHost: h\r\n b: 2\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nX A: 1\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\rZ\r\nhello\r\n0\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloXY0\r\n\r\n" }) {
		const std::string received = exchange_bytes(request + next);
		EXPECT_TRUE(received.starts_with("HTTP/1.1 400 ")) << request;
		EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << request;
	}
	EXPECT_TRUE(_exchanges.empty());
}

} // namespace calicoscale
