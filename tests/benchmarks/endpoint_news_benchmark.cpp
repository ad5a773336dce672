/*
 * calicoscale: endpoint_news_benchmark.cpp
 * What it takes to tell that all endpoints of a large deployment started again at one moment.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/link_codec.h"
#include "servers/gateway/endpoint_directory.h"

#include <benchmark/benchmark.h>

namespace calicoscale {

namespace {

const instant NOW{ std::chrono::seconds(1000) };
constexpr int ENDPOINTS = 285;

std::vector<endpoint_record> make_records(std::uint64_t p_incarnation) {
	std::vector<endpoint_record> records;
	for (int i = 0; i < ENDPOINTS; i++) {
		endpoint_listing listing;
		listing.vm = "i-7f3a" + std::to_string(1000 + i);
		listing.incarnation = p_incarnation;
		listing.pool = "pool-" + std::to_string(i % 8);
		listing.zone = "zone-" + std::to_string(i % 3);
		listing.address = network_address{ "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250), 8080 };
		records.push_back(endpoint_record{ listing.vm, listing });
	}
	return records;
}

/** The reader of a zone folds what it read and writes the message that each node of the zone gets. */
void reader_of_all_restarts(benchmark::State &p_state) {
	endpoint_directory reader;
	std::uint64_t incarnation = 1'791'000'000'000U;
	std::size_t bytes = 0;
	for (auto _ : p_state) {
		const std::vector<endpoint_record> records = make_records(incarnation++);
		bytes = encode(link_message(report_delta_message{ reader.apply_records(records, 0, ENDPOINTS, NOW) })).size();
	}
	p_state.counters["bytes"] = static_cast<double>(bytes);
}

/** A node of the zone reads that message and folds it. */
void node_told_of_all_restarts(benchmark::State &p_state) {
	endpoint_directory node;
	std::uint64_t incarnation = 1'791'000'000'000U;
	for (auto _ : p_state) {
		p_state.PauseTiming();
		endpoint_directory reader;
		const std::string bytes = encode(link_message(report_delta_message{ reader.apply_records(make_records(incarnation++), 0, ENDPOINTS, NOW) }));
		p_state.ResumeTiming();
		node.apply_delta(std::get<report_delta_message>(*decode_link_message(bytes)).reading, NOW);
	}
}

/** The heartbeat that tells a peer once that all entries lapsed before the endpoints came back. */
void heartbeat_of_all_lost(benchmark::State &p_state) {
	heartbeat_message message;
	for (const endpoint_record &record : make_records(1'791'000'000'000U)) {
		message.gone.push_back(record.listing->get_identity());
	}
	std::size_t bytes = 0;
	for (auto _ : p_state) {
		bytes = encode(link_message(message)).size();
	}
	p_state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(reader_of_all_restarts)->Unit(benchmark::kMicrosecond);
BENCHMARK(node_told_of_all_restarts)->Unit(benchmark::kMicrosecond);
BENCHMARK(heartbeat_of_all_lost)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace calicoscale

BENCHMARK_MAIN();
