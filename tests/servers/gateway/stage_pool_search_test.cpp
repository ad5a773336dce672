/*
 * calicoscale: stage_pool_search_test.cpp
 * Cost of the search for a call while many works wait.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_pool.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int REPLICAS = 41;
constexpr int ZONES = 5;
const instant NOW{ seconds(1000) };
/** Time at which calls of eight items have completed. */
const instant LATER = NOW + milliseconds(150 + 8 * 16);

/** Pool of a fleet of hundreds of nodes in five zones. Counts the evaluations of the limit of a replica. */
class busy_pool {
	stage_pool _pool;
	std::uint64_t _limit_queries = 0;
	work_id _next_work = 1;

public:
	std::map<std::string, std::vector<stage_call>> calls; ///< Running calls, by zone.

	busy_pool() {
		stage_pool_spec spec;
		spec.slots = 1;
		spec.batch = 8;
		spec.call_time = milliseconds(150);
		spec.piece_time = milliseconds(16);
		spec.capacity_bytes = 42e6;
		spec.result_ttl = seconds(4);
		_pool.set_spec(spec);
		_pool.set_limit([this](const endpoint_identity &, instant) {
			_limit_queries++;
			return true;
		});
		std::vector<endpoint_listing> replicas;
		for (int i = 0; i < REPLICAS; i++) {
			endpoint_listing listing;
			listing.vm = "i-" + std::to_string(i);
			listing.zone = "z" + std::to_string(i % ZONES);
			replicas.push_back(listing);
		}
		_pool.set_replicas(replicas);
		// Occupies each replica with one call.
		for (int i = 0; i < REPLICAS; i++) {
			add("z" + std::to_string(i % ZONES), 8);
			const std::optional<stage_call> call = _pool.next_call(NOW);
			if (call) {
				calls[call->zone].push_back(*call);
			}
		}
	}

	stage_pool &get() { return _pool; }
	std::uint64_t take_limit_queries() { return std::exchange(_limit_queries, 0); }

	/** Adds work whose results are large and that has enough time to wait for a replica of its zone. */
	void add(const std::string &p_zone, std::size_t p_pieces) {
		stage_work work;
		work.attempt = std::to_string(_next_work);
		work.pieces = p_pieces;
		work.due_at = NOW + seconds(10);
		work.give_up_at = NOW + seconds(12);
		work.zone = p_zone;
		work.transfer_bytes = 20'000'000;
		work.result_bytes = 1000;
		_pool.add(_next_work++, std::move(work), NOW);
	}

	void refuse_call(const std::string &p_zone) {
		_pool.on_call_ended(calls.at(p_zone).back().id, call_end::REFUSED, {}, LATER);
		calls.at(p_zone).pop_back();
	}

	void complete_call(const std::string &p_zone) {
		const stage_call call = calls.at(p_zone).back();
		calls.at(p_zone).pop_back();
		std::vector<item_result> results;
		for (const stage_item &item : call.items) {
			results.push_back(item_result{ item_end::DONE, std::to_string(call.id) + "." + std::to_string(item.piece) });
		}
		_pool.on_call_ended(call.id, call_end::ANSWERED, results, LATER);
	}
};

} // namespace

// Guards against a dispatcher that uses all its processor time for searches during a burst and serves too little (SHORT).
TEST(stage_pool_search, a_search_asks_each_replica_once_however_many_works_wait) {
	busy_pool pool;
	// Fewer than fill one call at each replica of a zone.
	for (int i = 0; i < 240; i++) {
		pool.add("z" + std::to_string(1 + i % (ZONES - 1)), 1);
	}
	pool.complete_call("z0");
	pool.take_limit_queries();
	EXPECT_FALSE(pool.get().next_call(LATER)) << "all works wait for replicas of their zone";
	// One evaluation to find whether any replica is free, and one to list the candidates.
	EXPECT_LE(pool.take_limit_queries(), 2U * REPLICAS);
}

TEST(stage_pool_search, a_call_that_is_filled_asks_each_replica_once_however_many_works_wait) {
	busy_pool pool;
	for (int i = 0; i < 500; i++) {
		pool.add("z" + std::to_string(i % ZONES), 1);
	}
	pool.complete_call("z0");
	pool.take_limit_queries();
	const std::optional<stage_call> call = pool.get().next_call(LATER);
	ASSERT_TRUE(call);
	EXPECT_EQ(call->items.size(), 8U);
	EXPECT_LE(pool.take_limit_queries(), 2U * REPLICAS);
}

// Guards against searches whose total time grows with the square of the number of waiting works.
TEST(stage_pool_search, work_that_comes_after_a_vain_search_is_looked_at_alone) {
	busy_pool pool;
	pool.complete_call("z0");
	constexpr int WORKS = 240;
	const std::uint64_t before = pool.get().get_examined();
	for (int i = 0; i < WORKS; i++) {
		pool.add("z" + std::to_string(1 + i % (ZONES - 1)), 1);
		EXPECT_FALSE(pool.get().next_call(LATER));
	}
	EXPECT_LE(pool.get().get_examined() - before, static_cast<std::uint64_t>(WORKS));
}

TEST(stage_pool_search, work_that_may_go_anywhere_takes_the_free_replica_after_a_vain_search) {
	busy_pool pool;
	pool.complete_call("z0");
	pool.add("z1", 1);
	ASSERT_FALSE(pool.get().next_call(LATER));
	pool.add("", 1);
	const std::optional<stage_call> call = pool.get().next_call(LATER);
	ASSERT_TRUE(call);
	EXPECT_EQ(call->zone, "z0");
}

TEST(stage_pool_search, all_works_are_looked_at_again_when_a_call_ends_or_time_passes) {
	busy_pool pool;
	pool.complete_call("z0");
	pool.add("z1", 1);
	ASSERT_FALSE(pool.get().next_call(LATER));
	pool.complete_call("z1");
	const std::optional<stage_call> call = pool.get().next_call(LATER);
	ASSERT_TRUE(call);
	EXPECT_EQ(call->zone, "z1");

	// A replica that refuses a call gets none for a short time.
	pool.refuse_call("z2");
	ASSERT_FALSE(pool.get().next_call(LATER));
	EXPECT_TRUE(pool.get().next_call(LATER + milliseconds(70)));
}

} // namespace calicoscale
