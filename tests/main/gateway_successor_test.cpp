/*
 * calicoscale: gateway_successor_test.cpp
 * Tests gateways that start again under the name of one whose loss the others have not detected.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr double LARGE_CORES = 1.0;
constexpr double SMALL_CORES = 0.25;
const std::string STAGES = "X-Segments: 1,1\r\nX-Segment-Key: k\r\n";

/** The gateway on the second loop stops without closing its connections while that loop is not run, like a VM that loses power. */
class gateway_successor_test : public gateway_fixture {
protected:
	event_loop _powerless;
	standin_replica *_engine = nullptr;
	standin_replica *_encode = nullptr;
	standin_replica *_search = nullptr;

	void SetUp() override {
		gateway_fixture::SetUp();
		json configuration = make_configuration(1);
		for (json &service : configuration.at("services")) {
			if (service.contains("segments")) {
				// A held call is not overdue before the next process has started.
				service["segments"]["call_ms"] = 400.0;
			}
		}
		_store.put(CONFIGURATION_TOPIC, "config", configuration.dump());
		_engine = &add_replica("llm");
		_encode = &add_replica("encode");
		_search = &add_replica("search");
	}

	void TearDown() override { _gateways.clear(); }

	/** Starts "n0", which will lose power, and "n1". The larger node dispatches all pools. */
	void start_both(bool p_is_n0_larger) {
		_gateway_loop = &_powerless;
		_other_loop = &_powerless;
		_cores = p_is_n0_larger ? LARGE_CORES : SMALL_CORES;
		start_ready();
		_gateway_loop = &_loop;
		_cores = p_is_n0_larger ? SMALL_CORES : LARGE_CORES;
		start_ready();
		_cores = p_is_n0_larger ? LARGE_CORES : SMALL_CORES;
		wait(milliseconds(900));
	}

	/** "n0" loses power, and starts again at once under its name. */
	gateway &replace_powerless() {
		_other_loop = nullptr;
		_adjust_settings = [](gateway_settings &r_settings) { r_settings.vm = "n0"; };
		// The listening address of the stopped process is not a peer.
		_most_seeds = 0;
		_first_seeds = { _gateways[1]->get_link_address() };
		gateway &successor = start_ready();
		run_until([&successor] { return successor.get_link_count() > 0; });
		return successor;
	}

	/** Attempt for which a replica produced a result. The handles of a replica end in the numbers of its items. */
	static std::string find_attempt(const standin_replica &p_replica, const std::string &p_handle) {
		const std::size_t number = std::stoul(p_handle.substr(p_handle.rfind('/') + 1));
		const std::string &item = p_replica.stage_items.at(number - 1);
		return item.substr(0, item.find('.'));
	}

	void expect_own_inputs() const {
		for (const seen_request &run : _engine->runs) {
			const std::string input = run.get("X-Inputs");
			ASSERT_FALSE(input.empty());
			EXPECT_EQ(find_attempt(*_search, input), run.get("X-Attempt-Id"));
		}
		for (const auto &[item, inputs] : _search->item_inputs) {
			for (const std::string &input : inputs) {
				EXPECT_EQ(find_attempt(*_encode, input), item.substr(0, item.find('.')));
			}
		}
	}

	void finish(const std::vector<std::shared_ptr<caller_result>> &p_results) {
		run_until([&p_results] { return std::all_of(p_results.begin(), p_results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
		for (const std::shared_ptr<caller_result> &result : p_results) {
			EXPECT_EQ(result->body, WHOLE_STREAM);
		}
	}
};

} // namespace

TEST_F(gateway_successor_test, results_for_the_earlier_process_of_a_vm_are_not_given_to_requests_of_the_next) {
	start_both(false);
	_encode->hold_stages = true;
	for (int i = 0; i < 4; i++) {
		send(*_gateways[0], "/stream/staged/x", "key-1", STAGES);
	}
	run_until([this] { return _encode->get_held_stages() > 0; });
	gateway &successor = replace_powerless();
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 4; i++) {
		results.push_back(send(successor, "/stream/staged/x", "key-1", STAGES));
	}
	wait(milliseconds(100));
	_encode->hold_stages = false;
	_encode->run_held_stages();
	finish(results);
	EXPECT_EQ(_engine->runs.size(), results.size());
	expect_own_inputs();
}

TEST_F(gateway_successor_test, work_at_the_earlier_process_of_a_vm_is_assigned_again_when_the_next_is_met) {
	start_both(true);
	_encode->hold_stages = true;
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < 4; i++) {
		results.push_back(send(*_gateways[1], "/stream/staged/x", "key-1", STAGES));
	}
	run_until([this] { return _encode->get_held_stages() > 0; });
	replace_powerless();
	_encode->hold_stages = false;
	_encode->run_held_stages();
	finish(results);
	EXPECT_EQ(_engine->runs.size(), results.size());
	expect_own_inputs();
}

} // namespace calicoscale
