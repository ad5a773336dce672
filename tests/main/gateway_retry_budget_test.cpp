/*
 * calicoscale: gateway_retry_budget_test.cpp
 * Tests that the limit on repeats holds for all gateways together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <numeric>

namespace calicoscale {

namespace {

constexpr retry_bounds BOUNDS{ 0.2, 24.0, seconds(6) };
constexpr duration REQUEST_INTERVAL = milliseconds(100);

/** Gateways before endpoints that refuse all requests. All requests are sent within one window of the limit. */
class gateway_retry_budget_test : public gateway_fixture {
protected:
	std::vector<std::string> _names; ///< VMs of the gateways.
	std::size_t _sent = 0;
	bool _are_linked = true; ///< Whether gateways that are started later can link to each other.
	std::vector<std::shared_ptr<caller_result>> _results;

	void SetUp() override {
		gateway_fixture::SetUp();
		configure(1);
		for (int i = 0; i < 4; i++) {
			add_replica("llm");
		}
	}

	void start_named(const std::string &p_vm) {
		_adjust_settings = [this, &p_vm](gateway_settings &r_settings) {
			r_settings.vm = p_vm;
			r_settings.retries = BOUNDS;
			r_settings.fleet_key = _are_linked ? "" : p_vm;
		};
		start_gateway();
		_names.push_back(p_vm);
	}

	/** Kills the gateway that was started first, and starts it again with the same name. */
	void restart_oldest() {
		const std::string vm = _names.front();
		_gateways.erase(_gateways.begin());
		_names.erase(_names.begin());
		start_named(vm);
	}

	void send_to_all() {
		for (const std::unique_ptr<gateway> &node : _gateways) {
			if (node->is_ready()) {
				_results.push_back(send(*node, "/safe/x"));
				_sent++;
			}
		}
	}

	/** Returns the number of arrivals at all endpoints beyond the first of each request. */
	std::size_t count_repeats() const {
		std::map<std::string, std::size_t> arrivals;
		for (const standin_replica &replica : _replicas) {
			for (const auto &[request, count] : replica.arrivals_by_request) {
				arrivals[request] += count;
			}
		}
		return std::accumulate(arrivals.begin(), arrivals.end(), std::size_t{ 0 }, [](std::size_t p_sum, const auto &p_entry) { return p_sum + p_entry.second - 1; });
	}

	void expect_within_limit() const {
		EXPECT_GT(count_repeats(), 0U);
		EXPECT_LE(static_cast<double>(count_repeats()), BOUNDS.ratio * static_cast<double>(_sent) + BOUNDS.slack) << count_repeats() << " repeats for " << _sent << " requests";
	}

	void refuse_all() {
		for (standin_replica &replica : _replicas) {
			replica.mode = replica_mode::SHED;
		}
	}
};

} // namespace

TEST_F(gateway_retry_budget_test, gateways_that_are_killed_again_and_again_do_not_repeat_more_than_the_fleet_may) {
	constexpr int STEPS = 50;
	constexpr int STEPS_PER_RESTART = 4;
	for (const char *vm : { "n0", "n1", "n2" }) {
		start_named(vm);
	}
	run_until([this] { return std::all_of(_gateways.begin(), _gateways.end(), [](const std::unique_ptr<gateway> &p_node) { return p_node->is_ready(); }); });
	refuse_all();
	const instant begin = event_loop::now();
	for (int step = 0; step < STEPS; step++) {
		send_to_all();
		if (step % STEPS_PER_RESTART == STEPS_PER_RESTART - 1) {
			restart_oldest();
		}
		run_until([step, begin] { return event_loop::now() - begin > REQUEST_INTERVAL * (step + 1); });
	}
	EXPECT_LT(event_loop::now() - begin, BOUNDS.window) << "the machine is too slow for this test";
	expect_within_limit();
}

TEST_F(gateway_retry_budget_test, gateways_that_cannot_reach_each_other_do_not_repeat_more_than_the_fleet_may) {
	constexpr int STEPS = 20;
	_are_linked = false;
	for (const char *vm : { "n0", "n1", "n2" }) {
		start_named(vm);
	}
	run_until([this] { return std::all_of(_gateways.begin(), _gateways.end(), [](const std::unique_ptr<gateway> &p_node) { return p_node->is_ready(); }); });
	// Longer than a window, so that the limit does not depend on the age of the processes.
	wait(BOUNDS.window + milliseconds(500));
	refuse_all();
	for (int step = 0; step < STEPS; step++) {
		send_to_all();
		wait(REQUEST_INTERVAL);
	}
	expect_within_limit();
}

} // namespace calicoscale
