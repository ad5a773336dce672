/*
 * calicoscale: standin_test.cpp
 * Tests the stand-ins.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/socket_address.h"
#include "tests/main/raw_connection.h"
#include "tests/standins/standin_log.h"
#include "tests/standins/standin_server.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace calicoscale {

/** Guards against a leak of a delayed answer; only the leak sanitizer of the sanitized build detects it. */
TEST(standin_log, an_answer_still_delayed_at_the_end_is_freed) {
	event_loop loop;
	standin_log log(loop, network_address{ "127.0.0.1", 0 });
	fault_setting<log_fault> slow;
	slow.fault = log_fault::SLOW;
	slow.amount = 100'000.0;
	log.set_fault(slow);
	raw_connection connection(log.get_address());
	connection.send_bytes("GET /v1/streams/claims/records?from=0&most=1 HTTP/1.1\r\nHost: h\r\n\r\n");
	timer stop(loop, [&loop] { loop.stop(); });
	stop.set(std::chrono::milliseconds(200));
	loop.run();
	connection.poll();
	EXPECT_EQ(connection.get_received(), "");
}

TEST(standin_server, the_port_of_one_that_is_shut_goes_to_nobody_else_and_it_can_listen_there_again) {
	event_loop loop;
	standin_server server(loop, network_address{ "127.0.0.1", 0 }, [](std::unique_ptr<http_exchange>) {});
	const network_address address = server.get_address();
	server.set_open(false);
	const int other = socket(AF_INET, SOCK_STREAM, 0);
	const sockaddr_in wanted = make_socket_address(address);
	EXPECT_NE(bind(other, reinterpret_cast<const sockaddr *>(&wanted), sizeof(wanted)), 0);
	close(other);
	const int caller = socket(AF_INET, SOCK_STREAM, 0);
	EXPECT_NE(connect(caller, reinterpret_cast<const sockaddr *>(&wanted), sizeof(wanted)), 0) << "it refuses";
	close(caller);
	server.set_open(true);
	EXPECT_EQ(to_string(server.get_address()), to_string(address));
	const int next = socket(AF_INET, SOCK_STREAM, 0);
	EXPECT_EQ(connect(next, reinterpret_cast<const sockaddr *>(&wanted), sizeof(wanted)), 0);
	close(next);
}

} // namespace calicoscale
