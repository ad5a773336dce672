/*
 * calicoscale: gateway_benchmark.cpp
 * Times of the gateway's decisions at the sizes of docs/CAPACITY.md.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/engine_view.h"
#include "servers/gateway/stage_pool.h"

#include <benchmark/benchmark.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

const instant NOW{ std::chrono::seconds(1000) };

stage_pool make_pool(int p_replicas) {
	stage_pool_spec spec;
	spec.slots = 1;
	spec.batch = 8;
	spec.call_time = milliseconds(150);
	spec.piece_time = milliseconds(16);
	spec.room_bytes = 1e9;
	spec.result_ttl = std::chrono::seconds(8);
	stage_pool pool;
	pool.set_spec(spec);
	std::vector<endpoint_listing> listings;
	for (int i = 0; i < p_replicas; i++) {
		endpoint_listing listing;
		listing.vm = "i-" + std::to_string(i);
		listing.zone = "z" + std::to_string(i % 5);
		listings.push_back(listing);
	}
	pool.set_replicas(listings);
	return pool;
}

/** Works whose results are large, each for one of five zones. */
void add_works(stage_pool &r_pool, int p_count, work_id p_first) {
	for (int i = 0; i < p_count; i++) {
		stage_work work;
		work.pieces = 3;
		work.give_up_at = NOW + std::chrono::seconds(8);
		work.due_at = NOW + milliseconds(500 + i % 1000);
		work.zone = "z" + std::to_string(i % 5);
		work.transfer_bytes = 3'000'000;
		work.result_bytes = 1'000'000;
		r_pool.add(p_first + static_cast<work_id>(i), std::move(work), NOW);
	}
}

/**
 * Looks for a call while all 41 replicas are at work and works wait, as a dispatcher does at each work that comes.
 * With 1,000 works 17 ms when each was asked for its best replica all the same, 0.2 us when none is asked.
 */
void pool_whose_replicas_are_busy(benchmark::State &p_state) {
	stage_pool pool = make_pool(41);
	add_works(pool, 200, 1);
	while (pool.next_call(NOW)) {
	}
	add_works(pool, static_cast<int>(p_state.range(0)), 1000);
	for (auto _ : p_state) {
		benchmark::DoNotOptimize(pool.next_call(NOW));
	}
}

/** Fills a call when one of 41 replicas comes free. */
void pool_with_one_free_replica(benchmark::State &p_state) {
	stage_pool pool = make_pool(41);
	add_works(pool, 200, 1);
	std::optional<stage_call> last;
	while (const std::optional<stage_call> call = pool.next_call(NOW)) {
		last = call;
	}
	add_works(pool, static_cast<int>(p_state.range(0)), 1000);
	for (auto _ : p_state) {
		pool.on_call_ended(last->id, call_end::REFUSED, {}, NOW - std::chrono::seconds(1));
		last = pool.next_call(NOW);
	}
}

/** Chooses an engine for a prompt of which some engines have read a part. */
void engine_choice(benchmark::State &p_state) {
	engine_view engines;
	std::vector<engine_candidate> candidates;
	for (int i = 0; i < p_state.range(0); i++) {
		candidates.push_back(engine_candidate{ static_cast<std::uint64_t>(i), { "i-" + std::to_string(i), 1'791'000'000'000U }, "z" + std::to_string(i % 5), i % 3 });
	}
	const std::vector<prompt_link> prompt{ { 1, 2520 }, { 2, 3780 }, { 3, 2890 } };
	for (std::size_t i = 0; i < candidates.size(); i += 9) {
		engines.on_sent(candidates[i].engine, prompt, NOW);
	}
	for (auto _ : p_state) {
		benchmark::DoNotOptimize(engines.choose(candidates, prompt, "z1", NOW));
	}
}

BENCHMARK(pool_whose_replicas_are_busy)->Arg(100)->Arg(1000);
BENCHMARK(pool_with_one_free_replica)->Arg(100)->Arg(1000);
BENCHMARK(engine_choice)->Arg(18)->Arg(160);

} // namespace

} // namespace calicoscale

BENCHMARK_MAIN();
