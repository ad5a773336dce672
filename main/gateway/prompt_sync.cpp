/*
 * calicoscale: prompt_sync.cpp
 * Announces to other nodes, through the hubs, which prompts were sent to which engines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/prompt_sync.h"

namespace calicoscale {

prompt_sync::prompt_sync(gateway_context &p_context, gateway_fleet &p_fleet, engine_view &p_engines) :
		_context(p_context),
		_fleet(p_fleet),
		_engines(p_engines),
		_own_code(get_origin_code(p_fleet.get_vm())),
		_relay(p_context.loop, p_fleet, make_prompt_digest(), [this](const std::string &p_vm, const std::vector<prompt_record> &p_prompts) { _send(p_vm, p_prompts); }) {
	_fleet.get_link().prompts_reported().connect([this](const std::string &p_vm, const report_prompts_message &p_message) { _on_reported(p_vm, p_message); });
}

void prompt_sync::tell(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt) {
	_engines.on_sent(p_engine, p_prompt, event_loop::now());
	if (!_context.settings.mechanisms.has(mechanism::PROMPTS_TOLD)) {
		return;
	}
	_relay.add_own(prompt_record{ _own_code, p_engine, p_prompt });
	_relay.send_soon();
}

void prompt_sync::_on_reported(const std::string &p_vm, const report_prompts_message &p_message) {
	const instant now = event_loop::now();
	std::vector<prompt_record> records_of_others;
	for (const prompt_record &received : p_message.prompts) {
		if (received.origin != _own_code) {
			_engines.on_sent(received.engine, received.prompt, now);
			records_of_others.push_back(received);
		}
	}
	_relay.add_reported(p_vm, records_of_others);
	_relay.send_soon();
}

void prompt_sync::_send(const std::string &p_vm, const std::vector<prompt_record> &p_prompts) {
	_fleet.get_link().send(p_vm, report_prompts_message{ p_prompts });
	_context.metrics.count("prompts_told", static_cast<double>(p_prompts.size()));
	_context.metrics.set_gauge("prompts_not_told", static_cast<double>(_relay.get_dropped()));
}

} // namespace calicoscale
