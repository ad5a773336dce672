/*
 * calicoscale: prompt_sync.h
 * Announces to other nodes, through the hubs, which prompts were sent to which engines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROMPT_SYNC_H
#define PROMPT_SYNC_H

#include "main/gateway/hub_relay.h"
#include "servers/gateway/prompt_record.h"

#include <string>
#include <vector>

namespace calicoscale {

/** Updates the view of the engines' caches with the prompts that all nodes send. */
class prompt_sync {
	gateway_context &_context;
	gateway_fleet &_fleet;
	engine_view &_engines;
	std::uint32_t _own_code;
	hub_relay<prompt_record> _relay;

	void _on_reported(const std::string &p_vm, const report_prompts_message &p_message);
	void _send(const std::string &p_vm, const std::vector<prompt_record> &p_prompts);

public:
	prompt_sync(gateway_context &p_context, gateway_fleet &p_fleet, engine_view &p_engines);

	/** Records a prompt that this node sends to an engine, and announces it to the other nodes. */
	void tell(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt);
};

} // namespace calicoscale

#endif // PROMPT_SYNC_H
