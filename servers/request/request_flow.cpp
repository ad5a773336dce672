/*
 * calicoscale: request_flow.cpp
 * State machine that takes one request through its stages.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/request/request_flow.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

constexpr std::uint32_t MAX_ATTEMPTS = 4;
/** How often a request may return to the queue of a busy pool. */
constexpr std::uint32_t MAX_REQUEUES = 6;
constexpr duration BACK_OFF_BASE = std::chrono::milliseconds(5);
constexpr duration MAX_BACK_OFF = std::chrono::milliseconds(200);
/** An attempt times out after this multiple of the 95th percentile; then another endpoint is tried. */
constexpr int TIME_OUT_FACTOR = 3;
constexpr duration MIN_ATTEMPT_TIME_OUT = std::chrono::milliseconds(100);
constexpr duration MIN_STALL_TIME_OUT = std::chrono::milliseconds(400);
constexpr duration DEFAULT_STALL_TIME_OUT = std::chrono::seconds(2);
/** Fraction of the stage's remaining time that an attempt may use while no estimate is available. */
constexpr double DEFAULT_TIME_FRACTION = 0.6;
constexpr duration RETRY_AFTER_SHORT = std::chrono::milliseconds(100);

slot_outcome get_failed_slot_outcome(const outcome &p_result) {
	return p_result.why == reason::REFUSED_BUSY ? slot_outcome::REFUSED : slot_outcome::FAILED;
}

/** Quotes text as a JSON string; tokens are checked UTF-8 by the driver. */
std::string quote(const std::string &p_text) {
	constexpr std::string_view DIGITS = "0123456789abcdef";
	std::string quoted = "\"";
	for (const char letter : p_text) {
		const unsigned char code = static_cast<unsigned char>(letter);
		if (letter == '"' || letter == '\\') {
			quoted += '\\';
			quoted += letter;
		} else if (code < 0x20U) {
			quoted += "\\u00";
			quoted += DIGITS[code >> 4U];
			quoted += DIGITS[code & 0xFU];
		} else {
			quoted += letter;
		}
	}
	return quoted + "\"";
}

} // namespace

request_flow::request_flow(request_plan p_plan, flow_hooks p_hooks) :
		_plan(std::move(p_plan)), _hooks(std::move(p_hooks)) {
}

duration request_flow::_estimate_later_stages(instant p_now) const {
	duration need = duration::zero();
	for (std::size_t stage = _stage + 1; stage < _plan.stages.size(); stage++) {
		need += _hooks.estimate(_plan, stage, p_now).typical;
	}
	return need;
}

instant request_flow::_get_stage_end(instant p_now) const {
	const instant end = _plan.deadline - _estimate_later_stages(p_now);
	// Even if the later stages are unlikely to fit, this stage gets half of the remaining time.
	const instant half = p_now + (_plan.deadline - p_now) / 2;
	return std::max(end, half);
}

instant request_flow::_get_give_up(instant p_now) const {
	const instant stage_end = _get_stage_end(p_now);
	if (!_current().repeatable || _attempts + 1 >= MAX_ATTEMPTS) {
		return stage_end;
	}
	if (_estimate.slow > duration::zero()) {
		const duration time_out = std::max(MIN_ATTEMPT_TIME_OUT, _estimate.slow * TIME_OUT_FACTOR);
		return std::min(stage_end, p_now + time_out);
	}
	const double left = static_cast<double>((stage_end - p_now).count());
	return p_now + duration(static_cast<duration::rep>(left * DEFAULT_TIME_FRACTION));
}

instant request_flow::_get_stall_end(const open_attempt &p_attempt) const {
	duration time_out = DEFAULT_STALL_TIME_OUT;
	if (_estimate.slow_first_token > duration::zero()) {
		time_out = std::max(MIN_STALL_TIME_OUT, _estimate.slow_first_token * TIME_OUT_FACTOR);
	}
	return p_attempt.last_progress + time_out;
}

request_flow::open_attempt *request_flow::_find_open(const attempt_id &p_id) {
	const auto found = std::find_if(_open.begin(), _open.end(), [&p_id](const open_attempt &p_attempt) { return p_attempt.id == p_id; });
	return found == _open.end() ? nullptr : &*found;
}

void request_flow::_remove_open(const attempt_id &p_id) {
	std::erase_if(_open, [&p_id](const open_attempt &p_attempt) { return p_attempt.id == p_id; });
}

request_flow::actions request_flow::start(instant p_now) {
	actions result;
	if (_phase != phase::NEW) {
		return result;
	}
	if (p_now >= _plan.deadline) {
		_give_up(reason::DEADLINE_PASSED, p_now, result);
		return result;
	}
	_begin_stage(p_now, result);
	return result;
}

void request_flow::_begin_stage(instant p_now, actions &r_actions) {
	_attempts = 0;
	_retries = 0;
	_tried.clear();
	_tokens.clear();
	_digest = stream_digest();
	_resume_endpoint = 0;
	_resume_tried = false;
	_has_hedged = false;
	_stage_may_have_run = false;
	_requests_slot_again = false;
	_requeues = 0;
	_attempts_before_requeue = 0;
	_stage_started = p_now;
	_estimate = _hooks.estimate(_plan, _stage, p_now);
	_request_slot(p_now, r_actions);
}

void request_flow::_request_slot(instant p_now, actions &r_actions) {
	_phase = phase::WAITING;
	const instant start_by = _plan.deadline - _estimate_later_stages(p_now) - _estimate.typical;
	r_actions.emplace_back(acquire_slot{ _stage, std::max(start_by, p_now) });
	r_actions.emplace_back(wake_at{ _plan.deadline });
}

request_flow::actions request_flow::on_slot_granted(instant p_now) {
	actions result;
	if (_phase != phase::WAITING) {
		return result;
	}
	_phase = phase::RUNNING;
	_holds_slot = true;
	_slot_granted_at = p_now;
	if (p_now >= _plan.deadline) {
		_give_up(reason::DEADLINE_PASSED, p_now, result);
		return result;
	}
	_launch(p_now, false, result);
	return result;
}

request_flow::actions request_flow::on_slot_denied(reason p_reason, instant p_now) {
	actions result;
	if (_phase != phase::WAITING) {
		return result;
	}
	_finish(outcome{ _tally.get_verdict(), p_reason }, p_now, result);
	return result;
}

std::optional<endpoint_id> request_flow::_choose(instant p_now) const {
	choice_request request;
	request.pool = _current().pool;
	request.endpoints = _current().endpoints;
	request.affinity_key = _current().prefix_affinity ? _plan.affinity_key : 0;
	request.avoid = _tried;
	return _hooks.choose(request, p_now);
}

void request_flow::_launch(instant p_now, bool p_is_hedge, actions &r_actions) {
	open_attempt attempt;
	const bool may_resume = _resume_endpoint != 0 && !_resume_tried && !p_is_hedge;
	if (may_resume) {
		attempt.endpoint = _resume_endpoint;
		attempt.start = stream_start::RESUME;
		attempt.settle_id = _resume_of;
		_resume_tried = true;
	} else {
		const std::optional<endpoint_id> chosen = _choose(p_now);
		const bool is_same_endpoint = p_is_hedge && chosen && !_open.empty() && *chosen == _open.front().endpoint;
		if (is_same_endpoint) {
			return;
		}
		if (!chosen) {
			if (!p_is_hedge) {
				_give_up(reason::NO_ENDPOINT, p_now, r_actions);
			}
			return;
		}
		attempt.endpoint = *chosen;
		attempt.start = _tokens.empty() ? stream_start::FRESH : stream_start::CONTINUE;
	}
	attempt.id = attempt_id{ _plan.id, static_cast<std::uint32_t>(_stage), _attempts };
	if (attempt.start != stream_start::RESUME) {
		attempt.settle_id = attempt.id;
	}
	attempt.started = p_now;
	attempt.last_progress = p_now;
	attempt.give_up_at = _get_give_up(p_now);
	attempt.is_hedge = p_is_hedge;
	_attempts++;
	_tried.push_back(attempt.endpoint);
	_phase = phase::RUNNING;
	const std::uint32_t from_offset = static_cast<std::uint32_t>(_tokens.size());
	r_actions.emplace_back(start_attempt{ attempt.id, attempt.endpoint, attempt.give_up_at, attempt.start, from_offset, attempt.settle_id });
	_open.push_back(attempt);
	_arm_timer(p_now, r_actions);
}

void request_flow::_arm_timer(instant p_now, actions &r_actions) const {
	instant next = _plan.deadline;
	for (const open_attempt &attempt : _open) {
		next = std::min(next, attempt.give_up_at);
		if (_is_stream()) {
			next = std::min(next, _get_stall_end(attempt));
		}
	}
	const bool may_hedge = _current().hedgeable && !_has_hedged && _open.size() == 1 && _tokens.empty();
	const duration hedge_after = _is_stream() ? _estimate.slow_first_token : _estimate.slow;
	if (may_hedge && hedge_after > duration::zero()) {
		const instant hedge_at = _open.front().started + hedge_after;
		if (hedge_at > p_now) {
			next = std::min(next, hedge_at);
		}
	}
	if (_phase == phase::BACKING_OFF) {
		next = std::min(next, _retry_at);
	}
	r_actions.emplace_back(wake_at{ next });
}

void request_flow::_maybe_hedge(instant p_now, actions &r_actions) {
	if (!_current().hedgeable || !_current().repeatable || _has_hedged || _open.size() != 1 || !_tokens.empty()) {
		return;
	}
	const duration hedge_after = _is_stream() ? _estimate.slow_first_token : _estimate.slow;
	if (hedge_after <= duration::zero() || p_now < _open.front().started + hedge_after) {
		return;
	}
	_has_hedged = true;
	const bool still_fits = p_now + _estimate.typical + _estimate_later_stages(p_now) <= _plan.deadline;
	if (!still_fits || _attempts >= MAX_ATTEMPTS || !_hooks.may_hedge(_current().pool, p_now)) {
		return;
	}
	_launch(p_now, true, r_actions);
}

void request_flow::_cancel_others(const attempt_id &p_winner, actions &r_actions) {
	for (const open_attempt &attempt : _open) {
		if (attempt.id != p_winner) {
			// It is unknown whether a cancelled attempt ran, so the request's verdict can't be NOT_RUN any more.
			_tally.add(verdict::MAY_HAVE_RUN);
			r_actions.emplace_back(cancel_attempt{ attempt.id, attempt.settle_id, cost_use::HEDGED });
		}
	}
	std::erase_if(_open, [&p_winner](const open_attempt &p_attempt) { return p_attempt.id != p_winner; });
}

request_flow::actions request_flow::on_token(const attempt_id &p_id, std::uint32_t p_offset, const std::string &p_token, instant p_now) {
	actions result;
	open_attempt *attempt = _find_open(p_id);
	if (attempt == nullptr) {
		_drops.late_answers++;
		return result;
	}
	if (p_offset < _tokens.size()) {
		_drops.repeated_tokens++;
		return result;
	}
	if (p_offset > _tokens.size()) {
		_drops.token_gaps++;
		attempt_end gap;
		gap.result = outcome{ verdict::MAY_HAVE_RUN, reason::TRUNCATED };
		result.emplace_back(cancel_attempt{ p_id, attempt->settle_id, cost_use::RETRIED });
		const open_attempt copy = *attempt;
		gap.cost_known = true; // The cancel above settles the cost.
		_fail_attempt(copy, gap, p_now, result);
		return result;
	}
	attempt->last_progress = p_now;
	attempt->streamed = true;
	if (_open.size() > 1) {
		_cancel_others(p_id, result);
	}
	_tokens.push_back(p_token);
	_digest.add(p_token);
	if (_is_last_stage() && _plan.stream) {
		result.emplace_back(forward_token{ p_offset, p_token });
	}
	_arm_timer(p_now, result);
	return result;
}

bool request_flow::_is_stream_complete(const attempt_end &p_end) const {
	return p_end.token_count == _tokens.size() && p_end.digest == _digest.to_string();
}

request_flow::actions request_flow::on_attempt_ended(const attempt_id &p_id, const attempt_end &p_end, instant p_now) {
	actions result;
	const open_attempt *found = _find_open(p_id);
	if (found == nullptr) {
		_drops.late_answers++;
		return result;
	}
	const open_attempt attempt = *found;
	attempt_end end = p_end;
	const bool is_complete = end.result.what == verdict::COMPLETED;
	if (is_complete && _is_stream() && !_is_stream_complete(end)) {
		end.result = outcome{ verdict::MAY_HAVE_RUN, reason::TRUNCATED };
	}
	if (end.result.what == verdict::COMPLETED) {
		_complete_stage(attempt, end, p_now, result);
	} else {
		_fail_attempt(attempt, end, p_now, result);
	}
	return result;
}

void request_flow::_complete_stage(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now, actions &r_actions) {
	_tally.add(verdict::COMPLETED);
	_cancel_others(p_attempt.id, r_actions);
	_remove_open(p_attempt.id);
	_costs.push_back(known_cost{ _stage, p_attempt.id.attempt, p_end.units });
	const duration elapsed = p_now - p_attempt.started;
	double relative = 1.0;
	if (_estimate.unloaded > duration::zero()) {
		relative = static_cast<double>(elapsed.count()) / static_cast<double>(_estimate.unloaded.count());
	}
	_holds_slot = false;
	r_actions.emplace_back(release_slot{ _stage, slot_outcome::SUCCEEDED, p_now - _slot_granted_at, relative });
	_reports.push_back(stage_report{ _current().name, _current().pool, p_now - _stage_started, p_end.units, _attempts });
	if (_is_stream()) {
		std::string text;
		for (const std::string &token : _tokens) {
			text += token;
		}
		_previous_result = quote(text);
	} else {
		_previous_result = p_end.output;
	}
	if (p_now >= _plan.deadline) {
		_finish(outcome{ _tally.get_verdict(), reason::DEADLINE_PASSED }, p_now, r_actions);
		return;
	}
	if (_is_last_stage()) {
		_finish_completed(r_actions);
		return;
	}
	_stage++;
	_begin_stage(p_now, r_actions);
}

void request_flow::_fail_attempt(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now, actions &r_actions) {
	_tally.add(p_end.result.what);
	_stage_may_have_run = _stage_may_have_run || p_end.result.what != verdict::NOT_RUN;
	_last_failure = p_end.result;
	_remove_open(p_attempt.id);
	const bool is_broken_stream = _is_stream() && p_attempt.streamed && p_end.result.why == reason::CONNECTION_LOST;
	if (is_broken_stream) {
		_resume_endpoint = p_attempt.endpoint;
		_resume_of = p_attempt.settle_id;
	}
	const bool others_run = !_open.empty();
	const bool tries_again = !others_run && _may_try_again(p_attempt, p_end, p_now);
	const bool queues_again = !others_run && !tries_again && _may_queue_again(p_end, p_now);
	_settle_failed(p_attempt, p_end, others_run || tries_again || queues_again, r_actions);
	if (others_run) {
		_arm_timer(p_now, r_actions);
	} else if (tries_again) {
		_plan_retry(p_end, p_now, r_actions);
	} else if (queues_again) {
		_queue_again(p_now, r_actions);
	} else {
		_give_up(p_end.result.why, p_now, r_actions);
	}
}

void request_flow::_settle_failed(const open_attempt &p_attempt, const attempt_end &p_end, bool p_continues, actions &r_actions) const {
	cost_use use = p_continues ? cost_use::RETRIED : cost_use::FAILED;
	if (p_attempt.is_hedge) {
		use = cost_use::HEDGED;
	}
	if (p_end.cost_known && p_end.units > 0.0) {
		r_actions.emplace_back(record_cost{ _stage, p_attempt.id.attempt, use, p_end.units });
	}
	// A stream that will be resumed continues under the id of its first attempt; settling that attempt would stop it.
	const bool resumes = _resume_endpoint != 0 && !_resume_tried && p_continues;
	const bool has_worked = p_end.result.what != verdict::NOT_RUN || p_attempt.start == stream_start::RESUME;
	if (has_worked && !p_end.cost_known && !resumes) {
		r_actions.emplace_back(settle_cost{ p_attempt.settle_id, p_attempt.endpoint, use });
	}
}

bool request_flow::_may_try_again(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now) {
	// An endpoint that refuses to resume has lost the stream; it doesn't mean that the input is invalid.
	const bool is_input_bad = p_end.result.why == reason::REFUSED_INPUT && p_attempt.start != stream_start::RESUME;
	if (is_input_bad || _attempts - _attempts_before_requeue >= MAX_ATTEMPTS) {
		return false;
	}
	const bool resumes = _resume_endpoint != 0 && !_resume_tried;
	// Resuming reads the remainder of the same execution, so it is allowed for an unrepeatable stage as well.
	if (!_current().repeatable && _stage_may_have_run && !resumes) {
		return false;
	}
	if (p_now + _estimate_later_stages(p_now) >= _plan.deadline) {
		return false;
	}
	const bool needs_no_budget = p_end.result.why == reason::CONNECT_FAILED || p_end.result.why == reason::REFUSED_LEAVING || resumes;
	return needs_no_budget || _hooks.may_retry(_current().pool, p_now);
}

bool request_flow::_may_queue_again(const attempt_end &p_end, instant p_now) {
	// A busy endpoint executed nothing, and its refusal lowers the gate's limit, so queueing again adds no load.
	const bool still_fits = p_now + _estimate.typical + _estimate_later_stages(p_now) < _plan.deadline;
	const bool may_run = _current().repeatable || !_stage_may_have_run;
	return p_end.result.why == reason::REFUSED_BUSY && may_run && _requeues < MAX_REQUEUES && still_fits;
}

void request_flow::_queue_again(instant p_now, actions &r_actions) {
	_requeues++;
	_attempts_before_requeue = _attempts;
	_tried.clear();
	_holds_slot = false;
	r_actions.emplace_back(release_slot{ _stage, slot_outcome::REFUSED, p_now - _slot_granted_at, 1.0 });
	_requests_slot_again = true;
	_phase = phase::BACKING_OFF;
	const double factor = std::exp2(static_cast<double>(std::min<std::uint32_t>(_requeues, 4))) * (0.5 + _hooks.draw());
	_retry_at = p_now + duration(static_cast<duration::rep>(static_cast<double>(BACK_OFF_BASE.count()) * factor));
	_arm_timer(p_now, r_actions);
}

void request_flow::_plan_retry(const attempt_end &p_end, instant p_now, actions &r_actions) {
	_retries++;
	const bool at_once = p_end.result.what == verdict::NOT_RUN && p_end.result.why != reason::REFUSED_BUSY;
	if (at_once || _resume_endpoint != 0) {
		_launch(p_now, false, r_actions);
		return;
	}
	const double factor = std::exp2(static_cast<double>(_retries - 1)) * _hooks.draw();
	const duration wait = std::min(MAX_BACK_OFF, duration(static_cast<duration::rep>(BACK_OFF_BASE.count() * factor)));
	_phase = phase::BACKING_OFF;
	_retry_at = p_now + wait;
	_arm_timer(p_now, r_actions);
}

request_flow::actions request_flow::on_wake(instant p_now) {
	actions result;
	if (_phase == phase::FINISHED || _phase == phase::NEW) {
		return result;
	}
	if (p_now >= _plan.deadline) {
		_give_up(reason::DEADLINE_PASSED, p_now, result);
		return result;
	}
	if (_phase == phase::WAITING) {
		result.emplace_back(wake_at{ _plan.deadline });
		return result;
	}
	if (_phase == phase::BACKING_OFF) {
		if (p_now >= _retry_at && _requests_slot_again) {
			_requests_slot_again = false;
			_request_slot(p_now, result);
		} else if (p_now >= _retry_at) {
			_launch(p_now, false, result);
		} else {
			_arm_timer(p_now, result);
		}
		return result;
	}
	const std::vector<open_attempt> open = _open;
	for (const open_attempt &attempt : open) {
		const bool has_stalled = _is_stream() && p_now >= _get_stall_end(attempt);
		if (p_now < attempt.give_up_at && !has_stalled) {
			continue;
		}
		// The cancellation settles the cost, so the failure must not settle it again.
		result.emplace_back(cancel_attempt{ attempt.id, attempt.settle_id, cost_use::RETRIED });
		attempt_end end;
		end.result = outcome{ verdict::MAY_HAVE_RUN, reason::TIMED_OUT };
		end.cost_known = true;
		_fail_attempt(attempt, end, p_now, result);
		if (_phase != phase::RUNNING) {
			return result;
		}
	}
	_maybe_hedge(p_now, result);
	if (_phase == phase::RUNNING) {
		_arm_timer(p_now, result);
	}
	return result;
}

request_flow::actions request_flow::on_caller_disconnected(instant p_now) {
	actions result;
	if (_phase == phase::FINISHED) {
		return result;
	}
	if (_phase == phase::NEW) {
		_finish(outcome{ verdict::NOT_RUN, reason::CALLER_DISCONNECTED }, p_now, result);
		return result;
	}
	_give_up(reason::CALLER_DISCONNECTED, p_now, result);
	return result;
}

cost_use request_flow::_get_cost_use(reason p_reason) const {
	if (p_reason == reason::CALLER_DISCONNECTED) {
		return cost_use::CANCELLED;
	}
	return p_reason == reason::DEADLINE_PASSED ? cost_use::LATE : cost_use::FAILED;
}

void request_flow::_give_up(reason p_reason, instant p_now, actions &r_actions) {
	if (_phase == phase::WAITING) {
		r_actions.emplace_back(cancel_slot_request{ _stage });
	}
	const cost_use use = _get_cost_use(p_reason);
	for (const open_attempt &attempt : _open) {
		_tally.add(verdict::MAY_HAVE_RUN);
		r_actions.emplace_back(cancel_attempt{ attempt.id, attempt.settle_id, use });
	}
	_open.clear();
	_finish(outcome{ _tally.get_verdict(), p_reason }, p_now, r_actions);
}

void request_flow::_finish(const outcome &p_result, instant p_now, actions &r_actions) {
	if (_holds_slot) {
		_holds_slot = false;
		r_actions.emplace_back(release_slot{ _stage, get_failed_slot_outcome(_last_failure), p_now - _slot_granted_at, 1.0 });
	}
	_phase = phase::FINISHED;
	for (const known_cost &cost : _costs) {
		r_actions.emplace_back(record_cost{ cost.stage, cost.attempt, _get_cost_use(p_result.why), cost.units });
	}
	finish_request finish;
	finish.result = p_result;
	finish.stages = _reports;
	const bool has_time = p_result.why != reason::DEADLINE_PASSED && p_result.why != reason::CALLER_DISCONNECTED && p_result.why != reason::REFUSED_INPUT;
	finish.retry_after = has_time ? RETRY_AFTER_SHORT : duration::zero();
	r_actions.emplace_back(std::move(finish));
}

void request_flow::_finish_completed(actions &r_actions) {
	_phase = phase::FINISHED;
	for (const known_cost &cost : _costs) {
		r_actions.emplace_back(record_cost{ cost.stage, cost.attempt, cost_use::USEFUL, cost.units });
	}
	finish_request finish;
	finish.result = outcome{ verdict::COMPLETED, reason::NONE };
	finish.output = _previous_result;
	finish.stages = _reports;
	finish.token_count = static_cast<std::uint32_t>(_tokens.size());
	finish.digest = _digest.to_string();
	r_actions.emplace_back(std::move(finish));
}

} // namespace calicoscale
