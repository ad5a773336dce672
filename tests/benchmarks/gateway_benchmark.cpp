/*
 * calicoscale: gateway_benchmark.cpp
 * Times of the gateway's decisions at the sizes of docs/CAPACITY.md.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "platform/configuration_codec.h"
#include "platform/configuration_reader.h"
#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/engine_view.h"
#include "servers/gateway/stage_pool.h"
#include "servers/routing/router.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

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
	spec.capacity_bytes = 1e9;
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

/** Looks for a call in vain: one replica of z0 is free, and each work waits for one of its own zone. */
void pool_whose_works_wait_for_their_zone(benchmark::State &p_state) {
	stage_pool pool = make_pool(41);
	const auto add_work = [&pool](work_id p_id, int p_zone, std::size_t p_pieces) {
		stage_work work;
		work.pieces = p_pieces;
		work.give_up_at = NOW + std::chrono::seconds(12);
		work.due_at = NOW + std::chrono::seconds(10);
		work.zone = "z" + std::to_string(p_zone);
		work.transfer_bytes = 20'000'000;
		work.result_bytes = 1000;
		pool.add(p_id, std::move(work), NOW);
	};
	std::optional<stage_call> of_first_zone;
	for (int i = 0; i < 41; i++) {
		add_work(static_cast<work_id>(i + 1), i % 5, 8);
		const std::optional<stage_call> call = pool.next_call(NOW);
		of_first_zone = call && call->zone == "z0" ? call : of_first_zone;
	}
	pool.cancel(of_first_zone->items.front().work);
	pool.on_call_ended(of_first_zone->id, call_end::REFUSED, {}, NOW - std::chrono::seconds(1));
	for (int i = 0; i < p_state.range(0); i++) {
		add_work(1000 + static_cast<work_id>(i), 1 + i % 4, 1);
	}
	const instant soon = NOW + milliseconds(270);
	if (pool.next_call(soon)) {
		p_state.SkipWithError("a work did not wait");
	}
	for (auto _ : p_state) {
		benchmark::DoNotOptimize(pool.next_call(soon));
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

/** A configuration as the platform writes it, of 40 customers with two keys each; every fifth route has stages. */
std::string write_configuration(int p_routes) {
	std::string text = R"({"version":7,"routes":[)";
	for (int i = 0; i < p_routes; i++) {
		const std::string number = std::to_string(i);
		text += i == 0 ? "" : ",";
		text += R"({"name":"route-)" + number + R"(","host":"h)" + number + R"(.example","path_prefix":"/letters/","route_kind":"streaming","timeout_ms":8000,"slo_ms":1000,"priority":1,)";
		text += i % 5 != 0 ? R"("service":"llm",)" : R"("split":[{"service":"llm","weight":90},{"service":"llm2","weight":10}],"stages":[{"service":"enc","since_rev":[],"size_bytes":3000000},{"service":"enc","since_rev":[0],"size_bytes":8000}],)";
		text += R"("max_attempts":1,"public":false,"sticky":true,"resumable":true,"itl_target_ms":200})";
	}
	text += R"(],"services":[{"name":"llm","engine":{"slots":64}},{"name":"enc","segments":{"slots":1,"batch":8,"call_ms":150.0,"item_ms":16.0,"headroom_mb":42.0}}],"limits":{},"tenants":[)";
	for (int i = 0; i < 40; i++) {
		const std::string number = std::to_string(i);
		text += (i == 0 ? "" : ",") + (R"({"name":"customer-)" + number + R"(","api_keys":["key-a-)" + number + R"(","key-b-)" + number + R"("]})");
	}
	return text + "]}";
}

/** Reads a configuration as a whole. */
void configuration_reading(benchmark::State &p_state) {
	const std::string text = write_configuration(static_cast<int>(p_state.range(0)));
	for (auto _ : p_state) {
		benchmark::DoNotOptimize(parse_gateway_configuration(text));
	}
}

/** Takes the first version by its parts, as each node does at its start. */
void configuration_first_version(benchmark::State &p_state) {
	const std::string text = write_configuration(static_cast<int>(p_state.range(0)));
	for (auto _ : p_state) {
		configuration_reader reader;
		benchmark::DoNotOptimize(reader.take(text));
	}
}

/** Takes versions of which each changes one customer's key and none of the routes. */
void configuration_change(benchmark::State &p_state) {
	const std::string text = write_configuration(static_cast<int>(p_state.range(0)));
	const std::size_t key = text.find("key-a-7");
	configuration_reader reader;
	reader.take(text);
	for (int version = 8; auto _ : p_state) {
		p_state.PauseTiming();
		const std::string changed = R"({"version":)" + std::to_string(version++) + text.substr(12, key - 12) + std::to_string(version) + text.substr(key);
		p_state.ResumeTiming();
		if (!reader.take(changed)) {
			p_state.SkipWithError("a higher version was not taken");
		}
	}
}

endpoint_listing make_listing(int p_number, const std::string &p_pool) {
	endpoint_listing listing;
	listing.vm = "i-" + std::to_string(p_number);
	listing.zone = "z" + std::to_string(p_number % 5);
	listing.pool = p_pool;
	listing.address = network_address{ "10.0.0." + std::to_string(p_number % 250), 8000 };
	return listing;
}

/** 160 engines, 5 replicas of a service, and 120 of three stage pools. */
std::vector<endpoint_listing> make_fleet() {
	std::vector<endpoint_listing> fleet;
	for (int i = 0; i < 285; i++) {
		fleet.push_back(make_listing(i, i < 160 ? "llm" : i < 165 ? "plain"
																  : "pool-" + std::to_string(i % 3)));
	}
	return fleet;
}

/** One of 285 endpoints goes and comes back, as the directory lists them to the routers, and a request looks at the engines. */
void endpoint_change_of_routers(benchmark::State &p_state) {
	endpoint_directory directory;
	const std::vector<endpoint_listing> fleet = make_fleet();
	directory.replace(fleet, NOW);
	router engines("", 1);
	router services("z1", 1);
	bool is_there = true;
	for (auto _ : p_state) {
		is_there = !is_there;
		if (is_there) {
			directory.put(fleet[7]);
		} else {
			directory.drop(fleet[7].vm, NOW);
		}
		std::vector<endpoint_listing> of_engines;
		std::vector<endpoint_listing> others;
		for (const endpoint_listing &listing : directory.get_listings()) {
			(listing.pool == "llm" ? of_engines : others).push_back(listing);
		}
		engines.set_listings(of_engines);
		services.set_listings(others);
		benchmark::DoNotOptimize(engines.get_usable(choice_request{ "llm", {}, 0, {}, nullptr }, NOW));
		engines.take_changes();
	}
}

/** The same for one stage pool of 42 replicas. */
void endpoint_change_of_pool(benchmark::State &p_state) {
	stage_pool pool = make_pool(0);
	std::vector<endpoint_listing> replicas;
	for (int i = 0; i < 42; i++) {
		replicas.push_back(make_listing(i, "pool"));
	}
	const endpoint_listing last = replicas.back();
	for (auto _ : p_state) {
		if (replicas.size() == 42) {
			replicas.pop_back();
		} else {
			replicas.push_back(last);
		}
		pool.set_replicas(replicas);
	}
}

/** Digest of 285 endpoints, at each reading that a node makes or is told. */
void endpoint_list_digest(benchmark::State &p_state) {
	endpoint_directory directory;
	directory.replace(make_fleet(), NOW);
	for (auto _ : p_state) {
		benchmark::DoNotOptimize(directory.get_listed());
	}
}

/** What a request asks of the router before the choice among 160 engines. */
void engine_candidates(benchmark::State &p_state) {
	router engines("", 1);
	std::vector<endpoint_listing> fleet = make_fleet();
	fleet.resize(160);
	engines.set_listings(fleet);
	for (auto _ : p_state) {
		std::vector<engine_candidate> candidates;
		for (const endpoint_state *endpoint : engines.get_usable(choice_request{ "llm", {}, 0, {}, nullptr }, NOW)) {
			candidates.push_back(engine_candidate{ endpoint->id, endpoint->listing.get_identity(), endpoint->listing.zone, endpoint->in_flight });
		}
		benchmark::DoNotOptimize(candidates);
	}
}

BENCHMARK(pool_whose_replicas_are_busy)->Arg(100)->Arg(1000);
BENCHMARK(pool_with_one_free_replica)->Arg(100)->Arg(1000);
BENCHMARK(pool_whose_works_wait_for_their_zone)->Arg(30)->Arg(240);
BENCHMARK(engine_choice)->Arg(18)->Arg(160);
BENCHMARK(engine_candidates);
BENCHMARK(configuration_reading)->Arg(1400);
BENCHMARK(configuration_first_version)->Arg(1400);
BENCHMARK(configuration_change)->Arg(1400);
BENCHMARK(endpoint_change_of_routers);
BENCHMARK(endpoint_change_of_pool);
BENCHMARK(endpoint_list_digest);

} // namespace

} // namespace calicoscale

BENCHMARK_MAIN();
