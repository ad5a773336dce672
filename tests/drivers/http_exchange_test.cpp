/*
 * calicoscale: http_exchange_test.cpp
 * Checks the HTTP reader, the caller server and the endpoint channels on real sockets, including misbehaving peers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_channels.h"
#include "tests/drivers/caller_server_fixture.h"
#include "tests/main/bare_endpoint.h"
#include "tests/main/raw_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <thread>

namespace calicoscale {

namespace {

constexpr std::size_t MAX_HEADER_BYTES = 4096;

struct read_message {
	http_head head;
	std::string body;
	http_reader::state state = http_reader::state::READING;
	std::size_t consumed = 0;
};

read_message read(http_reader::kind p_kind, std::string_view p_bytes, bool p_close = false) {
	read_message message;
	http_reader reader(p_kind, http_reader::hooks{ [&message](const http_head &p_head) { message.head = p_head; }, [&message](std::string_view p_part) { message.body.append(p_part); } }, MAX_HEADER_BYTES);
	message.consumed = reader.feed(p_bytes);
	if (p_close) {
		reader.finish_at_close();
	}
	message.state = reader.get_state();
	return message;
}

} // namespace

TEST(http_reader, keeps_target_and_header_order_and_stops_behind_the_message) {
	const std::string first = "POST /a%2Fb//c?x=1;y HTTP/1.1\r\nHost: h\r\nB: 2\r\na: 1\r\nContent-Length: 3\r\n\r\nabc";
	const read_message message = read(http_reader::kind::REQUEST, first + "GET / HTTP/1.1\r\n\r\n");
	EXPECT_EQ(message.state, http_reader::state::COMPLETE);
	EXPECT_EQ(message.consumed, first.size());
	EXPECT_EQ(message.head.target, "/a%2Fb//c?x=1;y");
	ASSERT_EQ(message.head.headers.size(), 4U);
	EXPECT_EQ(message.head.headers[2].name, "a");
	EXPECT_EQ(message.body, "abc");
}

TEST(http_reader, refuses_what_could_be_framed_in_two_ways) {
	for (const char *hostile : {
				 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
				 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
				 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost : h\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
				 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
				 "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
				 "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
				 "\x16\x03\x01\x02",
		 }) {
		EXPECT_EQ(read(http_reader::kind::REQUEST, hostile).state, http_reader::state::MALFORMED) << hostile;
	}
	const std::string large = "GET / HTTP/1.1\r\nX: " + std::string(MAX_HEADER_BYTES, 'x') + "\r\n\r\n";
	EXPECT_EQ(read(http_reader::kind::REQUEST, large).state, http_reader::state::HEADERS_TOO_LARGE);
}

// Guards against reading the bytes behind a head as a body that its status does not have.
TEST(http_reader, an_answer_of_a_status_without_a_body_ends_with_its_headers) {
	for (const char *status : { "103 Early Hints", "204 No Content", "304 Not Modified" }) {
		for (const char *framing : { "Content-Length: 5", "Transfer-Encoding: chunked", "A: b" }) {
			const std::string head = "HTTP/1.1 " + std::string(status) + "\r\n" + framing + "\r\n\r\n";
			const read_message message = read(http_reader::kind::ANSWER, head + "5\r\nbytes\r\n0\r\n\r\n");
			EXPECT_EQ(message.state, http_reader::state::COMPLETE) << head;
			EXPECT_EQ(message.consumed, head.size()) << head;
			EXPECT_EQ(message.body, "") << head;
		}
	}
}

TEST(http_reader, an_answer_of_a_status_that_no_answer_has_is_malformed) {
	for (const char *status : { "0", "99", "101", "600", "999" }) {
		EXPECT_EQ(read(http_reader::kind::ANSWER, "HTTP/1.1 " + std::string(status) + " Status\r\nContent-Length: 0\r\n\r\n").state, http_reader::state::MALFORMED) << status;
	}
}

// Guards against headers that arrive behind a body and were not checked, which were passed on with those of the head.
TEST(http_reader, fields_behind_a_body_in_chunks_are_no_headers) {
	const std::string fields = "0\r\nX-Tenant: other\r\nHost: other\r\nContent-Length: 5\r\n\r\n";
	http_reader reader(http_reader::kind::REQUEST, http_reader::hooks{ [](const http_head &) {}, [](std::string_view) {} }, MAX_HEADER_BYTES);
	reader.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n" + fields);
	EXPECT_EQ(reader.get_state(), http_reader::state::COMPLETE);
	EXPECT_EQ(reader.get_head().headers.size(), 2U);
	const std::string large = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(MAX_HEADER_BYTES, 'x') + "\r\n\r\n";
	EXPECT_EQ(read(http_reader::kind::REQUEST, large).state, http_reader::state::HEADERS_TOO_LARGE);
}

TEST(http_reader, an_answer_without_a_length_is_whole_at_an_orderly_close_only) {
	const std::string text = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nsome bytes";
	EXPECT_EQ(read(http_reader::kind::ANSWER, text).state, http_reader::state::READING);
	EXPECT_EQ(read(http_reader::kind::ANSWER, text, true).state, http_reader::state::COMPLETE);
	EXPECT_FALSE(read(http_reader::kind::ANSWER, text).head.has_length());
	const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nsome bytes";
	EXPECT_EQ(read(http_reader::kind::ANSWER, cut, true).state, http_reader::state::READING);
}

RC_GTEST_PROP(http_reader, reads_the_same_whatever_the_cuts, ()) {
	const std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n";
	std::string body;
	http_reader reader(http_reader::kind::REQUEST, http_reader::hooks{ [](const http_head &) {}, [&body](std::string_view p_part) { body.append(p_part); } }, MAX_HEADER_BYTES);
	std::size_t place = 0;
	while (place < text.size()) {
		const std::size_t step = std::min<std::size_t>(text.size() - place, *rc::gen::inRange<std::size_t>(1, 20));
		RC_ASSERT(reader.feed(std::string_view(text).substr(place, step)) == step);
		place += step;
	}
	RC_ASSERT(reader.get_state() == http_reader::state::COMPLETE);
	RC_ASSERT(body == "abc0123456789abcdef");
}

TEST_F(caller_server_test, answers_one_request_after_the_other) {
	raw_connection connection(_server->get_address());
	connection.send_bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(connection, [this] { return _exchanges.size() == 1; });
	EXPECT_EQ(_server->get_open_requests(), 1U);
	_exchanges[0]->reply(200, { { "A", "b" } }, "one");
	run_until(connection, [this] { return _exchanges.size() == 2; });
	EXPECT_EQ(_exchanges[1]->head.target, "/2");
	_exchanges[1]->start(200, {});
	_exchanges[1]->send("two");
	_exchanges[1]->end();
	run_until(connection, [&connection] { return connection.get_received().ends_with("0\r\n\r\n"); });
	EXPECT_NE(connection.get_received().find("A: b\r\nContent-Length: 3\r\n\r\none"), std::string::npos);
	EXPECT_NE(connection.get_received().find("Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(caller_server_test, an_answer_broken_off_does_not_look_whole) {
	raw_connection connection(_server->get_address());
	connection.send_bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(connection, [this] { return _exchanges.size() == 1; });
	_exchanges[0]->start(200, {});
	_exchanges[0]->send("part");
	_exchanges[0]->abort();
	run_until(connection, [&connection] { return connection.is_closed(); });
	EXPECT_TRUE(connection.get_received().ends_with("4\r\npart\r\n"));
}

TEST_F(caller_server_test, an_answer_that_ends_with_its_connection_is_whole_at_an_orderly_close) {
	raw_connection connection(_server->get_address());
	connection.send_bytes("GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
	run_until(connection, [this] { return _exchanges.size() == 1; });
	_exchanges[0]->start(200, {});
	_exchanges[0]->send("whole");
	_exchanges[0]->end();
	run_until(connection, [&connection] { return connection.is_closed(); });
	EXPECT_FALSE(connection.is_reset());
	EXPECT_TRUE(connection.get_received().ends_with("\r\n\r\nwhole"));
}

// Guards against a truncated answer that looks complete. Without chunked encoding the close of the connection marks the end
// of the answer, so a node that exits in the middle of an answer must reset the connection instead of closing it in order.
TEST_F(caller_server_test, an_answer_that_ends_with_its_connection_is_reset_when_the_server_goes) {
	raw_connection connection(_server->get_address());
	connection.send_bytes("GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
	run_until(connection, [this] { return _exchanges.size() == 1; });
	_exchanges[0]->start(200, {});
	_exchanges[0]->send("part");
	run_until(connection, [&connection] { return connection.get_received().ends_with("part"); });
	_server.reset();
	run_until(connection, [&connection] { return connection.is_closed(); });
	EXPECT_TRUE(connection.is_reset());
}

TEST_F(caller_server_test, tells_when_the_caller_goes) {
	bool is_disconnected = false;
	std::unique_ptr<raw_connection> connection = std::make_unique<raw_connection>(_server->get_address());
	connection->send_bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(*connection, [this] { return _exchanges.size() == 1; });
	_exchanges[0]->set_on_disconnect([&is_disconnected] { is_disconnected = true; });
	connection->close_sending();
	run_until(*connection, [&is_disconnected] { return is_disconnected; });
	_exchanges[0]->reply(200, {}, "goes nowhere");
	EXPECT_TRUE(_exchanges[0]->is_gone());
	EXPECT_EQ(_server->get_open_requests(), 0U);
}

// Guards against a use after free: a server may be destroyed in the same loop turn in which one of its connections closes,
// and the connection is freed after the server.
TEST_F(caller_server_test, a_connection_that_is_freed_after_its_server_does_not_touch_it) {
	std::optional<raw_connection> connection(_server->get_address());
	connection->send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(*connection, [this] { return !_exchanges.empty(); });
	_exchanges.front()->set_on_disconnect([this] { _loop.stop(); });
	connection.reset();
	while (!_exchanges.front()->is_gone()) {
		_loop.run_pending();
	}
	_server.reset();
	_loop.run_pending();
}

TEST_F(caller_server_test, refuses_what_is_malformed_or_too_large) {
	EXPECT_TRUE(exchange_bytes("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n").starts_with("HTTP/1.1 400 "));
	EXPECT_TRUE(exchange_bytes("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 400 "));
	EXPECT_TRUE(exchange_bytes("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400 "));
	EXPECT_TRUE(exchange_bytes("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n").starts_with("HTTP/1.1 413 "));
	EXPECT_TRUE(exchange_bytes("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431 "));
	EXPECT_TRUE(exchange_bytes("GET / HTTP/1.1\r\nHost:").starts_with("HTTP/1.1 408 "));
	EXPECT_TRUE(_exchanges.empty());
	EXPECT_EQ(_server->get_rejected(), 6U);
}

TEST_F(caller_server_test, a_stop_ends_idle_connections_and_none_that_carries_a_request) {
	raw_connection idle(_server->get_address());
	raw_connection busy(_server->get_address());
	busy.send_bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(busy, [this] { return _exchanges.size() == 1 && _server->get_connection_count() == 2; });
	_server->stop_listening();
	run_until(idle, [&idle] { return idle.is_closed(); });
	busy.poll();
	EXPECT_FALSE(busy.is_closed());
	_exchanges[0]->reply(200, {}, "whole");
	run_until(busy, [&busy] { return busy.is_closed(); });
	EXPECT_TRUE(busy.get_received().ends_with("Connection: close\r\n\r\nwhole"));
}

namespace {

/** Runs channels to an endpoint that answers with bytes chosen by the test. */
class endpoint_channels_test : public ::testing::Test {
protected:
	event_loop _loop;
	raw_server _endpoint{ _loop };
	endpoint_channels _channels{ _loop };
	std::uint64_t _endpoint_start = 1;
	int _next_echo = 1;

	struct exchange_outcome {
		int status = 0;
		std::string body;
		std::optional<channel_end> end;
	};

	std::shared_ptr<exchange_outcome> start(const std::string &p_echo = "r1") { return start(p_echo, _endpoint.get_address()); }

	std::shared_ptr<exchange_outcome> start(const std::string &p_echo, const network_address &p_to) {
		const std::shared_ptr<exchange_outcome> result = std::make_shared<exchange_outcome>();
		channel_request request;
		request.endpoint = endpoint_identity{ "e1", _endpoint_start };
		request.to = p_to;
		request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
		request.echo_header = "Echo";
		request.echo_value = p_echo;
		_channels.start(std::move(request), channel_hooks{ [result](const http_head &p_head) { result->status = p_head.status; }, [result](std::string_view p_bytes) { result->body.append(p_bytes); }, [result](channel_end p_end) { result->end = p_end; } });
		return result;
	}

	void run_until(const std::function<bool()> &p_condition) {
		const instant give_up = event_loop::now() + std::chrono::seconds(20);
		while (!p_condition()) {
			ASSERT_LT(event_loop::now(), give_up);
			timer stop(_loop, [this] { _loop.stop(); });
			stop.set(std::chrono::milliseconds(1));
			_loop.run();
		}
	}

	/** Runs an exchange with an id of its own, by default a new one. In the answer, "$echo" stands for it. */
	std::shared_ptr<exchange_outcome> run(const std::string &p_answer, raw_server::after p_after, std::string p_echo = "") {
		if (p_echo.empty()) {
			p_echo = "id-" + std::to_string(_next_echo++);
		}
		std::string answer = p_answer;
		for (std::size_t place = answer.find("$echo"); place != std::string::npos; place = answer.find("$echo")) {
			answer.replace(place, 5, p_echo);
		}
		_endpoint.set_answer(answer, p_after);
		const std::shared_ptr<exchange_outcome> result = start(p_echo);
		run_until([&result] { return result->end.has_value(); });
		return result;
	}
};

std::string write_answer(const std::string &p_echo) {
	return "HTTP/1.1 200 OK\r\nEcho: " + p_echo + "\r\nContent-Length: 2\r\n\r\nok";
}

const std::string COMPLETE_ANSWER = write_answer("$echo");

} // namespace

TEST_F(endpoint_channels_test, keeps_a_connection_for_the_next_request) {
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->end, channel_end::COMPLETE);
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->body, "ok");
	EXPECT_EQ(_channels.get_opened(), 1U);
}

TEST_F(endpoint_channels_test, a_kept_connection_whose_end_waits_in_the_socket_is_not_used) {
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->end, channel_end::COMPLETE);
	// The loop does not run between the endpoint's close and the next request.
	_endpoint.close_connections();
	const std::shared_ptr<exchange_outcome> next = run(COMPLETE_ANSWER, raw_server::after::KEEP);
	EXPECT_EQ(next->end, channel_end::COMPLETE) << "a request that may run once would count as one that may have run";
	EXPECT_EQ(_channels.get_opened(), 2U);
}

TEST_F(endpoint_channels_test, a_connection_that_came_up_while_the_loop_was_held_up_is_used) {
	_endpoint.set_answer(write_answer("r1"), raw_server::after::KEEP);
	const std::shared_ptr<exchange_outcome> result = start();
	std::this_thread::sleep_for(channel_request().connect_timeout + std::chrono::milliseconds(100));
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->end, channel_end::COMPLETE) << "the endpoint would be taken for unreachable";
}

TEST_F(endpoint_channels_test, a_kept_connection_on_which_surplus_bytes_wait_in_the_socket_is_not_used) {
	bare_endpoint endpoint;
	const std::shared_ptr<exchange_outcome> first = start("r1", endpoint.get_address());
	run_until([&endpoint] { return endpoint.has_request(); });
	endpoint.answer(write_answer("r1"));
	run_until([&first] { return first->end.has_value(); });
	endpoint.answer(write_answer("r1"));
	const std::shared_ptr<exchange_outcome> second = start("r2", endpoint.get_address());
	EXPECT_EQ(_channels.get_opened(), 2U) << "the surplus would be taken for the answer to this request";
	EXPECT_FALSE(second->end.has_value());
}

TEST_F(endpoint_channels_test, surplus_bytes_end_the_connection) {
	EXPECT_EQ(run(COMPLETE_ANSWER + COMPLETE_ANSWER, raw_server::after::KEEP)->body, "ok");
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->end, channel_end::COMPLETE);
	EXPECT_EQ(_channels.get_opened(), 2U);
}

TEST_F(endpoint_channels_test, a_late_answer_to_another_request_is_skipped) {
	const std::shared_ptr<exchange_outcome> result = run("HTTP/1.1 200 OK\r\nEcho: other\r\nContent-Length: 5\r\n\r\nwrong" + COMPLETE_ANSWER, raw_server::after::KEEP);
	EXPECT_EQ(result->body, "ok");
	EXPECT_EQ(_channels.get_skipped_answers(), 1U);
}

// Guards against taking a late copy of an answer for the answer to the next send of the same request.
TEST_F(endpoint_channels_test, a_request_is_not_sent_again_over_a_connection_that_carried_it) {
	run(COMPLETE_ANSWER, raw_server::after::KEEP, "twice");
	run(COMPLETE_ANSWER, raw_server::after::KEEP, "other");
	EXPECT_EQ(_channels.get_opened(), 1U);
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP, "twice")->body, "ok");
	EXPECT_EQ(_channels.get_opened(), 2U);
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP, "third")->body, "ok");
	EXPECT_EQ(_channels.get_opened(), 2U) << "the connection that was passed over stays in use";
}

TEST_F(endpoint_channels_test, a_connection_is_not_kept_after_an_answer_to_another_request) {
	run("HTTP/1.1 200 OK\r\nEcho: other\r\nContent-Length: 5\r\n\r\nwrong" + COMPLETE_ANSWER, raw_server::after::KEEP);
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->body, "ok");
	EXPECT_EQ(_channels.get_opened(), 2U);
}

// Guards against believing an answer without an id where a copy of an earlier one may come.
TEST_F(endpoint_channels_test, an_answer_without_an_id_counts_on_a_new_connection_only) {
	const std::string anonymous = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
	EXPECT_EQ(run(anonymous, raw_server::after::KEEP)->end, channel_end::COMPLETE);
	EXPECT_EQ(run(anonymous, raw_server::after::KEEP)->end, channel_end::MALFORMED);
	EXPECT_EQ(run(anonymous, raw_server::after::KEEP)->end, channel_end::COMPLETE) << "the connection was closed";
	EXPECT_EQ(_channels.get_opened(), 2U);
}

TEST_F(endpoint_channels_test, bytes_that_belong_to_no_request_are_reported_with_their_place) {
	std::vector<surplus_report> reports;
	_channels.set_on_surplus([&reports](const surplus_report &p_surplus) { reports.push_back(p_surplus); });
	run(COMPLETE_ANSWER, raw_server::after::KEEP);
	run("HTTP/1.1 200 OK\r\nEcho: other\r\nContent-Length: 5\r\n\r\nwrong" + COMPLETE_ANSWER, raw_server::after::KEEP, "asked");
	ASSERT_EQ(reports.size(), 1U);
	EXPECT_EQ(reports[0].kind, surplus_kind::OTHER_ANSWER);
	EXPECT_EQ(reports[0].expected_echo, "asked");
	EXPECT_EQ(reports[0].received_echo, "other");
	EXPECT_EQ(reports[0].position.connection, 1U);
	EXPECT_EQ(reports[0].position.place, 2U);
}

// Guards against counting a request as not sent when its connection came up while the process was held up.
TEST_F(endpoint_channels_test, an_exchange_that_ends_as_not_connected_after_a_hold_up_has_sent_nothing) {
	bare_endpoint endpoint;
	const std::shared_ptr<exchange_outcome> result = start("r1", endpoint.get_address());
	// Longer than connections to a replaced endpoint are left alone. The loop does not run meanwhile.
	std::this_thread::sleep_for(std::chrono::milliseconds(2100));
	EXPECT_EQ(_channels.end_replaced({ "e1", 1 }, std::chrono::hours(0)), 1U);
	EXPECT_EQ(result->end, channel_end::CONNECT_FAILED);
	const instant ended = event_loop::now();
	run_until([ended] { return event_loop::now() - ended > std::chrono::milliseconds(50); });
	EXPECT_FALSE(endpoint.has_request());
}

TEST_F(endpoint_channels_test, interim_answers_are_not_the_answer) {
	EXPECT_EQ(run("HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_ANSWER, raw_server::after::KEEP)->status, 200);
}

TEST_F(endpoint_channels_test, what_is_cut_or_reset_is_broken_and_what_is_no_answer_malformed) {
	EXPECT_EQ(run("HTTP/1.1 200 OK\r\nEcho: $echo\r\nContent-Length: 9\r\n\r\nok", raw_server::after::CLOSE)->end, channel_end::BROKEN);
	EXPECT_EQ(run("", raw_server::after::CLOSE)->end, channel_end::BROKEN);
	EXPECT_EQ(run("HTTP/1.1 200 OK\r\nEcho: $echo\r\n\r\nunframed", raw_server::after::CLOSE)->end, channel_end::COMPLETE);
	EXPECT_EQ(run("HTTP/1.1 200 OK\r\nEcho: $echo\r\n\r\nunframed", raw_server::after::RESET)->end, channel_end::BROKEN);
	EXPECT_EQ(run("no answer at all\r\n\r\n", raw_server::after::KEEP)->end, channel_end::MALFORMED);
	EXPECT_EQ(run("HTTP/1.1 200 OK\r\nEcho: $echo\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", raw_server::after::KEEP)->end, channel_end::MALFORMED);
}

TEST_F(endpoint_channels_test, nothing_is_kept_from_one_start_of_an_endpoint_to_the_next) {
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->end, channel_end::COMPLETE);
	_endpoint_start++;
	EXPECT_EQ(run(COMPLETE_ANSWER, raw_server::after::KEEP)->body, "ok");
	EXPECT_EQ(_channels.get_opened(), 2U);
}

TEST_F(endpoint_channels_test, exchanges_with_a_replaced_start_end_as_broken_and_those_with_the_later_one_go_on) {
	_endpoint.set_answer("", raw_server::after::KEEP);
	const std::shared_ptr<exchange_outcome> earlier = start();
	const instant opened = event_loop::now();
	run_until([opened] { return event_loop::now() - opened > std::chrono::milliseconds(2200); });
	const std::shared_ptr<exchange_outcome> fresh = start();
	_endpoint_start++;
	const std::shared_ptr<exchange_outcome> later = start();
	run_until([fresh, later, this] { return _channels.get_opened() == 3U; });
	EXPECT_EQ(_channels.end_replaced({ "e1", 1 }, std::chrono::hours(1)), 0U) << "the later start is older than the connections";
	EXPECT_EQ(_channels.end_replaced({ "e1", 1 }, std::chrono::milliseconds(-5000)), 1U) << "the time of day may have jumped";
	EXPECT_EQ(earlier->end, channel_end::BROKEN);
	EXPECT_FALSE(fresh->end.has_value()) << "its connection may be one with the later start";
	EXPECT_FALSE(later->end.has_value());
}

TEST_F(endpoint_channels_test, a_dead_port_fails_before_anything_is_sent) {
	_endpoint.close();
	const std::shared_ptr<exchange_outcome> result = start();
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->end, channel_end::CONNECT_FAILED);
}

} // namespace calicoscale
