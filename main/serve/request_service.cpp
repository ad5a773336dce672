/*
 * calicoscale: request_service.cpp
 * Runs requests through their stages: connects flows, pool gates and attempts.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/request_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

constexpr duration SWEEP_INTERVAL = std::chrono::milliseconds(50);
constexpr int MAX_SETTLE_TRIES = 4;
constexpr duration SETTLE_RETRY_DELAY = std::chrono::milliseconds(1000);
constexpr std::size_t MAX_OPEN_SETTLEMENTS = 20000;
constexpr double MEDIAN = 0.5;
constexpr double SLOW_QUANTILE = 0.95;
constexpr double UNLOADED_QUANTILE = 0.2;
/**
 * Quantiles of the stage times that the admission check adds up. With all weight on attainment, only requests that are
 * almost certain to miss their deadline are refused; with all weight on cost, those that miss it more likely than not.
 */
constexpr double DOOR_QUANTILE_FOR_COST = 0.5;
constexpr double DOOR_QUANTILE_FOR_ATTAINMENT = 0.05;
constexpr double MICRO = 1e6;
constexpr double DEFAULT_ATTAINMENT_WEIGHT = 0.7;
constexpr double LATE_FACTOR = 3.0;

} // namespace

request_service::request_service(node_context &p_context, configuration_service &p_configuration, router &p_router, fleet_service &p_fleet, ledger_service &p_ledger) :
		_context(p_context),
		_configuration(p_configuration),
		_router(p_router),
		_fleet(p_fleet),
		_ledger(p_ledger),
		_random(p_context.seed + 1),
		_sweep_timer(p_context.loop, [this] { _sweep(); }) {
	_sweep_timer.set(SWEEP_INTERVAL);
}

pool_gate &request_service::_get_gate(const std::string &p_pool) {
	const auto [gate, is_new] = _gates.try_emplace(p_pool, _context.settings.limits.queued_requests);
	if (is_new) {
		on_configuration();
	}
	return gate->second;
}

double request_service::_get_attainment_weight() const {
	const configuration *current = _configuration.get_fold().get_configuration();
	return current == nullptr ? DEFAULT_ATTAINMENT_WEIGHT : current->policy.attainment_weight;
}

void request_service::on_configuration() {
	const configuration *current = _configuration.get_fold().get_configuration();
	if (current == nullptr) {
		return;
	}
	for (auto &[pool, gate] : _gates) {
		const double weight = current->policy.attainment_weight;
		const double spare_share = current->policy.retry_share > 0.0 ? weight : 0.0;
		gate.set_shares(current->policy.retry_share, spare_share, current->policy.hedge_share * weight);
	}
}

stage_estimate request_service::_estimate(const request_plan &p_plan, std::size_t p_stage, instant p_now) const {
	const std::string &pool = p_plan.stages[p_stage].pool;
	const size_class size = get_size_class(p_plan, p_stage);
	stage_estimate estimate;
	estimate.typical = _times.estimate(pool, time_kind::TOTAL, size, MEDIAN, p_now);
	estimate.unloaded = _times.estimate(pool, time_kind::UNLOADED, size, UNLOADED_QUANTILE, p_now);
	estimate.slow = _times.estimate(pool, time_kind::TOTAL, size, SLOW_QUANTILE, p_now);
	estimate.slow_first_token = _times.estimate(pool, time_kind::FIRST_TOKEN, size, SLOW_QUANTILE, p_now);
	return estimate;
}

flow_hooks request_service::_make_flow_hooks() {
	flow_hooks hooks;
	hooks.choose = [this](const choice_request &p_request, instant p_now) { return _router.choose(p_request, p_now); };
	hooks.may_retry = [this](const std::string &p_pool, instant p_now) {
		const bool may = _get_gate(p_pool).may_retry(p_now);
		_context.metrics.count(may ? "retry_granted" : "retry_refused");
		return may;
	};
	hooks.may_hedge = [this](const std::string &p_pool, instant p_now) {
		const bool may = _get_gate(p_pool).may_hedge(p_now);
		_context.metrics.count(may ? "hedge_granted" : "hedge_refused");
		return may;
	};
	hooks.estimate = [this](const request_plan &p_plan, std::size_t p_stage, instant p_now) { return _estimate(p_plan, p_stage, p_now); };
	hooks.draw = [this] { return _random.get_unit(); };
	return hooks;
}

door_answer request_service::check_door(const request_plan &p_plan) {
	const instant now = event_loop::now();
	const double weight = _get_attainment_weight();
	const double quantile = DOOR_QUANTILE_FOR_COST + (DOOR_QUANTILE_FOR_ATTAINMENT - DOOR_QUANTILE_FOR_COST) * weight;
	duration need = duration::zero();
	duration wait = duration::zero();
	for (std::size_t stage = 0; stage < p_plan.stages.size(); stage++) {
		const stage_plan &plan = p_plan.stages[stage];
		if (_router.count_open(plan.pool, plan.endpoints) == 0) {
			return door_answer{ false, reason::NO_ENDPOINT, std::chrono::seconds(1) };
		}
		need += _times.estimate(plan.pool, time_kind::TOTAL, get_size_class(p_plan, stage), quantile, now);
		wait += _get_gate(plan.pool).estimate_wait(p_plan.customer, p_plan.weight);
	}
	if (now + need + wait > p_plan.deadline) {
		return door_answer{ false, reason::DEADLINE_UNREACHABLE, std::max<duration>(wait, std::chrono::milliseconds(100)) };
	}
	return door_answer{ true, reason::NONE, duration::zero() };
}

request_id request_service::make_id() {
	return request_id{ _context.incarnation, _next_request++ };
}

void request_service::begin(request_plan p_plan, request_hooks p_hooks) {
	const request_id id = p_plan.id;
	_context.timeline.add(event_kind::REQUEST_STARTED, to_string(id), p_plan.pipeline, p_plan.customer);
	auto made = std::make_unique<running_request>();
	running_request &request = *made;
	request.hooks = std::move(p_hooks);
	request.started = event_loop::now();
	request.flow = std::make_unique<request_flow>(std::move(p_plan), _make_flow_hooks());
	request.wake = std::make_unique<timer>(
			_context.loop, [this, &request] { _apply(request, request.flow->on_wake(event_loop::now())); }, timer_order::BEFORE_SOCKETS);
	_running.emplace(id, std::move(made));
	// The flow starts from the loop, so that no hook runs inside begin().
	_context.loop.post([this, id] {
		const auto found = _running.find(id);
		if (found != _running.end()) {
			_apply(*found->second, found->second->flow->start(event_loop::now()));
		}
	});
}

void request_service::abandon(const request_id &p_id) {
	const auto found = _running.find(p_id);
	if (found != _running.end()) {
		_apply(*found->second, found->second->flow->on_caller_disconnected(event_loop::now()));
	}
}

void request_service::_apply(running_request &r_request, const std::vector<request_action> &p_actions) {
	for (const request_action &action : p_actions) {
		std::visit([this, &r_request](const auto &p_action) { _do(r_request, p_action); }, action);
	}
}

void request_service::_do(running_request &r_request, const acquire_slot &p_action) {
	const request_plan &plan = r_request.flow->get_plan();
	queued_request waiting;
	waiting.id = plan.id;
	waiting.customer = plan.customer;
	waiting.weight = plan.weight;
	waiting.priority = plan.priority;
	waiting.start_by = p_action.start_by;
	waiting.queued_at = event_loop::now();
	const std::string &pool = plan.stages[p_action.stage].pool;
	pool_gate &gate = _get_gate(pool);
	_apply_gate_changes(pool, gate.enter(waiting, event_loop::now()));
	if (gate.get_waiting() > 0) {
		_context.timeline.add(event_kind::STAGE_QUEUED, to_string(plan.id), pool, std::to_string(gate.get_waiting()) + " waiting");
	}
}

void request_service::_do(running_request &r_request, const release_slot &p_action) {
	const request_plan &plan = r_request.flow->get_plan();
	const std::string &pool = plan.stages[p_action.stage].pool;
	_apply_gate_changes(pool, _get_gate(pool).leave(p_action.use, p_action.held, p_action.relative_latency, event_loop::now()));
}

void request_service::_do(running_request &r_request, const cancel_slot_request &p_action) {
	const request_plan &plan = r_request.flow->get_plan();
	_get_gate(plan.stages[p_action.stage].pool).abandon(plan.id);
}

void request_service::_apply_gate_changes(const std::string &p_pool, const gate_changes &p_changes) {
	// The changes are reported from the loop, because the flows concerned may still be returning their own actions.
	for (const request_id &id : p_changes.admitted) {
		_context.loop.post([this, p_pool, id] { _grant_slot(p_pool, id); });
	}
	for (const dropped_request &dropped : p_changes.expired) {
		_context.loop.post([this, id = dropped.id] { _deny_slot(id, reason::DEADLINE_UNREACHABLE); });
	}
	for (const dropped_request &dropped : p_changes.evicted_requests) {
		_context.loop.post([this, id = dropped.id] { _deny_slot(id, reason::QUEUE_FULL); });
	}
}

void request_service::_grant_slot(const std::string &p_pool, const request_id &p_id) {
	const auto found = _running.find(p_id);
	if (found == _running.end() || found->second->flow->is_finished()) {
		// The request ended in the meantime; its slot is released unused.
		_apply_gate_changes(p_pool, _get_gate(p_pool).leave(slot_outcome::FAILED, duration::zero(), 1.0, event_loop::now()));
		return;
	}
	_apply(*found->second, found->second->flow->on_slot_granted(event_loop::now()));
}

void request_service::_deny_slot(const request_id &p_id, reason p_reason) {
	const auto found = _running.find(p_id);
	if (found != _running.end()) {
		_apply(*found->second, found->second->flow->on_slot_denied(p_reason, event_loop::now()));
	}
}

attempt_order request_service::_make_order(const running_request &p_request, const start_attempt &p_action, const endpoint_state &p_endpoint) const {
	const request_plan &plan = p_request.flow->get_plan();
	const stage_plan &stage = plan.stages[p_action.id.stage];
	const duration remaining = p_action.give_up_at - event_loop::now();
	attempt_order order;
	order.id = p_action.id;
	order.to = p_endpoint.listing.address;
	order.kind = stage.kind;
	order.customer = plan.customer;
	order.pipeline = plan.pipeline;
	order.stage = stage.name;
	order.priority = plan.priority;
	order.input = plan.input;
	order.previous = p_request.flow->get_previous();
	order.max_tokens = stage.max_tokens;
	order.remaining = remaining;
	order.give_up_wall = event_loop::wall() + std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
	order.repeatable = stage.repeatable;
	order.start = p_action.start;
	order.resume_of = p_action.resume_of;
	order.from_offset = p_action.from_offset;
	if (p_action.start == stream_start::CONTINUE) {
		order.tokens_before = p_request.flow->get_tokens();
	}
	return order;
}

void request_service::_do(running_request &r_request, const start_attempt &p_action) {
	const request_id request = r_request.flow->get_plan().id;
	const attempt_id attempt = p_action.id;
	const endpoint_state *endpoint = _router.find(p_action.endpoint);
	open_call call;
	call.endpoint = p_action.endpoint;
	call.settle_id = p_action.resume_of;
	call.stage = attempt.stage;
	call.start = p_action.start;
	call.started = event_loop::now();
	if (endpoint == nullptr) {
		r_request.calls.emplace(attempt, call);
		attempt_end gone;
		gone.result = outcome{ verdict::NOT_RUN, reason::CONNECT_FAILED };
		_context.loop.post([this, request, attempt, gone] { _on_attempt_end(request, attempt, gone); });
		return;
	}
	call.address = endpoint->listing.address;
	call.vm = endpoint->listing.vm;
	_router.on_attempt_started(p_action.endpoint, event_loop::now());
	_context.timeline.add(event_kind::ATTEMPT_STARTED, to_string(request), call.vm, "attempt " + to_string(attempt));
	attempt_hooks hooks;
	hooks.on_token = [this, request, attempt](std::uint32_t p_offset, const std::string &p_token) { _on_token(request, attempt, p_offset, p_token); };
	hooks.on_end = [this, request, attempt](const attempt_end &p_end) { _on_attempt_end(request, attempt, p_end); };
	call.call = _context.endpoints.start(_make_order(r_request, p_action, *endpoint), std::move(hooks));
	r_request.calls.emplace(attempt, call);
}

void request_service::_observe(const running_request &p_request, const open_call &p_call, const outcome &p_result) {
	const request_plan &plan = p_request.flow->get_plan();
	const std::string &pool = plan.stages[p_call.stage].pool;
	const instant now = event_loop::now();
	const size_class size = get_size_class(plan, p_call.stage);
	attempt_observation observation;
	observation.result = p_result;
	observation.elapsed = now - p_call.started;
	const bool is_whole = p_call.start == stream_start::FRESH;
	observation.typical = is_whole ? _times.estimate(pool, time_kind::TOTAL, size, MEDIAN, now) : duration::zero();
	_router.on_attempt_ended(p_call.endpoint, observation, now);
	_context.metrics.on_attempt(pool, p_result);
	_context.timeline.add(event_kind::ATTEMPT_ENDED, to_string(plan.id), p_call.vm, std::string(get_name(p_result.what)) + " " + std::string(get_name(p_result.why)), observation.elapsed);
	if (p_result.what == verdict::COMPLETED && is_whole) {
		_times.add(pool, time_kind::TOTAL, size, observation.elapsed, now);
		_times.add(pool, time_kind::UNLOADED, size, observation.elapsed, now);
	}
	if (p_result.why == reason::REFUSED_LEAVING) {
		_fleet.on_endpoint_leaving();
	}
	if (p_result.why == reason::REFUSED_BUSY) {
		_get_gate(pool).on_attempt_refused();
	}
}

void request_service::_on_attempt_end(const request_id &p_request, const attempt_id &p_attempt, const attempt_end &p_end) {
	const auto found = _running.find(p_request);
	if (found == _running.end()) {
		_drops.late_answers++;
		return;
	}
	running_request &request = *found->second;
	const auto call = request.calls.find(p_attempt);
	if (call == request.calls.end()) {
		_drops.late_answers++;
		return;
	}
	const open_call ended = call->second;
	request.calls.erase(call);
	_observe(request, ended, p_end.result);
	_apply(request, request.flow->on_attempt_ended(p_attempt, p_end, event_loop::now()));
}

void request_service::_on_token(const request_id &p_request, const attempt_id &p_attempt, std::uint32_t p_offset, const std::string &p_token) {
	const auto found = _running.find(p_request);
	if (found == _running.end()) {
		return;
	}
	running_request &request = *found->second;
	const auto call = request.calls.find(p_attempt);
	if (call != request.calls.end() && !call->second.has_token) {
		call->second.has_token = true;
		const duration elapsed = event_loop::now() - call->second.started;
		const request_plan &plan = request.flow->get_plan();
		_times.add(plan.stages[p_attempt.stage].pool, time_kind::FIRST_TOKEN, get_size_class(plan, p_attempt.stage), elapsed, event_loop::now());
		_context.timeline.add(event_kind::FIRST_TOKEN, to_string(p_request), call->second.vm, "token " + std::to_string(p_offset), elapsed);
	}
	_apply(request, request.flow->on_token(p_attempt, p_offset, p_token, event_loop::now()));
}

void request_service::_do(running_request &r_request, const cancel_attempt &p_action) {
	const auto found = r_request.calls.find(p_action.id);
	if (found == r_request.calls.end()) {
		return;
	}
	const open_call call = found->second;
	r_request.calls.erase(found);
	_context.endpoints.cancel(call.call);
	// The flow cancels with RETRIED when the attempt took too long, which counts as a fault of the endpoint.
	const bool is_fault = p_action.use == cost_use::RETRIED || p_action.use == cost_use::FAILED;
	_observe(r_request, call, outcome{ verdict::MAY_HAVE_RUN, is_fault ? reason::TIMED_OUT : reason::CANCELLED });
	if (call.address.port != 0) {
		_settle(call.address, p_action.settle_id, _make_key(r_request.flow->get_plan(), call.stage, p_action.use));
	}
}

void request_service::_do(running_request &r_request, const forward_token &p_action) {
	if (!r_request.hooks.on_token) {
		return;
	}
	const request_plan &plan = r_request.flow->get_plan();
	resume_point point;
	for (const auto &[id, call] : r_request.calls) {
		point = resume_point{ call.vm, call.settle_id, plan.stages[call.stage].name, plan.stages[call.stage].pool };
	}
	r_request.hooks.on_token(p_action.sequence, p_action.token, point);
}

cost_key request_service::_make_key(const request_plan &p_plan, std::size_t p_stage, cost_use p_use) const {
	const stage_plan &stage = p_plan.stages[p_stage];
	return cost_key{ p_plan.customer, p_plan.pipeline, stage.name, stage.pool, p_use };
}

void request_service::book(const cost_key &p_key, double p_units) {
	const configuration *current = _configuration.get_fold().get_configuration();
	const pool_settings *pool = current == nullptr ? nullptr : current->find_pool(p_key.pool);
	cost_sum sum;
	sum.micro_units = std::llround(p_units * MICRO);
	sum.micro_cost = std::llround(p_units * (pool == nullptr ? 0.0 : pool->unit_cost));
	sum.attempts = 1;
	_ledger.book(p_key, sum);
}

void request_service::_do(running_request &r_request, const record_cost &p_action) {
	book(_make_key(r_request.flow->get_plan(), p_action.stage, p_action.use), p_action.units);
}

void request_service::_do(running_request &r_request, const settle_cost &p_action) {
	const endpoint_state *endpoint = _router.find(p_action.endpoint);
	if (endpoint == nullptr) {
		_context.metrics.count("cost_unknown");
		return;
	}
	_settle(endpoint->listing.address, p_action.id, _make_key(r_request.flow->get_plan(), p_action.id.stage, p_action.use));
}

void request_service::_settle(const network_address &p_address, const attempt_id &p_id, const cost_key &p_key) {
	if (_settlements.size() >= MAX_OPEN_SETTLEMENTS) {
		_context.metrics.count("cost_unknown");
		return;
	}
	const std::uint64_t number = _next_settlement++;
	_settlements.emplace(number, open_settlement{ p_address, p_id, p_key, 0, false });
	_request_settlement(number);
}

void request_service::_request_settlement(std::uint64_t p_number) {
	open_settlement &open = _settlements.at(p_number);
	open.tries++;
	open.is_requesting = true;
	_context.endpoints.settle(open.address, open.id, [this, p_number](const settled_cost &p_cost) {
		const auto found = _settlements.find(p_number);
		if (found == _settlements.end()) {
			return;
		}
		found->second.is_requesting = false;
		if (p_cost.known) {
			if (p_cost.units > 0.0) {
				book(found->second.key, p_cost.units);
			}
			_settlements.erase(found);
			return;
		}
		if (found->second.tries >= MAX_SETTLE_TRIES) {
			_context.metrics.count("cost_unknown");
			_settlements.erase(found);
			return;
		}
		auto again = std::make_shared<std::unique_ptr<timer>>();
		*again = std::make_unique<timer>(_context.loop, [this, p_number, again] {
			// The timer is freed from the loop, because it must not destroy itself inside its own hook.
			_context.loop.post([again] { again->reset(); });
			if (_settlements.contains(p_number)) {
				_request_settlement(p_number);
			}
		});
		(*again)->set(SETTLE_RETRY_DELAY);
	});
}

void request_service::_do(running_request &r_request, const wake_at &p_action) {
	r_request.wake->set_at(p_action.at);
}

void request_service::_do(running_request &r_request, const finish_request &p_action) {
	const request_plan &plan = r_request.flow->get_plan();
	const duration elapsed = event_loop::now() - r_request.started;
	_context.metrics.on_request(plan.pipeline, p_action.result, elapsed);
	for (const stage_report &stage : p_action.stages) {
		_context.metrics.on_stage(stage.pool, stage.elapsed);
	}
	_context.timeline.add(event_kind::REQUEST_FINISHED, to_string(plan.id), plan.pipeline, std::string(get_name(p_action.result.what)) + " " + std::string(get_name(p_action.result.why)), elapsed);
	const drop_counts &drops = r_request.flow->get_drops();
	_drops.late_answers += drops.late_answers;
	_drops.repeated_tokens += drops.repeated_tokens;
	_drops.token_gaps += drops.token_gaps;
	// The request is freed from the loop, because its flow is still on the stack here.
	const request_id id = plan.id;
	std::shared_ptr<running_request> finished = std::move(_running.at(id));
	_running.erase(id);
	finished->wake->cancel();
	_context.loop.post([finished] {});
	if (finished->hooks.on_finish) {
		finished->hooks.on_finish(id, p_action);
	}
}

void request_service::_sweep() {
	const instant now = event_loop::now();
	for (auto &[pool, gate] : _gates) {
		_apply_gate_changes(pool, gate.expire(now));
	}
	_sweep_timer.set(SWEEP_INTERVAL);
}

} // namespace calicoscale
