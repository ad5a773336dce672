/*
 * calicoscale: standin_test.cpp
 * The stand-ins themselves.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/raw_connection.h"
#include "tests/standins/standin_log.h"

#include <gtest/gtest.h>

namespace calicoscale {

/** Shows only with the leak sanitizer, which the sanitized build of the tests runs. */
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

} // namespace calicoscale
