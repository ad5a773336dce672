/*
 * calicoscale: gateway_store_overload_test.cpp
 * Tests that a fleet whose nodes would overload the store if each read it by itself recovers from what makes them do so.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/store_coverage.h"
#include "tests/main/gateway_fixture.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr std::size_t NODES = 40;
constexpr std::size_t ZONES = 2;
/** Nodes large enough to be hubs, two in each zone; they are started first. */
constexpr std::size_t LARGE_NODES = 4;
constexpr double LARGE_CORES = 4.0;
constexpr double SMALL_CORES = 1.0;
constexpr std::size_t ENDPOINTS = 300;
constexpr std::size_t PAGE = 100;
/** Interval at which a part of the entries is rewritten. Times are measured in these rounds, which a slow machine prolongs. */
constexpr duration ROUND = milliseconds(100);
constexpr std::size_t ROUNDS_PER_SECOND = 10;
constexpr std::size_t REWRITTEN_PER_ROUND = 30;
/** Length of a record in an answer beyond its key and value: the length of the record and that of the key. */
constexpr std::size_t RECORD_OVERHEAD = 5;
/** The store can send its records to this number of readers in each zone. */
constexpr double READERS_PER_ZONE = 3.0;
static_assert(READERS_PER_ZONE * 3 <= static_cast<double>(NODES) / ZONES, "the store can't send its records to all nodes");
constexpr duration LONGEST_QUEUE = milliseconds(500);
/** A change that is written after the trigger must be known to all nodes within this time. */
constexpr std::size_t RECOVERY_ROUNDS = 3 * ROUNDS_PER_SECOND;
constexpr std::size_t TRIGGER_ROUNDS = 3 * ROUNDS_PER_SECOND;
constexpr const char *LATE_KEY = "key-of-2";

std::string get_zone(std::size_t p_node) {
	return std::string(1, static_cast<char>('a' + p_node % ZONES));
}

/** What a node knows of the changes written after the trigger. */
struct node_view {
	const gateway *node = nullptr;
	std::shared_ptr<caller_result> endpoint_probe;
	std::shared_ptr<caller_result> configuration_probe;
	bool has_endpoint = false;
	bool has_configuration = false;
};

class gateway_store_overload_test : public gateway_fixture {
	timer _round_timer{ _loop, [this] { _on_round(); } };
	std::size_t _rounds = 0;
	std::size_t _next_entry = 0;
	std::vector<node_view> _views;
	std::string _history;

	static std::string _get_name(std::size_t p_endpoint) { return "i-bulk-" + std::to_string(p_endpoint); }

	std::string _get_entry(std::size_t p_endpoint) const {
		return json{ { "service", "bulk" }, { "address", "127.0.0.1:" + std::to_string(1 + p_endpoint) }, { "zone", get_zone(p_endpoint) }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq_no", _rounds + 1 }, { "born", 1'790'000'000'000 + p_endpoint } }.dump();
	}

	void _on_round() {
		for (std::size_t i = 0; i < REWRITTEN_PER_ROUND; i++) {
			_store.put(ENDPOINT_TOPIC, _get_name(_next_entry), _get_entry(_next_entry));
			_next_entry = (_next_entry + 1) % ENDPOINTS;
		}
		_rounds++;
		_round_timer.set(ROUND);
	}

	/** Bytes per second that one reader needs. */
	double _get_reader_rate() const {
		const std::size_t record = RECORD_OVERHEAD + _get_name(ENDPOINTS - 1).size() + _get_entry(ENDPOINTS - 1).size();
		return static_cast<double>(record * REWRITTEN_PER_ROUND * ROUNDS_PER_SECOND);
	}

	double _get_store_rate() const { return _get_reader_rate() * ZONES * READERS_PER_ZONE; }

	std::size_t _count_lacking(bool node_view::*p_has) const {
		return static_cast<std::size_t>(std::count_if(_views.begin(), _views.end(), [p_has](const node_view &p_view) { return !(p_view.*p_has); }));
	}

	/** Sends the next probes of a node. Only a node with the late configuration admits its key; only the late endpoint answers. */
	void _probe(node_view &r_view) {
		if (r_view.configuration_probe && r_view.configuration_probe->end) {
			const int status = r_view.configuration_probe->head.status;
			r_view.has_configuration = r_view.has_configuration || (status != 0 && status != 401);
			r_view.configuration_probe.reset();
		}
		if (r_view.endpoint_probe && r_view.endpoint_probe->end) {
			r_view.has_endpoint = r_view.has_endpoint || r_view.endpoint_probe->head.status == 200;
			r_view.endpoint_probe.reset();
		}
		if (!r_view.configuration_probe && !r_view.has_configuration) {
			r_view.configuration_probe = send(*r_view.node, "/hasty/", LATE_KEY);
		}
		if (!r_view.endpoint_probe && !r_view.has_endpoint) {
			r_view.endpoint_probe = send(*r_view.node, "/hasty/");
		}
	}

	void _note_history(std::size_t p_since) {
		_history += "after " + std::to_string(_rounds - p_since) + " rounds: " + std::to_string(_count_lacking(&node_view::has_configuration)) + " nodes without the configuration, " + std::to_string(_count_lacking(&node_view::has_endpoint)) + " without the endpoint, " + std::to_string(_store.get_refusals()) + " refusals, " + std::to_string(_store.get_bytes_given()) + " bytes, " + std::to_string(_store.get_calls()) + " calls\n";
	}

protected:
	void wait_rounds(std::size_t p_rounds) {
		const std::size_t until = _rounds + p_rounds;
		run_until([this, until] { return _rounds >= until; });
	}

	/** Starts the fleet before a store with a rate, and checks that the store is far from its limit. */
	void start_fleet() {
		_store.set_page_size(PAGE);
		configure(1);
		for (std::size_t i = 0; i < ENDPOINTS; i++) {
			_store.put(ENDPOINT_TOPIC, _get_name(i), _get_entry(i));
		}
		const double rate = _get_store_rate();
		_adjust_settings = [rate](gateway_settings &r_settings) { r_settings.store.bytes_per_second = rate; };
		_most_seeds = LARGE_NODES;
		for (std::size_t zone = 0; zone < ZONES; zone++) {
			_regions[get_zone(zone)] = "r";
		}
		for (std::size_t i = 0; i < NODES; i++) {
			_zone = get_zone(i);
			_cores = i < LARGE_NODES ? LARGE_CORES : SMALL_CORES;
			start_gateway();
		}
		run_until([this] { return std::all_of(_gateways.begin(), _gateways.end(), [](const std::unique_ptr<gateway> &p_node) { return p_node->is_ready(); }); });
		_on_round();
		wait_rounds(4 * ROUNDS_PER_SECOND);
		_store.set_rate(rate, LONGEST_QUEUE);
		wait_rounds(ROUNDS_PER_SECOND);
		const std::uint64_t given = _store.get_bytes_given();
		const std::size_t refusals = _store.get_refusals();
		wait_rounds(2 * ROUNDS_PER_SECOND);
		ASSERT_EQ(_store.get_refusals(), refusals) << "before the trigger";
		// A reading that began before this time may end in it.
		ASSERT_LE(static_cast<double>(_store.get_bytes_given() - given), 1.1 * 3 * ZONES * _get_reader_rate()) << "only one node of each zone reads";
	}

	/** Ends the processes of the nodes that read for their zones. */
	void crash_readers() {
		std::map<std::string, std::vector<std::string>> hubs;
		for (std::size_t i = 0; i < LARGE_NODES; i++) {
			hubs[get_zone(i)].push_back("n" + std::to_string(i));
		}
		for (std::size_t i = LARGE_NODES; i-- > 0;) {
			if (choose_reader(get_zone(i), hubs[get_zone(i)]) == "n" + std::to_string(i)) {
				_gateways.erase(_gateways.begin() + static_cast<std::ptrdiff_t>(i));
			}
		}
		ASSERT_EQ(_gateways.size(), NODES - ZONES);
	}

	/** Writes an endpoint and a configuration, and checks that all nodes soon use both and that the store refuses nothing later. */
	void expect_recovery() {
		const std::size_t since = _rounds;
		add_replica("llm");
		json changed = make_configuration(2);
		changed["tenants"][0]["api_keys"] = { "key-1", LATE_KEY };
		_store.put(CONFIGURATION_TOPIC, "config", changed.dump());
		for (const std::unique_ptr<gateway> &node : _gateways) {
			_views.push_back(node_view{ node.get(), nullptr, nullptr, false, false });
		}
		_note_history(since);
		while (_rounds < since + RECOVERY_ROUNDS) {
			wait_rounds(2);
			for (node_view &view : _views) {
				_probe(view);
			}
			_note_history(since);
		}
		EXPECT_EQ(_count_lacking(&node_view::has_endpoint), 0U) << "nodes that don't use an endpoint added " << RECOVERY_ROUNDS << " rounds ago";
		EXPECT_EQ(_count_lacking(&node_view::has_configuration), 0U) << "nodes without a configuration written " << RECOVERY_ROUNDS << " rounds ago";
		const std::size_t refusals = _store.get_refusals();
		wait_rounds(2 * ROUNDS_PER_SECOND);
		_note_history(since);
		EXPECT_EQ(_store.get_refusals(), refusals) << "the store still refuses";
		if (HasFailure()) {
			ADD_FAILURE() << _history;
		}
	}
};

} // namespace

TEST_F(gateway_store_overload_test, a_fleet_recovers_from_a_store_that_was_away) {
	ASSERT_NO_FATAL_FAILURE(start_fleet());
	_store.set_away(true);
	wait_rounds(TRIGGER_ROUNDS);
	_store.set_away(false);
	expect_recovery();
}

TEST_F(gateway_store_overload_test, a_fleet_recovers_from_reads_that_were_all_lost) {
	ASSERT_NO_FATAL_FAILURE(start_fleet());
	_store.set_mute(true);
	wait_rounds(TRIGGER_ROUNDS);
	_store.set_mute(false);
	expect_recovery();
}

TEST_F(gateway_store_overload_test, a_fleet_recovers_from_the_crash_of_all_nodes_that_read_for_their_zones) {
	ASSERT_NO_FATAL_FAILURE(start_fleet());
	ASSERT_NO_FATAL_FAILURE(crash_readers());
	expect_recovery();
}

} // namespace calicoscale
