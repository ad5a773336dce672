/*
 * calicoscale: node_fixture.h
 * Test fixture that runs one or more nodes and the stand-ins in the test process.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include "main/serve/node.h"
#include "tests/standins/standin_platform.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** An answer as the caller received it. */
struct test_answer {
	bool ended = false;
	http_result result;
	nlohmann::json body; ///< Body of a JSON answer, or data of the done or error event of a stream.
	std::vector<std::string> tokens;
	std::string resume;
	std::string last_event;

	std::string get_verdict() const { return body.is_object() ? body.value("verdict", "") : ""; }
	std::string get_reason() const { return body.is_object() ? body.value("reason", "") : ""; }
};

/** A request to send to a node. */
struct test_request {
	std::string pipeline = "answer";
	std::string key = "key-large"; ///< Customer's key.
	std::string once; ///< Idempotency-Key.
	std::string marker = "m1";
	int deadline = 2000; ///< Milliseconds; 0 sends none.
	bool stream = false;
	std::size_t node = 0;
};

/** Base of tests on real sockets. Waits end when a condition is true and not after a fixed time, except in run_for(). */
class node_fixture : public ::testing::Test {
protected:
	event_loop _loop;
	std::unique_ptr<standin_platform> _platform;
	std::vector<std::unique_ptr<event_loop>> _node_loops; ///< One loop for each node, so that a node can be paused.
	std::vector<bool> _paused;
	std::vector<std::unique_ptr<node>> _nodes;
	std::unique_ptr<http_client> _client;

	/** Starts stand-ins: two endpoints in each of four pools. */
	void start_platform(const nlohmann::json &p_changes = nlohmann::json::object());

	/** Starts a node in a zone and publishes the addresses of all running nodes in the list of VMs. */
	node &start_node(const std::string &p_vm, const std::string &p_zone);

	/** Pauses or resumes the loop of a node, like a stopped process; its sockets stay open. */
	void set_paused(std::size_t p_node, bool p_paused) { _paused[p_node] = p_paused; }

	/** Destroys a node without a drain and closes its sockets, like a killed process. */
	void kill_node(std::size_t p_node);

	/** Appends the sample configuration and waits until it is in force at all nodes. */
	void configure();

	/** Starts the platform and one node, and configures it, so that it is ready to serve. */
	void start_all();

	/** Runs the loops until the condition is true; fails the test after 40 s. */
	void run_until(const std::function<bool()> &p_condition, const std::string &p_what);

	/** Runs the loops of the stand-ins and of all nodes that are not paused. */
	void run_for(int p_milliseconds);

	/** Sends a request; the returned answer is filled in while the loops run. */
	std::shared_ptr<test_answer> send(const test_request &p_request, call_id *r_call = nullptr);

	/** Sends and waits for the answer. */
	test_answer ask(const test_request &p_request);

	/** Sends a call to any address and waits for its result. */
	http_result call(const http_call &p_call);

	void set_fault(const std::string &p_vm, endpoint_fault p_fault, double p_amount = 0.0);
	void set_pool_fault(const std::string &p_pool, endpoint_fault p_fault, double p_amount = 0.0);

	/** Returns how often a request with this marker ran in a pool. */
	int count_runs(const std::string &p_pool, const std::string &p_marker);

	/** Returns how often a request with this marker ran in all pools together. */
	int count_all_runs(const std::string &p_marker);

	/** Returns the sum of the units that all endpoints charged. */
	double sum_truth_units();
	nlohmann::json get_status(std::size_t p_node = 0);

	void TearDown() override;
};

} // namespace calicoscale

#endif // NODE_FIXTURE_H
