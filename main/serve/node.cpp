/*
 * calicoscale: node.cpp
 * One entry node: creates its services and connects them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/node.h"

#include <glog/logging.h>

namespace calicoscale {

namespace {

constexpr duration TICK_INTERVAL = std::chrono::milliseconds(100);
constexpr duration MAX_FLUSH_TIME = std::chrono::seconds(10);

} // namespace

node::node(event_loop &p_loop, const node_settings &p_settings) :
		_context(p_loop, p_settings),
		_router(p_settings.zone, _context.seed + 2),
		_configuration(_context),
		_admin(_context, _configuration),
		_fleet(_context, _configuration, _router, _limiter, _admin.get_address()),
		_ledger(_context),
		_requests(_context, _configuration, _router, _fleet, _ledger),
		_once(_context, _fleet),
		_door(_context, _configuration, _limiter, _requests, _once, _fleet),
		_resumes(_context, _router, _requests),
		_callers(_context, _configuration, _door, _requests, _once, _resumes),
		_tick_timer(p_loop, [this] { _tick(); }) {
	_admin.connect(_fleet, _door, _requests, _ledger, _once, _router, [this] { drain(); });
	_configuration.version_in_force().connect([this] { _on_configuration(); });
}

void node::start() {
	LOG(INFO) << "event=node_started vm=" << _context.settings.vm << " zone=" << _context.settings.zone << " incarnation=" << _context.incarnation
			  << " callers=" << to_string(get_caller_address()) << " admin=" << to_string(get_admin_address()) << " link=" << to_string(get_link_address()) << " seed=" << _context.seed;
	_configuration.start();
	_fleet.start();
	_once.start();
	_tick_timer.set(TICK_INTERVAL);
}

void node::_on_configuration() {
	const configuration &current = *_configuration.get_fold().get_configuration();
	router_settings settings;
	settings.policy = find_routing_policy(current.policy.routing).value_or(routing_policy::PREDICTED_FINISH);
	settings.max_ejected_share = current.policy.max_ejected_share;
	for (const drain_rule &drain : current.drains) {
		settings.drains.push_back(drain.endpoints);
	}
	_router.set_settings(std::move(settings));
	_requests.on_configuration();
	_fleet.refresh_limits();
}

void node::_tick() {
	const bool is_ready = _door.is_ready() && _phase == drain_phase::NONE;
	if (is_ready != _was_ready) {
		_was_ready = is_ready;
		LOG(INFO) << "event=node_ready ready=" << is_ready;
		_context.timeline.add(event_kind::NODE_CHANGED, "", _context.settings.vm, is_ready ? "ready" : "not ready");
		_fleet.set_ready(is_ready);
	}
	_context.client.drop_old_connections();
	_ledger.set_fleet_size(_fleet.get_members().get_members().size() + 1);
	if (_phase != drain_phase::NONE) {
		_advance_drain();
	}
	_tick_timer.set(TICK_INTERVAL);
}

void node::_enter_phase(drain_phase p_phase, const char *p_name) {
	_phase = p_phase;
	LOG(INFO) << "event=drain phase=" << p_name << " open=" << _door.get_open_count() << " running=" << _requests.get_running_count();
	_context.timeline.add(event_kind::NODE_CHANGED, "", _context.settings.vm, std::string("drain ") + p_name);
}

void node::drain() {
	if (_phase != drain_phase::NONE) {
		return;
	}
	_drain_started = event_loop::now();
	_enter_phase(drain_phase::LISTENING, "listening");
	_callers.announce_close();
	_fleet.announce_leaving();
}

void node::_advance_drain() {
	const instant now = event_loop::now();
	const bool is_overdue = now - _drain_started >= _context.settings.drain.longest;
	if (_phase == drain_phase::LISTENING && now - _drain_started >= _context.settings.drain.listen) {
		_callers.close();
		_door.stop_accepting();
		_enter_phase(drain_phase::FINISHING, "finishing");
	}
	const bool is_idle = _door.get_open_count() == 0 && _requests.get_running_count() == 0;
	if (_phase == drain_phase::FINISHING && (is_idle || is_overdue)) {
		_flush_started = now;
		_enter_phase(drain_phase::FLUSHING, "flushing");
	}
	if (_phase != drain_phase::FLUSHING) {
		return;
	}
	const bool has_unwritten_costs = _ledger.owes() || _requests.get_settlement_count() > 0;
	if (has_unwritten_costs && now - _flush_started < MAX_FLUSH_TIME) {
		_ledger.flush_now();
		return;
	}
	LOG(INFO) << "event=node_stopped owes=" << has_unwritten_costs << " cut_off=" << _requests.get_running_count();
	_context.loop.stop();
}

} // namespace calicoscale
