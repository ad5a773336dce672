/*
 * calicoscale: event_splitter_test.cpp
 * Ends of the events of a stream, with any line ends and any split into reads.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

const std::string BYTE_ORDER_MARK = "\xEF\xBB\xBF";

/** Result of parsing the bytes of a whole stream as the event stream standard defines it. */
struct expected_result {
	std::size_t complete_bytes = 0; ///< Bytes up to and including the last empty line.
	std::size_t events = 0;
	std::string last_id;
	bool is_inside = false;
};

expected_result read(const std::string &p_stream) {
	expected_result result;
	std::string id;
	bool has_field = false;
	std::size_t start = p_stream.starts_with(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.size() : 0;
	while (true) {
		std::size_t end = start;
		while (end < p_stream.size() && p_stream[end] != '\r' && p_stream[end] != '\n') {
			end++;
		}
		const std::string line = p_stream.substr(start, end - start);
		if (end == p_stream.size()) {
			result.is_inside = has_field || !line.empty();
			return result;
		}
		start = end + (p_stream.substr(end, 2) == "\r\n" ? 2 : 1);
		if (line.empty()) {
			result.complete_bytes = start;
			result.events += has_field ? 1 : 0;
			result.last_id = id;
			has_field = false;
			continue;
		}
		has_field = has_field || line.front() != ':';
		if (line == "id" || line.starts_with("id:")) {
			id = line.size() < 4 ? "" : line.substr(line[3] == ' ' ? 4 : 3);
		}
	}
}

std::string make_line() {
	const std::string text = *rc::gen::element<std::string>("data: x", "data", ": comment", ":", "id: 7", "id:8", "id", "id:  9", "event: a", "", "", "retry: 3");
	return text + *rc::gen::element<std::string>("\n", "\r\n", "\r");
}

} // namespace

RC_GTEST_PROP(event_splitter, reads_as_the_standard_says_whatever_the_line_ends_and_the_cuts, ()) {
	std::string stream = *rc::gen::arbitrary<bool>() ? BYTE_ORDER_MARK : "";
	const int lines = *rc::gen::inRange(0, 20);
	for (int i = 0; i < lines; i++) {
		stream += make_line();
	}
	// Truncated anywhere except inside a byte order mark, part of which would not be valid text.
	const std::size_t min_size = stream.starts_with(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.size() : 0;
	stream.resize(*rc::gen::inRange<std::size_t>(min_size, stream.size() + 1));
	event_splitter splitter;
	std::string out;
	for (std::size_t position = 0; position < stream.size();) {
		const std::size_t step = *rc::gen::inRange<std::size_t>(1, 6);
		out += splitter.take(std::string_view(stream).substr(position, step));
		position += step;
	}
	const expected_result expected = read(stream);
	RC_ASSERT(out == stream.substr(0, expected.complete_bytes));
	RC_ASSERT(splitter.is_inside_event() == expected.is_inside);
	RC_ASSERT(splitter.get_last_id() == expected.last_id);
	RC_ASSERT(splitter.get_event_count() == expected.events);
	if (!expected.is_inside) {
		RC_ASSERT(out + splitter.take_remainder() == stream);
	}
}

TEST(event_splitter, an_event_goes_out_at_the_carriage_return_that_ends_it) {
	event_splitter splitter;
	EXPECT_EQ(splitter.take("data: a\r\n\r"), "data: a\r\n\r");
	EXPECT_FALSE(splitter.is_inside_event());
	EXPECT_EQ(splitter.take("\ndata: b"), "\n");
	EXPECT_TRUE(splitter.is_inside_event());
}

TEST(event_splitter, another_endpoint_that_goes_on_brings_no_mark_into_the_middle) {
	event_splitter splitter;
	EXPECT_EQ(splitter.take(BYTE_ORDER_MARK + "id: 1\n\nid: 2\nda"), BYTE_ORDER_MARK + "id: 1\n\n");
	splitter.restart();
	EXPECT_FALSE(splitter.is_inside_event());
	EXPECT_EQ(splitter.take("\xEF\xBB"), "");
	EXPECT_EQ(splitter.take("\xBFid: 2\n\n"), "id: 2\n\n");
	EXPECT_EQ(splitter.get_last_id(), "2");
	EXPECT_EQ(splitter.get_event_count(), 2U);
}

TEST(event_splitter, a_stream_that_is_sent_anew_before_anything_went_out_keeps_its_mark) {
	event_splitter splitter;
	EXPECT_EQ(splitter.take("id: 1\nda"), "");
	splitter.restart();
	EXPECT_EQ(splitter.take(BYTE_ORDER_MARK + "id: 1\n\n"), BYTE_ORDER_MARK + "id: 1\n\n");
}

// One endless event must not use up a node's memory, and a stream must not be resumed in the middle of an event.
TEST(event_splitter, of_an_event_larger_than_what_is_held_the_beginning_goes_out) {
	event_splitter splitter(100);
	std::string out = splitter.take("id: 1\n\ndata: ");
	std::string sent = "id: 1\n\ndata: ";
	for (int i = 0; i < 50; i++) {
		const std::string part(30, 'x');
		sent += part;
		out += splitter.take(part);
		EXPECT_LE(splitter.get_buffered_bytes(), 100U);
	}
	EXPECT_TRUE(splitter.is_inside_event());
	EXPECT_TRUE(splitter.has_returned_part());
	out += splitter.take("\n\nid: 3\n\n");
	EXPECT_EQ(out, sent + "\n\nid: 3\n\n");
	EXPECT_FALSE(splitter.has_returned_part());
	EXPECT_FALSE(splitter.is_inside_event());
	EXPECT_EQ(splitter.get_last_id(), "3");
}

TEST(event_splitter, a_large_event_whose_id_may_be_lost_leaves_none_to_go_on_behind) {
	event_splitter splitter(10);
	splitter.take("id: 1\n\n");
	splitter.take("id: 22222222222");
	splitter.take("\ndata: x\n\n");
	EXPECT_EQ(splitter.get_last_id(), "");
}

} // namespace calicoscale
