/*
 * calicoscale: caller_server_fixture.h
 * Test fixture: a caller server on a real socket.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_SERVER_FIXTURE_H
#define CALLER_SERVER_FIXTURE_H

#include "drivers/caller_server.h"
#include "tests/main/raw_connection.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace calicoscale {

/** Runs a caller server that collects its exchanges; the test answers them. */
class caller_server_test : public ::testing::Test {
protected:
	event_loop _loop;
	std::vector<std::shared_ptr<caller_exchange>> _exchanges;
	std::unique_ptr<caller_server> _server;

	void SetUp() override {
		caller_server_limits limits;
		limits.body_bytes = 1000;
		limits.header_bytes = 2000;
		limits.header_timeout = std::chrono::milliseconds(300);
		limits.idle_timeout = std::chrono::milliseconds(1200);
		_server = std::make_unique<caller_server>(_loop, network_address{ "127.0.0.1", 0 }, limits, [this](const std::shared_ptr<caller_exchange> &p_exchange) { _exchanges.push_back(p_exchange); });
	}

	/** Runs the loop and polls the connection until the condition holds; fails after 20 s. */
	void run_until(raw_connection &r_connection, const std::function<bool()> &p_condition) {
		const instant give_up = event_loop::now() + std::chrono::seconds(20);
		while (!p_condition()) {
			ASSERT_LT(event_loop::now(), give_up);
			timer stop(_loop, [this] { _loop.stop(); });
			stop.set(std::chrono::milliseconds(1));
			_loop.run();
			r_connection.poll();
		}
	}

	std::string exchange_bytes(std::string_view p_request) {
		raw_connection connection(_server->get_address());
		connection.send_bytes(p_request);
		run_until(connection, [&connection] { return connection.is_closed(); });
		return connection.get_received();
	}
};

} // namespace calicoscale

#endif // CALLER_SERVER_FIXTURE_H
