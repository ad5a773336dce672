/*
 * calicoscale: prompt_exchange.h
 * Tells other nodes which prompts were sent to which engines, through the hubs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROMPT_EXCHANGE_H
#define PROMPT_EXCHANGE_H

#include "main/gateway/gateway_fleet.h"
#include "servers/gateway/prompt_digest.h"

#include <string>
#include <vector>

namespace calicoscale {

/**
 * A node tells the hub it relies on; hubs tell each other what they and their followers sent, and their followers what all
 * sent. So each prompt passes each link once, and its cost to a node is bounded by the budget of prompt_digest.
 */
class prompt_exchange {
	gateway_context &_context;
	gateway_fleet &_fleet;
	engine_view &_engines;
	prompt_digest _upward; ///< To other hubs, or to the one this node relies on.
	prompt_digest _downward; ///< To the nodes that rely on this one.
	std::uint32_t _own_code;
	timer _timer;
	bool _is_flush_due = false;

	void _on_told(const std::string &p_vm, const tell_prompts_message &p_message);
	void _send_soon();
	void _flush();
	void _send(prompt_digest &r_digest, const std::vector<std::string> &p_receivers);
	std::vector<std::string> _get_upward_receivers() const;

public:
	prompt_exchange(gateway_context &p_context, gateway_fleet &p_fleet, engine_view &p_engines);

	/** This node sends a prompt to an engine. */
	void tell(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt);
};

} // namespace calicoscale

#endif // PROMPT_EXCHANGE_H
