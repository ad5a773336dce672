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

/** One attempt as it is sent. */
struct attempt_order {
	attempt_id id;
	network_address to;
	stage_kind kind = stage_kind::CALL;
	std::string customer;
	std::string pipeline;
	std::string stage;
	priority_class priority = priority_class::NORMAL;
	std::string input; ///< JSON text.
	std::string previous; ///< JSON text of the result of the stage before; empty for the first.
	int max_tokens = 0;
	duration remaining = duration::zero(); ///< Until the attempt is given up.
	unix_milliseconds give_up_wall = 0;
	bool repeatable = true;
	stream_start start = stream_start::FRESH;
	attempt_id resume_of;
	std::vector<std::string> tokens_before; ///< For CONTINUE.
	std::uint32_t from_offset = 0;
};

/** What an attempt reports. */
struct attempt_hooks {
	std::function<void(std::uint32_t p_offset, const std::string &p_token)> on_token;
	std::function<void(const attempt_end &p_end)> on_end; ///< Exactly once, unless cancelled.
};

/** Cost of an attempt as its endpoint tells it afterwards. */
struct settled_cost {
	bool known = false; ///< The endpoint answered.
	double units = 0.0;
};

/** Load as an endpoint tells it. */
struct load_answer {
	double running = 0.0;
	double queued = 0.0;
	duration age = duration::zero();
	bool leaving = false;
};

/**
 * Speaks to endpoints. An answer that does not echo its attempt is a wrong echo: it is never taken as a result, and its
 * connection is closed. The interface is given in docs/PLATFORM.md.
 */
class endpoint_client {
	http_client &_client;
	std::uint64_t _wrong_echoes = 0;

	struct stream_reader;

	call_id _start_stream(const attempt_order &p_order, attempt_hooks p_hooks);
	call_id _start_unary(const attempt_order &p_order, attempt_hooks p_hooks);

public:
	explicit endpoint_client(http_client &p_client);

	/** Sends an attempt. */
	call_id start(const attempt_order &p_order, attempt_hooks p_hooks);

	/** Breaks an attempt off. Its endpoint is told by settle(). */
	void cancel(call_id p_call);

	/** Tells the endpoint to stop working on an attempt and asks what it cost. */
	void settle(const network_address &p_to, const attempt_id &p_id, std::function<void(const settled_cost &p_cost)> p_hook);

	/** Asks for the load; the hook gets nothing from an endpoint that does not report. */
	void fetch_load(const network_address &p_to, std::function<void(const std::optional<load_answer> &p_load)> p_hook);

	/** Answers that belonged to another attempt and were kept from being misdelivered. */
	std::uint64_t get_wrong_echoes() const { return _wrong_echoes; }
};

} // namespace calicoscale

#endif // ENDPOINT_CLIENT_H
