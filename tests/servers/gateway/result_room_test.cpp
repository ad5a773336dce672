/*
 * calicoscale: result_room_test.cpp
 * Memory that results occupy at replicas, and the measured capacity of a pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/pool_meter.h"
#include "servers/gateway/result_capacity.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant at(int p_ms) {
	return instant(seconds(1000) + milliseconds(p_ms));
}

result_capacity make_capacity() {
	result_capacity capacity;
	capacity.set_bounds(100.0, seconds(4));
	return capacity;
}

} // namespace

TEST(result_room, known_results_take_room_until_they_are_released_or_expire) {
	result_capacity capacity = make_capacity();
	EXPECT_TRUE(capacity.has_capacity({ "r", 1 }, 100.0, at(0)));
	EXPECT_FALSE(capacity.has_capacity({ "r", 1 }, 101.0, at(0)));
	capacity.keep("one", { "r", 1 }, 60.0, "", at(0));
	capacity.keep("one", { "r", 1 }, 60.0, "", at(0));
	EXPECT_EQ(capacity.get_used({ "r", 1 }), 60.0) << "a result is counted once";
	EXPECT_FALSE(capacity.has_capacity({ "r", 1 }, 41.0, at(0)));
	capacity.keep("two", { "r", 1 }, 30.0, "", at(1000));
	capacity.release({ "one", "unknown" });
	EXPECT_TRUE(capacity.has_capacity({ "r", 1 }, 70.0, at(1000)));
	capacity.expire(at(5000));
	EXPECT_EQ(capacity.get_used({ "r", 1 }), 0.0);
}

TEST(result_room, what_a_refusal_shows_goes_with_its_time_to_live) {
	result_capacity capacity = make_capacity();
	capacity.on_refused({ "r", 1 }, 20.0, at(0));
	EXPECT_FALSE(capacity.has_capacity({ "r", 1 }, 21.0, at(0)));
	EXPECT_TRUE(capacity.has_capacity({ "r", 1 }, 59.0, at(2000)));
	EXPECT_TRUE(capacity.has_capacity({ "r", 1 }, 100.0, at(4000)));
}

TEST(result_room, results_are_found_by_who_holds_them) {
	result_capacity capacity = make_capacity();
	capacity.keep("one", { "r", 1 }, 10.0, "", at(0));
	capacity.keep("two", { "r", 1 }, 10.0, "", at(0));
	capacity.set_owner({ "two" }, "node");
	EXPECT_EQ(capacity.get_results_of("node"), (std::vector<std::string>{ "two" }));
	capacity.forget_replica({ "r", 1 });
	EXPECT_TRUE(capacity.get_results_of("node").empty());
}

TEST(pool_meter, tells_a_capacity_only_while_work_waits) {
	stage_pool_spec spec;
	spec.batch = 10;
	spec.call_time = milliseconds(100);
	spec.piece_time = milliseconds(10);
	pool_meter meter;
	meter.tick(spec, 20, at(0));
	for (int now = 100; now <= 1000; now += 100) {
		for (int i = 0; i < 10; i++) {
			meter.on_item_completed();
		}
		meter.tick(spec, 20, at(now));
	}
	ASSERT_TRUE(meter.get_capacity());
	EXPECT_NEAR(*meter.get_capacity(), 2.0, 0.3) << "ten items take 0.2 s of a replica and complete in 0.1 s";
	for (int now = 1100; now <= 2000; now += 100) {
		meter.tick(spec, 0, at(now));
	}
	EXPECT_FALSE(meter.get_capacity());
}

} // namespace calicoscale
