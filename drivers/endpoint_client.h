/*
 * calicoscale: endpoint_client.h
 * Attempts at endpoints: engines, pools and plain services.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_CLIENT_H
#define ENDPOINT_CLIENT_H

#include "core/ids.h"
#include "drivers/http_client.h"
#include "servers/request/request_action.h"
#include "servers/request/request_flow.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Parameters of one attempt. */
struct attempt_order {
	attempt_id id;
	network_address to;
	stage_kind kind = stage_kind::CALL;
	std::string customer;
	std::string pipeline;
	std::string stage;
	priority_class priority = priority_class::NORMAL;
	std::string input; ///< JSON text.
	std::string previous; ///< JSON text of the result of the previous stage; empty for the first.
	int max_tokens = 0;
	duration remaining = duration::zero(); ///< Time until the attempt is abandoned.
	unix_milliseconds give_up_wall = 0;
	bool repeatable = true;
	stream_start start = stream_start::FRESH;
	attempt_id resume_of;
	std::vector<std::string> tokens_before; ///< For CONTINUE.
	std::uint32_t from_offset = 0;
};

/** Callbacks of an attempt. */
struct attempt_hooks {
	std::function<void(std::uint32_t p_offset, const std::string &p_token)> on_token;
	std::function<void(const attempt_end &p_end)> on_end; ///< Called exactly once unless the attempt is cancelled.
};

/** Cost of an attempt, as its endpoint reports it afterwards. */
struct settled_cost {
	bool known = false; ///< The endpoint answered.
	double units = 0.0;
};

/** Load reported by an endpoint. */
struct load_answer {
	double running = 0.0;
	double queued = 0.0;
	duration age = duration::zero();
	bool leaving = false;
};

/**
 * Sends attempts to endpoints. An answer that does not echo its attempt is a wrong echo: it is never used as a result or as proof
 * that the attempt did not run, and its connection is closed. A refusal without an echo counts on a new connection only, as it may be a
 * copy of an earlier one. The interface is given in docs/PLATFORM.md.
 */
class endpoint_client {
	http_client &_client;
	std::uint64_t _wrong_echoes = 0;

	struct stream_reader;

	/** Classifies an attempt that did not return status 200. */
	attempt_end _judge_failure(const http_result &p_result, const std::string &p_echo);
	attempt_end _judge_answer(const http_result &p_result, const std::string &p_echo);
	/** Ends an attempt whose answer belongs to another one. */
	attempt_end _end_by_wrong_echo(const http_result &p_result);
	call_id _start_stream(const attempt_order &p_order, attempt_hooks p_hooks);
	call_id _start_unary(const attempt_order &p_order, attempt_hooks p_hooks);

public:
	explicit endpoint_client(http_client &p_client);

	/** Sends an attempt and returns the call by which it can be cancelled. */
	call_id start(const attempt_order &p_order, attempt_hooks p_hooks);

	/** Cancels an attempt locally; settle() notifies its endpoint. */
	void cancel(call_id p_call);

	/** Requests the endpoint to stop working on an attempt and to report its cost. */
	void settle(const network_address &p_to, const attempt_id &p_id, std::function<void(const settled_cost &p_cost)> p_hook);

	/** Requests the load; the hook receives an empty value when the endpoint does not report it. */
	void fetch_load(const network_address &p_to, std::function<void(const std::optional<load_answer> &p_load)> p_hook);

	/** Returns the number of answers that belonged to another attempt and were discarded. */
	std::uint64_t get_wrong_echoes() const { return _wrong_echoes; }
};

} // namespace calicoscale

#endif // ENDPOINT_CLIENT_H
