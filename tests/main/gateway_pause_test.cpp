/*
 * calicoscale: gateway_pause_test.cpp
 * Tests process stalls: some gateways are paused while others continue.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** The gateways on the second loop are paused while that loop is not run. */
class gateway_pause_test : public gateway_fixture {
protected:
	event_loop _pausing;

	void TearDown() override { _gateways.clear(); }

	std::size_t count_handed() const {
		std::size_t count = 0;
		for (std::size_t i = 1; i < _gateways.size(); i++) {
			count += _gateways[i]->get_accepted_work_count();
		}
		return count;
	}
};

} // namespace

// Guards against stage work that runs twice: its owner passes it to another node while the first one is paused, and the first
// one runs it as well when it resumes.
TEST_F(gateway_pause_test, work_that_was_handed_to_a_node_before_it_stood_still_is_not_done_there_after) {
	constexpr int REQUESTS = 24;
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	gateway &owner = start_ready();
	_gateway_loop = &_pausing;
	_other_loop = &_pausing;
	for (int i = 0; i < 3; i++) {
		start_ready();
	}
	wait(milliseconds(900));
	encode.hold_stages = true;
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < REQUESTS; i++) {
		results.push_back(send(owner, "/stream/staged/x", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: k\r\n"));
	}
	run_until([&encode] { return encode.get_held_stages() > 0; });
	wait(milliseconds(60));
	ASSERT_GT(count_handed(), 8U) << "more than a call takes is handed to nodes that will stand still";
	_other_loop = nullptr;
	run_until([&owner] { return owner.get_live_count() == 1; });
	encode.run_held_stages();
	run_until([&results] { return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	const std::size_t calls = encode.stage_calls;
	_other_loop = &_pausing;
	wait(milliseconds(500));
	EXPECT_EQ(encode.stage_calls, calls);
	for (const std::shared_ptr<caller_result> &result : results) {
		EXPECT_EQ(result->body, WHOLE_STREAM);
	}
}

} // namespace calicoscale
