/*
 * calicoscale: request_door.h
 * Entry point of all requests: checks, limits and idempotency keys, then the run.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_DOOR_H
#define REQUEST_DOOR_H

#include "main/serve/answer_writer.h"
#include "main/serve/once_service.h"
#include "main/serve/request_service.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace calicoscale {

/** Request as received from a caller or passed on by another node. */
struct door_request {
	std::string customer;
	std::string pipeline;
	std::string key; ///< Idempotency key; empty for none.
	std::string input; ///< JSON text.
	duration deadline = duration::zero(); ///< Time limit; zero selects the default of the pipeline.
	bool stream = false;
	bool passed = false; ///< Received from another node, which has already applied the limits of the customer.
};

/** Callbacks of a submitted request. */
struct door_hooks {
	std::function<void(const request_id &p_id)> on_started; ///< The request has an id and is about to run.
	std::function<void(std::uint32_t p_sequence, const std::string &p_token, const resume_point &p_point)> on_token;
	std::function<void(const request_id &p_id, const finish_request &p_finish)> on_streamed; ///< End of a stream; replaces on_answer when tokens were sent or the stream completed.
	std::function<void(const caller_answer &p_answer)> on_answer; ///< The complete answer; the last call.
};

/** Outcome of a request, stored for later queries. */
struct remembered_outcome {
	std::string customer;
	outcome result;
	bool running = false;
};

/** Accepts or refuses requests and stores the outcomes of the most recent ones. */
class request_door {
	node_context &_context;
	configuration_service &_configuration;
	customer_limiter &_limiter;
	request_service &_requests;
	once_service &_once;
	fleet_service &_fleet;
	std::map<request_id, remembered_outcome> _outcomes;
	std::deque<request_id> _outcome_order;
	int _open = 0;
	bool _accepting = true;

	void _remember(const request_id &p_id, const remembered_outcome &p_outcome);
	void _refuse(const outcome &p_result, duration p_retry_after, const std::string &p_detail, const door_hooks &p_hooks);
	bool _check_limits(const door_request &p_request, const door_hooks &p_hooks);
	void _submit_keyed(const door_request &p_request, instant p_deadline, const door_hooks &p_hooks);
	void _on_decision(const door_request &p_request, instant p_deadline, const door_hooks &p_hooks, const keyed_decision &p_decision);
	void _run(const door_request &p_request, instant p_deadline, const door_hooks &p_hooks);
	void _answer_keyed(const door_request &p_request, verdict p_verdict, const caller_answer &p_answer);
	void _on_finish(const door_request &p_request, const door_hooks &p_hooks, bool p_has_tokens, const request_id &p_id, const finish_request &p_finish);
	void _on_passed(const std::string &p_vm, const pass_request_message &p_message);

public:
	request_door(node_context &p_context, configuration_service &p_configuration, customer_limiter &p_limiter, request_service &p_requests, once_service &p_once, fleet_service &p_fleet);

	/** Submits a request of an authenticated customer. */
	void submit(const door_request &p_request, const door_hooks &p_hooks);

	/** Returns whether the node accepts requests, has a configuration and knows the list of VMs. */
	bool is_ready() const;

	/** Refuses all further requests. */
	void stop_accepting() { _accepting = false; }

	/** Returns the outcome of a request; nullptr when this node has none or the request belongs to another customer. */
	const remembered_outcome *find_outcome(const std::string &p_customer, const request_id &p_id) const;

	/** Returns the number of accepted requests that are not answered yet. */
	int get_open_count() const { return _open; }
};

} // namespace calicoscale

#endif // REQUEST_DOOR_H
