/*
 * calicoscale: prompt_exchange.cpp
 * Tells other nodes which prompts were sent to which engines, through the hubs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/prompt_exchange.h"

#include <algorithm>

namespace calicoscale {

prompt_exchange::prompt_exchange(gateway_context &p_context, gateway_fleet &p_fleet, engine_view &p_engines) :
		_context(p_context),
		_fleet(p_fleet),
		_engines(p_engines),
		_own_code(get_origin_code(p_fleet.get_vm())),
		_timer(p_context.loop, [this] { _flush(); }) {
	_fleet.get_link().prompts_told().connect([this](const std::string &p_vm, const tell_prompts_message &p_message) { _on_told(p_vm, p_message); });
}

void prompt_exchange::tell(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt) {
	_engines.on_sent(p_engine, p_prompt, event_loop::now());
	if (!_context.settings.without.has(mechanism::PROMPTS_TOLD)) {
		return;
	}
	const told_prompt told{ _own_code, p_engine, p_prompt };
	_upward.add(told);
	_downward.add(told);
	_send_soon();
}

void prompt_exchange::_on_told(const std::string &p_vm, const tell_prompts_message &p_message) {
	const instant now = event_loop::now();
	const std::vector<std::string> hubs = _fleet.get_other_hubs();
	const bool is_from_hub = std::find(hubs.begin(), hubs.end(), p_vm) != hubs.end();
	for (const told_prompt &told : p_message.prompts) {
		if (told.origin == _own_code) {
			continue;
		}
		_engines.on_sent(told.engine, told.prompt, now);
		if (!_fleet.is_hub()) {
			continue;
		}
		_downward.add(told);
		if (!is_from_hub) {
			_upward.add(told);
		}
	}
	_send_soon();
}

std::vector<std::string> prompt_exchange::_get_upward_receivers() const {
	const std::string hub = _fleet.get_relied_on();
	return hub.empty() ? _fleet.get_other_hubs() : std::vector<std::string>{ hub };
}

void prompt_exchange::_send_soon() {
	const instant now = event_loop::now();
	if (!_upward.is_empty()) {
		const std::vector<std::string> receivers = _get_upward_receivers();
		if (_upward.try_spend(receivers.size(), now)) {
			_send(_upward, receivers);
		}
	}
	if (!_downward.is_empty()) {
		const std::vector<std::string> receivers = _fleet.get_followers();
		if (_downward.try_spend(receivers.size(), now)) {
			_send(_downward, receivers);
		}
	}
	if (!_is_flush_due && (!_upward.is_empty() || !_downward.is_empty())) {
		_is_flush_due = true;
		_timer.set(peer_contacts::get_interval(true));
	}
}

void prompt_exchange::_flush() {
	_is_flush_due = false;
	_send(_upward, _get_upward_receivers());
	_send(_downward, _fleet.get_followers());
}

void prompt_exchange::_send(prompt_digest &r_digest, const std::vector<std::string> &p_receivers) {
	const tell_prompts_message message{ r_digest.take() };
	_context.metrics.set_gauge("prompts_not_told", static_cast<double>(_upward.get_dropped() + _downward.get_dropped()));
	if (message.prompts.empty()) {
		return;
	}
	for (const std::string &vm : p_receivers) {
		_fleet.get_link().send(vm, message);
	}
	_context.metrics.count("prompts_told", static_cast<double>(message.prompts.size() * p_receivers.size()));
}

} // namespace calicoscale
