/*
 * calicoscale: request_service.h
 * Runs requests through their stages: connects flows, pool gates and attempts.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_SERVICE_H
#define REQUEST_SERVICE_H

#include "main/serve/fleet_service.h"
#include "main/serve/ledger_service.h"
#include "servers/limits/pool_gate.h"
#include "servers/limits/stage_times.h"
#include "servers/request/request_flow.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace calicoscale {

/** Position from which another node can resume a stream. */
struct resume_point {
	std::string vm; ///< VM of the endpoint that runs the stream.
	attempt_id stream; ///< Attempt under which the endpoint registers the stream.
	std::string stage;
	std::string pool;
	bool operator==(const resume_point &p_other) const = default;
};

/** Callbacks of a running request. */
struct request_hooks {
	std::function<void(std::uint32_t p_sequence, const std::string &p_token, const resume_point &p_point)> on_token;
	std::function<void(const request_id &p_id, const finish_request &p_finish)> on_finish; ///< Called exactly once, never inside begin().
};

/** Result of the admission check of a request. */
struct door_answer {
	bool admitted = false;
	reason why = reason::NONE;
	duration retry_after = duration::zero();
};

/** Runs all requests of this node. */
class request_service {
	struct open_call {
		call_id call = 0;
		endpoint_id endpoint = 0;
		network_address address;
		std::string vm;
		attempt_id settle_id;
		std::size_t stage = 0;
		stream_start start = stream_start::FRESH;
		instant started{};
		bool has_token = false;
	};

	struct running_request {
		std::unique_ptr<request_flow> flow;
		request_hooks hooks;
		std::unique_ptr<timer> wake;
		std::map<attempt_id, open_call> calls;
		instant started{};
	};

	/** Attempt whose cost still has to be requested from its endpoint. */
	struct open_settlement {
		network_address address;
		attempt_id id;
		cost_key key;
		int tries = 0;
		bool is_requesting = false;
	};

	node_context &_context;
	configuration_service &_configuration;
	router &_router;
	fleet_service &_fleet;
	ledger_service &_ledger;
	stage_times _times;
	std::map<std::string, pool_gate> _gates;
	std::map<request_id, std::unique_ptr<running_request>> _running;
	std::map<std::uint64_t, open_settlement> _settlements;
	std::uint64_t _next_settlement = 1;
	std::uint64_t _next_request = 1;
	random_source _random;
	timer _sweep_timer;
	drop_counts _drops;

	pool_gate &_get_gate(const std::string &p_pool);
	double _get_attainment_weight() const;
	flow_hooks _make_flow_hooks();
	stage_estimate _estimate(const request_plan &p_plan, std::size_t p_stage, instant p_now) const;
	void _apply(running_request &r_request, const std::vector<request_action> &p_actions);
	void _do(running_request &r_request, const acquire_slot &p_action);
	void _do(running_request &r_request, const release_slot &p_action);
	void _do(running_request &r_request, const cancel_slot_request &p_action);
	void _do(running_request &r_request, const start_attempt &p_action);
	void _do(running_request &r_request, const cancel_attempt &p_action);
	void _do(running_request &r_request, const forward_token &p_action);
	void _do(running_request &r_request, const record_cost &p_action);
	void _do(running_request &r_request, const settle_cost &p_action);
	void _do(running_request &r_request, const wake_at &p_action);
	void _do(running_request &r_request, const finish_request &p_action);
	attempt_order _make_order(const running_request &p_request, const start_attempt &p_action, const endpoint_state &p_endpoint) const;
	void _apply_gate_changes(const std::string &p_pool, const gate_changes &p_changes);
	void _grant_slot(const std::string &p_pool, const request_id &p_id);
	void _deny_slot(const request_id &p_id, reason p_reason);
	void _on_attempt_end(const request_id &p_request, const attempt_id &p_attempt, const attempt_end &p_end);
	void _on_token(const request_id &p_request, const attempt_id &p_attempt, std::uint32_t p_offset, const std::string &p_token);
	void _observe(const running_request &p_request, const open_call &p_call, const outcome &p_result);
	cost_key _make_key(const request_plan &p_plan, std::size_t p_stage, cost_use p_use) const;
	void _settle(const network_address &p_address, const attempt_id &p_id, const cost_key &p_key);
	void _request_settlement(std::uint64_t p_number);
	void _sweep();

public:
	request_service(node_context &p_context, configuration_service &p_configuration, router &p_router, fleet_service &p_fleet, ledger_service &p_ledger);

	/** Applies the retry and hedge shares of the current configuration to all pool gates. */
	void on_configuration();

	/** Returns whether a planned request is likely to meet its deadline. Called before the request is accepted. */
	door_answer check_door(const request_plan &p_plan);

	/** Returns a new request id, unique within this incarnation of the node. */
	request_id make_id();

	/** Starts a planned request from the event loop, after this call has returned. */
	void begin(request_plan p_plan, request_hooks p_hooks);

	/** Reports to the flow of the request that its caller has disconnected. */
	void abandon(const request_id &p_id);

	/** Books the cost of `p_units` units of work, also of work outside a flow, such as a stream that is resumed on this node. */
	void book(const cost_key &p_key, double p_units);

	/** Requests that an endpoint stop an attempt and report its cost, and books that cost. */
	void settle(const network_address &p_address, const attempt_id &p_id, const cost_key &p_key) { _settle(p_address, p_id, p_key); }

	bool is_running(const request_id &p_id) const { return _running.contains(p_id); }
	std::size_t get_running_count() const { return _running.size(); }
	std::size_t get_settlement_count() const { return _settlements.size(); }
	const std::map<std::string, pool_gate> &get_gates() const { return _gates; }
	const drop_counts &get_drops() const { return _drops; }
};

} // namespace calicoscale

#endif // REQUEST_SERVICE_H
