/*
 * calicoscale: slow_reader_test.cpp
 * Checks the handling of callers that read their answers slowly or not at all.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_channels.h"
#include "tests/drivers/caller_server_fixture.h"

#include <algorithm>
#include <list>

namespace calicoscale {

namespace {

constexpr std::size_t CHUNK_BYTES = 8000;
constexpr std::size_t ANSWER_BYTES = 24UL * 1024 * 1024;
constexpr std::size_t WRITE_BUDGET_BYTES = 2UL * 1024 * 1024;

/** Forwards answers to callers from an endpoint that sends as fast as its answers are read. */
class slow_reader_test : public ::testing::Test {
protected:
	/** An answer that the endpoint is sending. */
	struct source {
		std::shared_ptr<caller_exchange> exchange;
		std::size_t left = ANSWER_BYTES;
	};

	event_loop _loop;
	endpoint_channels _channels{ _loop };
	std::list<source> _sources;
	std::list<std::shared_ptr<caller_exchange>> _forwarded;
	caller_server _endpoint{ _loop, network_address{ "127.0.0.1", 0 }, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _begin(p_exchange); } };
	caller_server _gateway{ _loop, network_address{ "127.0.0.1", 0 }, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _forward(p_exchange); } };
	std::size_t _max_buffered_bytes = 0;
	std::size_t _slow_readers = 0;

	void SetUp() override {
		_gateway.set_write_budget(WRITE_BUDGET_BYTES);
		_gateway.set_on_slow_reader([this](const slow_reader &) { _slow_readers++; });
	}

	void _begin(const std::shared_ptr<caller_exchange> &p_exchange) {
		_sources.push_back(source{ p_exchange });
		source &new_source = _sources.back();
		p_exchange->start(200, {});
		p_exchange->set_on_flow([&new_source](bool p_may_send) {
			if (p_may_send) {
				_fill(new_source);
			}
		});
		_fill(new_source);
	}

	static void _fill(source &r_source) {
		while (r_source.left > 0 && !r_source.exchange->is_full() && !r_source.exchange->is_gone()) {
			const std::size_t size = std::min(CHUNK_BYTES, r_source.left);
			r_source.left -= size;
			r_source.exchange->send(std::string(size, 'x'));
		}
		if (r_source.left == 0) {
			r_source.exchange->end();
		}
	}

	void _forward(const std::shared_ptr<caller_exchange> &p_exchange) {
		channel_request request;
		request.endpoint.vm = "i-" + std::to_string(_forwarded.size());
		request.to = _endpoint.get_address();
		request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
		channel_hooks hooks;
		hooks.on_head = [p_exchange](const http_head &) { p_exchange->start(200, {}); };
		hooks.on_body = [this, p_exchange](std::string_view p_bytes) {
			p_exchange->send(p_bytes);
			_max_buffered_bytes = std::max(_max_buffered_bytes, _gateway.get_buffered_bytes());
		};
		hooks.on_end = [p_exchange](channel_end) { p_exchange->end(); };
		const exchange_id id = _channels.start(std::move(request), std::move(hooks));
		p_exchange->set_on_flow([this, id](bool p_may_send) { _channels.set_reading(id, p_may_send); });
		p_exchange->set_on_disconnect([this, id] { _channels.cancel(id); });
		_forwarded.push_back(p_exchange);
	}

	void run_until(const std::function<bool()> &p_condition) {
		const instant give_up = event_loop::now() + std::chrono::seconds(60);
		while (!p_condition()) {
			ASSERT_LT(event_loop::now(), give_up);
			timer stop(_loop, [this] { _loop.stop(); });
			stop.set(std::chrono::milliseconds(1));
			_loop.run();
		}
	}
};

} // namespace

TEST_F(slow_reader_test, callers_that_take_nothing_hold_no_more_than_their_share_and_delay_nobody) {
	std::list<raw_connection> stuck;
	for (int i = 0; i < 60; i++) {
		stuck.emplace_back(_gateway.get_address()).send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	}
	raw_connection quick(_gateway.get_address());
	quick.send_bytes("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	std::size_t received = 0;
	run_until([&quick, &received] {
		quick.poll();
		received = quick.get_received().size();
		return received >= ANSWER_BYTES;
	});
	EXPECT_LE(_max_buffered_bytes, WRITE_BUDGET_BYTES);
	EXPECT_GE(received, ANSWER_BYTES);
}

TEST_F(slow_reader_test, a_caller_that_takes_a_byte_at_a_time_goes_on) {
	raw_connection slow(_gateway.get_address());
	slow.send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until([this, &slow, polled = 0]() mutable {
		polled++;
		if (polled % 40 == 0) {
			slow.poll();
		}
		return slow.get_received().size() >= ANSWER_BYTES / 4;
	});
	EXPECT_FALSE(slow.is_closed());
	EXPECT_LE(_max_buffered_bytes, WRITE_BUDGET_BYTES);
}

TEST_F(slow_reader_test, while_too_much_is_held_whoever_takes_nothing_is_ended) {
	caller_server reply_server(_loop, network_address{ "127.0.0.1", 0 }, caller_server_limits(), [](const std::shared_ptr<caller_exchange> &p_exchange) { p_exchange->reply(200, {}, std::string(ANSWER_BYTES, 'x')); });
	reply_server.set_write_budget(WRITE_BUDGET_BYTES);
	reply_server.set_on_slow_reader([this](const slow_reader &) { _slow_readers++; });
	raw_connection stuck(reply_server.get_address());
	stuck.send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until([this] { return _slow_readers > 0; });
	EXPECT_EQ(reply_server.get_ended().at(connection_end::STALLED), 1U);
	run_until([&reply_server] { return reply_server.get_buffered_bytes() == 0; });
}

} // namespace calicoscale
