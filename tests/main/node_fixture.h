/*
 * calicoscale: node_fixture.h
 * A node, or several, with stand-ins, all on one loop of the test process.
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

/** An answer as a caller got it. */
struct test_answer {
	bool ended = false;
	http_result result;
	nlohmann::json body; ///< Of a JSON answer, or of the done or error event of a stream.
	std::vector<std::string> tokens;
	std::string resume;
	std::string last_event;

	std::string get_verdict() const { return body.is_object() ? body.value("verdict", "") : ""; }
	std::string get_reason() const { return body.is_object() ? body.value("reason", "") : ""; }
};

/** What to send. */
struct test_request {
	std::string pipeline = "answer";
	std::string key = "key-large"; ///< Customer's key.
	std::string once; ///< Idempotency-Key.
	std::string marker = "m1";
	int deadline = 2000; ///< Milliseconds; 0 sends none.
	bool stream = false;
	std::size_t node = 0;
};

/** Base of tests on real sockets. Nothing here waits for a fixed time: conditions end the waiting. */
class node_fixture : public ::testing::Test {
protected:
	event_loop _loop;
	std::unique_ptr<standin_platform> _platform;
	std::vector<std::unique_ptr<event_loop>> _node_loops; ///< One a node, so that a node can be paused.
	std::vector<bool> _paused;
	std::vector<std::unique_ptr<node>> _nodes;
	std::unique_ptr<http_client> _client;

	/** Starts stand-ins: two endpoints in each of four pools. */
	void start_platform(const nlohmann::json &p_changes = nlohmann::json::object());

	/** Starts a node in a zone and tells the list of VMs. */
	node &start_node(const std::string &p_vm, const std::string &p_zone);

	/** Stops a node from running, as a stopped process would; its sockets stay open. */
	void set_paused(std::size_t p_node, bool p_paused) { _paused[p_node] = p_paused; }

	/** Ends a node at once, as a killed process would, and closes its sockets. */
	void kill_node(std::size_t p_node);

	/** Appends the sample configuration and waits until it is in force at all nodes. */
	void configure();

	/** Platform, one node, configuration: ready to serve. */
	void start_all();

	/** Runs the loop until the condition holds; fails the test after a generous while. */
	void run_until(const std::function<bool()> &p_condition, const std::string &p_what);

	/** Runs the loop for some milliseconds. */
	void run_for(int p_milliseconds);

	/** Sends a request; the answer fills in as the loop runs. */
	std::shared_ptr<test_answer> send(const test_request &p_request, call_id *r_call = nullptr);

	/** Sends and waits for the answer. */
	test_answer ask(const test_request &p_request);

	/** Calls any address and waits. */
	http_result call(const http_call &p_call);

	void set_fault(const std::string &p_vm, endpoint_fault p_fault, double p_amount = 0.0);
	void set_pool_fault(const std::string &p_pool, endpoint_fault p_fault, double p_amount = 0.0);

	/** How often a marker ran in a pool. */
	int count_runs(const std::string &p_pool, const std::string &p_marker);

	/** Runs in all pools. */
	int count_all_runs(const std::string &p_marker);

	/** Units all endpoints charged. */
	double sum_truth_units();
	nlohmann::json get_status(std::size_t p_node = 0);

	void TearDown() override;
};

} // namespace calicoscale

#endif // NODE_FIXTURE_H
