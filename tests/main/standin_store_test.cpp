/*
 * calicoscale: standin_store_test.cpp
 * Tests the rate of the stand-in of the platform's store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

constexpr const char *TOPIC = "keyed.test";
constexpr std::size_t VALUE_BYTES = 2000;
/** Size of an answer with one record: two offsets, the record's length, the key's length, the key and the value. */
constexpr std::size_t ANSWER_BYTES = 16 + 4 + 1 + 1 + VALUE_BYTES;
constexpr double RATE = 10'000.0;
constexpr duration ANSWER_TIME = milliseconds(200); ///< Of an answer with one record, rounded down.

class standin_store_test : public gateway_fixture {
protected:
	void SetUp() override {
		gateway_fixture::SetUp();
		_store.put(TOPIC, "k", std::string(VALUE_BYTES, 'v'));
	}

	std::shared_ptr<caller_result> read_from(std::size_t p_offset, const std::string &p_more = "") {
		return send_bytes(_store.get_address(), "GET /log-read?topic=" + std::string(TOPIC) + "&part=0&source=" + std::to_string(p_offset) + p_more + " HTTP/1.1\r\nHost: h\r\n\r\n");
	}

	void await(const std::shared_ptr<caller_result> &p_result) {
		run_until([&p_result] { return p_result->end.has_value(); });
	}

	void await_calls(std::size_t p_calls) {
		run_until([this, p_calls] { return _store.get_calls() == p_calls; });
	}
};

} // namespace

TEST_F(standin_store_test, without_a_rate_answers_leave_at_once_and_none_is_refused) {
	for (int i = 0; i < 20; i++) {
		const std::shared_ptr<caller_result> result = read_from(0);
		await(result);
		EXPECT_EQ(result->body.size(), ANSWER_BYTES);
	}
	EXPECT_EQ(_store.get_bytes_given(), 20 * ANSWER_BYTES);
	EXPECT_EQ(_store.get_refusals(), 0U);
}

TEST_F(standin_store_test, answers_leave_in_order_of_arrival_at_the_rate) {
	_store.set_rate(RATE, seconds(10));
	const instant began_at = event_loop::now();
	const std::shared_ptr<caller_result> first = read_from(0);
	await_calls(1);
	const std::shared_ptr<caller_result> second = read_from(0);
	await(first);
	EXPECT_GE(event_loop::now() - began_at, ANSWER_TIME);
	EXPECT_FALSE(second->end.has_value());
	EXPECT_EQ(_store.get_bytes_given(), ANSWER_BYTES);
	await(second);
	EXPECT_GE(event_loop::now() - began_at, 2 * ANSWER_TIME);
	EXPECT_EQ(second->body.size(), ANSWER_BYTES);
	EXPECT_EQ(_store.get_bytes_given(), 2 * ANSWER_BYTES);
	EXPECT_EQ(_store.get_refusals(), 0U);
}

TEST_F(standin_store_test, a_call_behind_too_long_a_queue_is_refused_at_once) {
	_store.set_rate(RATE / 10, milliseconds(100));
	const std::shared_ptr<caller_result> first = read_from(0);
	await_calls(1);
	const std::shared_ptr<caller_result> second = read_from(0);
	await(second);
	EXPECT_EQ(second->head.status, 503);
	EXPECT_FALSE(first->end.has_value());
	EXPECT_EQ(_store.get_refusals(), 1U);
	EXPECT_EQ(_store.get_bytes_given(), 0U);
	await(first);
	EXPECT_EQ(first->head.status, 200);
	const std::shared_ptr<caller_result> third = read_from(0);
	await(third);
	EXPECT_EQ(third->head.status, 200) << "the queue is empty again";
	EXPECT_EQ(_store.get_refusals(), 1U);
}

TEST_F(standin_store_test, an_append_that_is_refused_writes_nothing) {
	_store.set_rate(RATE / 10, milliseconds(100));
	read_from(0);
	await_calls(1);
	const std::string record("\0\0\0\x03\x01kw", 7);
	const std::shared_ptr<caller_result> append = send_bytes(_store.get_address(), "POST /log-append?topic=" + std::string(TOPIC) + "&part=0 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(record.size()) + "\r\n\r\n" + record);
	await(append);
	EXPECT_EQ(append->head.status, 503);
	EXPECT_EQ(_store.get_end(TOPIC), 1U);
}

TEST_F(standin_store_test, a_waiting_read_takes_its_turn_when_it_is_answered) {
	_store.set_rate(RATE, milliseconds(100));
	const std::shared_ptr<caller_result> waiting = read_from(1, "&wait_ms=20000");
	await_calls(1);
	const std::shared_ptr<caller_result> first = read_from(0);
	await(first);
	EXPECT_EQ(first->head.status, 200) << "a read that waits occupies no queue";
	const instant put_at = event_loop::now();
	_store.put(TOPIC, "k", std::string(VALUE_BYTES, 'w'));
	await(waiting);
	EXPECT_GE(event_loop::now() - put_at, ANSWER_TIME);
	EXPECT_EQ(waiting->body.size(), ANSWER_BYTES);
	EXPECT_EQ(_store.get_bytes_given(), 2 * ANSWER_BYTES);
}

TEST_F(standin_store_test, queued_answers_end_with_503_when_it_goes_away_and_stay_unanswered_when_it_is_mute) {
	_store.set_rate(RATE / 10, seconds(10));
	const std::shared_ptr<caller_result> refused = read_from(0);
	await_calls(1);
	_store.set_away(true);
	await(refused);
	EXPECT_EQ(refused->head.status, 503);
	_store.set_away(false);
	read_from(0);
	await_calls(2);
	_store.set_mute(true);
	EXPECT_EQ(_store.count_unanswered(), 1U);
	EXPECT_EQ(_store.get_bytes_given(), 0U);
}

} // namespace calicoscale
