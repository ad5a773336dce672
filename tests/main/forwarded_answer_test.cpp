/*
 * calicoscale: forwarded_answer_test.cpp
 * Checks of the parts of an answer that a peer forwards.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/forwarded_answer.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

channel_request make_request() {
	channel_request request;
	request.echo_header = "Id";
	request.echo_value = "1";
	return request;
}

http_head make_head(int p_status, std::vector<http_header> p_headers) {
	http_head head;
	head.status = p_status;
	head.headers = std::move(p_headers);
	return head;
}

} // namespace

TEST(forwarded_answer, takes_one_answer_to_its_request) {
	forwarded_answer answer(make_request());
	EXPECT_FALSE(answer.may_have_body());
	EXPECT_TRUE(answer.take_head(make_head(200, { { "Id", "1" } })));
	EXPECT_TRUE(answer.may_have_body());
	EXPECT_FALSE(answer.take_head(make_head(200, { { "Id", "1" } }))) << "a second answer";
	EXPECT_TRUE(forwarded_answer(make_request()).take_head(make_head(503, {}))) << "the peer's connection shows whose answer it is";
	EXPECT_TRUE(forwarded_answer(channel_request()).take_head(make_head(200, {}))) << "answers of stage replicas carry no id";
}

// Guards against passing on, on the word of a peer, what a node would not pass on from a connection of its own.
TEST(forwarded_answer, refuses_what_is_no_answer_to_its_request) {
	const std::vector<http_head> heads{
		make_head(0, { { "Id", "1" } }),
		make_head(103, { { "Id", "1" } }),
		make_head(700, { { "Id", "1" } }),
		make_head(200, { { "Id", "2" } }),
		make_head(200, { { "Id", "1" }, { "id", "2" } }),
		make_head(200, { { "Id", "1" }, { "A b", "c" } }),
		make_head(200, { { "Id", "1" }, { "A", "b\r\nC: d" } }),
		make_head(200, { { "Id", "1" }, { "Content-Length", "1" }, { "Content-Length", "2" } }),
	};
	for (std::size_t i = 0; i < heads.size(); i++) {
		EXPECT_FALSE(forwarded_answer(make_request()).take_head(heads[i])) << i;
	}
}

TEST(forwarded_answer, answers_without_a_body_have_none) {
	channel_request request = make_request();
	forwarded_answer no_content(request);
	EXPECT_TRUE(no_content.take_head(make_head(204, { { "Id", "1" } })));
	EXPECT_FALSE(no_content.may_have_body());
	request.is_head = true;
	forwarded_answer to_head(request);
	EXPECT_TRUE(to_head.take_head(make_head(200, { { "Id", "1" } })));
	EXPECT_FALSE(to_head.may_have_body());
}

} // namespace calicoscale
