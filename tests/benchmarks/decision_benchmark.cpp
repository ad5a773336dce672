/*
 * calicoscale: decision_benchmark.cpp
 * Time and bytes of the decisions at the sizes of the capacity page.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/digest.h"
#include "drivers/link_codec.h"
#include "servers/configuration/configuration_parser.h"
#include "servers/ledger/ledger_fold.h"
#include "servers/limits/customer_limiter.h"
#include "servers/limits/pool_gate.h"
#include "servers/membership/member_table.h"
#include "servers/once/claim_registry.h"
#include "servers/request/request_flow.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

instant at(std::int64_t p_microseconds) {
	return instant(duration(p_microseconds));
}

std::vector<endpoint_listing> make_listings(std::int64_t p_count) {
	std::vector<endpoint_listing> listings;
	for (std::int64_t i = 0; i < p_count; i++) {
		endpoint_listing listing;
		listing.vm = "endpoint-vm-" + std::to_string(i);
		listing.incarnation = 1;
		listing.zone = "zone-" + std::to_string(i % 28);
		listing.pool = "pool";
		listing.address = network_address{ "127.0.0.1", 8000 };
		listing.labels.values = { { "model", "m" }, { "zone", listing.zone }, { "pool", "pool" } };
		listings.push_back(listing);
	}
	return listings;
}

double get_heap_bytes() {
	return static_cast<double>(mallinfo2().uordblks);
}

member_digest make_digest(std::int64_t p_number) {
	member_digest digest;
	digest.vm = "entry-vm-" + std::to_string(p_number);
	digest.incarnation = 1'900'000'000'000'000'000U;
	digest.heartbeat = 1;
	digest.zone = "zone-" + std::to_string(p_number % 28);
	digest.region = "region-1";
	digest.link = network_address{ "10.11.12.13", 7002 };
	digest.admin = network_address{ "10.11.12.13", 7001 };
	for (int i = 0; i < 8; i++) {
		digest.demand[get_customer_code("customer-" + std::to_string(i))] = 1.5;
	}
	return digest;
}

std::vector<member_digest> make_digests(std::int64_t p_count) {
	std::vector<member_digest> digests;
	for (std::int64_t i = 1; i < p_count; i++) {
		digests.push_back(make_digest(i));
	}
	return digests;
}

/** Decisions around whole requests of four stages, without sockets. */
class request_desk {
	router _router{ "zone-1", 1 };
	std::map<std::size_t, pool_gate> _gates;
	stage_times _times;
	customer_limiter _limiter;
	cost_ledger _ledger{ "vm", 1 };
	std::int64_t _customers;
	std::uint64_t _next = 1;
	std::int64_t _now = 1;

	flow_hooks _make_hooks() {
		flow_hooks hooks;
		hooks.choose = [this](const choice_request &p_request, instant p_now) { return _router.choose(p_request, p_now); };
		hooks.may_retry = [](const std::string &, instant) { return true; };
		hooks.may_hedge = [](const std::string &, instant) { return true; };
		hooks.estimate = [this](const request_plan &p_plan, std::size_t p_stage, instant p_now) {
			const size_class size = get_size_class(p_plan, p_stage);
			return stage_estimate{ _times.estimate("pool", time_kind::TOTAL, size, 0.5, p_now), _times.estimate("pool", time_kind::UNLOADED, size, 0.2, p_now), _times.estimate("pool", time_kind::TOTAL, size, 0.95, p_now), duration::zero() };
		};
		hooks.draw = [] { return 0.5; };
		return hooks;
	}

public:
	request_desk(std::int64_t p_endpoints, std::int64_t p_customers) :
			_customers(p_customers) {
		_router.set_listings(make_listings(p_endpoints));
		for (std::int64_t i = 0; i < p_customers; i++) {
			_limiter.set_part("customer-" + std::to_string(i), customer_limits{ 1e9, 1.0, 1'000'000 }, node_limit_share{ 1.0, 1'000'000 }, at(0));
		}
		for (std::size_t stage = 0; stage < 4; stage++) {
			_gates.try_emplace(stage, 1000);
		}
		for (int i = 0; i < 100; i++) {
			_times.add("pool", time_kind::TOTAL, 1, std::chrono::milliseconds(10), at(0));
			_times.add("pool", time_kind::UNLOADED, 1, std::chrono::milliseconds(10), at(0));
		}
	}

	void run_one() {
		request_plan plan;
		plan.id = request_id{ 1, _next++ };
		plan.customer = "customer-" + std::to_string(_next % static_cast<std::uint64_t>(_customers));
		plan.pipeline = "pipeline";
		plan.input = std::string(500, 'x');
		plan.deadline = at(_now + 4'000'000);
		for (int i = 0; i < 4; i++) {
			stage_plan stage;
			stage.name = "stage";
			stage.pool = "pool";
			plan.stages.push_back(stage);
		}
		_limiter.ask(plan.customer, at(_now));
		const std::string customer = plan.customer;
		request_flow flow(std::move(plan), _make_hooks());
		flow.start(at(_now));
		for (std::size_t stage = 0; stage < 4; stage++) {
			queued_request waiting;
			waiting.id = flow.get_plan().id;
			waiting.customer = customer;
			waiting.start_by = at(_now + 1'000'000);
			_gates.at(stage).enter(waiting, at(_now));
			const std::vector<request_action> actions = flow.on_slot_granted(at(_now));
			const start_attempt &attempt = std::get<start_attempt>(actions.front());
			_router.on_attempt_started(attempt.endpoint, at(_now));
			_now += 10'000;
			const outcome result{ verdict::COMPLETED, reason::NONE };
			_router.on_attempt_ended(attempt.endpoint, attempt_observation{ result, std::chrono::milliseconds(10), std::chrono::milliseconds(10) }, at(_now));
			_times.add("pool", time_kind::TOTAL, 1, std::chrono::milliseconds(10), at(_now));
			attempt_end end;
			end.result = result;
			end.output = "\"done\"";
			end.cost_known = true;
			end.units = 1.0;
			flow.on_attempt_ended(attempt.id, end, at(_now));
			_gates.at(stage).leave(slot_outcome::SUCCEEDED, std::chrono::milliseconds(10), 1.0, at(_now));
			_ledger.book(cost_key{ customer, "pipeline", "stage", "pool", cost_use::USEFUL }, cost_sum{ 1000, 1, 1 });
		}
		_limiter.on_ended(customer);
	}
};

void routing_choice(benchmark::State &r_state) {
	const double before = get_heap_bytes();
	router table("zone-1", 1);
	table.set_listings(make_listings(r_state.range(0)));
	choice_request request;
	request.pool = "pool";
	table.choose(request, at(0));
	r_state.counters["bytes"] = get_heap_bytes() - before;
	std::int64_t now = 0;
	for (auto _ : r_state) {
		benchmark::DoNotOptimize(table.choose(request, at(now++)));
	}
}

void routing_choice_with_affinity(benchmark::State &r_state) {
	router table("zone-1", 1);
	table.set_listings(make_listings(r_state.range(0)));
	choice_request request;
	request.pool = "pool";
	std::int64_t now = 0;
	for (auto _ : r_state) {
		request.affinity_key = hash_bytes("key", static_cast<std::uint64_t>(now)) | 1U;
		benchmark::DoNotOptimize(table.choose(request, at(now++)));
	}
}

void whole_request(benchmark::State &r_state) {
	request_desk desk(r_state.range(0), r_state.range(1));
	for (auto _ : r_state) {
		desk.run_one();
	}
}

void list_of_vms_changed(benchmark::State &r_state) {
	router table("zone-1", 1);
	std::vector<endpoint_listing> listings = make_listings(r_state.range(0));
	choice_request request;
	request.pool = "pool";
	std::uint64_t turn = 0;
	for (auto _ : r_state) {
		listings[0].labels.values["turn"] = std::to_string(turn++);
		table.set_listings(listings);
		table.choose(request, at(0));
	}
}

void limit_parts_of_a_customer(benchmark::State &r_state) {
	std::vector<share_member> members;
	std::vector<std::string> zones;
	for (int i = 0; i < 28; i++) {
		zones.push_back("zone-" + std::to_string(i));
	}
	for (std::int64_t i = 0; i < r_state.range(0); i++) {
		members.push_back(share_member{ "vm" + std::to_string(i), zones[static_cast<std::size_t>(i) % 28], true, { { get_customer_code("c"), 1.0 } } });
	}
	for (auto _ : r_state) {
		benchmark::DoNotOptimize(compute_limit_share("vm0", members, zones, "c", 100.0, 200));
	}
}

void heartbeat_received(benchmark::State &r_state) {
	const double before = get_heap_bytes();
	member_table table(make_digest(0));
	table.merge_digests(make_digests(r_state.range(0)), at(0));
	r_state.counters["bytes"] = get_heap_bytes() - before;
	heartbeat_message message;
	message.digests = table.make_heartbeat();
	std::size_t frame = 0;
	for (auto _ : r_state) {
		const std::string bytes = encode(link_message(message));
		frame = bytes.size();
		const std::optional<link_message> decoded = decode_link_message(bytes);
		table.merge_digests(std::get<heartbeat_message>(*decoded).digests, at(0));
	}
	r_state.counters["frame_bytes"] = static_cast<double>(frame);
}

std::string make_document(std::int64_t p_customers) {
	nlohmann::json document;
	document["pools"] = nlohmann::json::array({ { { "name", "p" }, { "kind", "encode" } } });
	for (int i = 0; i < 18; i++) {
		document["pipelines"].push_back({ { "name", "pipeline-" + std::to_string(i) }, { "default_deadline_ms", 4000 }, { "stages", { { { "name", "a" }, { "pool", "p" } }, { { "name", "b" }, { "pool", "p" } }, { { "name", "c" }, { "pool", "p" } } } } });
	}
	for (std::int64_t i = 0; i < p_customers; i++) {
		std::string hash = sha256_hex(std::to_string(i));
		document["customers"].push_back({ { "name", "customer-" + std::to_string(i) }, { "key_sha256", hash }, { "limits", { { "requests_per_second", 100 }, { "concurrency", 100 } } }, { "labels", { { "tier", "large" } } } });
	}
	return document.dump();
}

void configuration_change(benchmark::State &r_state) {
	const std::string document = make_document(r_state.range(0));
	configuration_fold fold(parse_configuration);
	std::uint64_t offset = 0;
	for (auto _ : r_state) {
		const std::string record = encode(change_record{ "c" + std::to_string(offset), fold.get_version(), "a", 0, document });
		fold.take_read(0, { log_entry{ offset, record } }, 0);
		offset++;
	}
	if (fold.get_version() != offset) {
		r_state.SkipWithError("a change was not accepted");
	}
	r_state.counters["document_bytes"] = static_cast<double>(document.size());
}

void ledger_entry_written(benchmark::State &r_state) {
	std::size_t bytes = 0;
	for (auto _ : r_state) {
		cost_ledger ledger("vm", 1);
		for (std::int64_t i = 0; i < r_state.range(0); i++) {
			ledger.book(cost_key{ "customer-" + std::to_string(i), "pipeline", "stage", "pool", cost_use::USEFUL }, cost_sum{ 1000, 1, 1 });
		}
		bytes = encode(*ledger.get_entry(0)).size();
	}
	r_state.counters["entry_bytes"] = static_cast<double>(bytes);
}

void claim_folded(benchmark::State &r_state) {
	claim_batch batch;
	batch.vm = "other";
	batch.incarnation = 9;
	claim_registry book("vm", 1, std::chrono::minutes(10), 100'000'000);
	std::uint64_t offset = 0;
	const double before = get_heap_bytes();
	for (auto _ : r_state) {
		batch.claims = { claim_entry{ "customer-1", sha256_hex(std::to_string(offset)), 1000, offset } };
		const std::string record = encode(batch);
		book.take_read(0, { decode_claim_batch(record) }, offset + 1, true, 1000);
		offset++;
		r_state.counters["record_bytes"] = static_cast<double>(record.size());
	}
	r_state.counters["bytes_a_claim"] = (get_heap_bytes() - before) / static_cast<double>(offset);
}

BENCHMARK(routing_choice)->Arg(10)->Arg(100)->Arg(1000)->Arg(2700);
BENCHMARK(routing_choice_with_affinity)->Arg(10)->Arg(100)->Arg(1000)->Arg(2700);
BENCHMARK(whole_request)->Args({ 10, 5 })->Args({ 100, 5 })->Args({ 1000, 5 })->Args({ 2700, 5 })->Args({ 2700, 350 });
BENCHMARK(list_of_vms_changed)->Arg(100)->Arg(2700);
BENCHMARK(limit_parts_of_a_customer)->Arg(9)->Arg(100)->Arg(410);
BENCHMARK(heartbeat_received)->Arg(9)->Arg(100)->Arg(410);
BENCHMARK(configuration_change)->Arg(5)->Arg(350);
BENCHMARK(ledger_entry_written)->Arg(5)->Arg(50);
BENCHMARK(claim_folded);

} // namespace

} // namespace calicoscale

BENCHMARK_MAIN();
