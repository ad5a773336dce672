/*
 * calicoscale: request_door.cpp
 * Entry point of all requests: checks, limits and idempotency keys, then the run.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/request_door.h"

#include "servers/request/steering.h"

namespace calicoscale {

namespace {

constexpr std::size_t MAX_REMEMBERED_OUTCOMES = 20000;
constexpr duration RETRY_DELAY = std::chrono::seconds(1);
constexpr duration NO_RETRY = duration::zero();

} // namespace

request_door::request_door(node_context &p_context, configuration_service &p_configuration, customer_limiter &p_limiter, request_service &p_requests, once_service &p_once, fleet_service &p_fleet) :
		_context(p_context),
		_configuration(p_configuration),
		_limiter(p_limiter),
		_requests(p_requests),
		_once(p_once),
		_fleet(p_fleet) {
	_fleet.get_link().request_passed().connect([this](const std::string &p_vm, const pass_request_message &p_message) { _on_passed(p_vm, p_message); });
}

bool request_door::is_ready() const {
	return _accepting && _configuration.get_fold().get_configuration() != nullptr && _fleet.is_list_known();
}

void request_door::_remember(const request_id &p_id, const remembered_outcome &p_outcome) {
	const auto [position, is_new] = _outcomes.insert_or_assign(p_id, p_outcome);
	if (!is_new) {
		return;
	}
	_outcome_order.push_back(p_id);
	if (_outcome_order.size() > MAX_REMEMBERED_OUTCOMES) {
		_outcomes.erase(_outcome_order.front());
		_outcome_order.pop_front();
	}
}

const remembered_outcome *request_door::find_outcome(const std::string &p_customer, const request_id &p_id) const {
	const auto found = _outcomes.find(p_id);
	const bool is_own = found != _outcomes.end() && found->second.customer == p_customer;
	return is_own ? &found->second : nullptr;
}

void request_door::_refuse(const outcome &p_result, duration p_retry_after, const std::string &p_detail, const door_hooks &p_hooks) {
	_context.metrics.on_request("-", p_result, duration::zero());
	p_hooks.on_answer(write_problem(p_result, p_retry_after, p_detail, ""));
}

void request_door::submit(const door_request &p_request, const door_hooks &p_hooks) {
	if (!is_ready()) {
		const reason why = _accepting ? reason::NOT_READY : reason::DRAINING;
		_refuse(outcome{ verdict::NOT_RUN, why }, RETRY_DELAY, "", p_hooks);
		return;
	}
	const configuration &current = *_configuration.get_fold().get_configuration();
	const pipeline_settings *pipeline = current.find_pipeline(p_request.pipeline);
	if (pipeline == nullptr) {
		_refuse(outcome{ verdict::NOT_RUN, reason::NOT_FOUND }, NO_RETRY, "There is no such pipeline.", p_hooks);
		return;
	}
	if (pipeline->has_unrepeatable_stage() && p_request.key.empty()) {
		_refuse(outcome{ verdict::NOT_RUN, reason::KEY_REQUIRED }, NO_RETRY, "This pipeline has a stage that may not be repeated: send an Idempotency-Key.", p_hooks);
		return;
	}
	if (p_request.stream && !p_request.key.empty()) {
		_refuse(outcome{ verdict::NOT_RUN, reason::BAD_REQUEST }, NO_RETRY, "An answer under an Idempotency-Key is kept whole and cannot be streamed.", p_hooks);
		return;
	}
	if (_open >= _context.settings.limits.open_requests) {
		_refuse(outcome{ verdict::NOT_RUN, reason::QUEUE_FULL }, RETRY_DELAY, "", p_hooks);
		return;
	}
	const duration wanted = p_request.deadline > duration::zero() ? p_request.deadline : pipeline->default_deadline;
	const instant deadline = event_loop::now() + std::min(wanted, _context.settings.limits.longest_deadline);
	if (!_check_limits(p_request, p_hooks)) {
		return;
	}
	_open++;
	door_hooks counted = p_hooks;
	counted.on_answer = [this, customer = p_request.customer, passed = p_request.passed, hook = p_hooks.on_answer](const caller_answer &p_answer) {
		_open--;
		if (!passed) {
			_limiter.on_ended(customer);
		}
		hook(p_answer);
	};
	counted.on_streamed = [this, customer = p_request.customer, hook = p_hooks.on_streamed](const request_id &p_id, const finish_request &p_finish) {
		_open--;
		_limiter.on_ended(customer);
		hook(p_id, p_finish);
	};
	if (p_request.key.empty()) {
		_run(p_request, deadline, counted);
	} else {
		_submit_keyed(p_request, deadline, counted);
	}
}

bool request_door::_check_limits(const door_request &p_request, const door_hooks &p_hooks) {
	if (p_request.passed) {
		return true;
	}
	const admission_answer answer = _limiter.ask(p_request.customer, event_loop::now());
	if (!answer.admitted) {
		_refuse(outcome{ verdict::NOT_RUN, answer.why }, answer.retry_after, "", p_hooks);
	}
	return answer.admitted;
}

void request_door::_submit_keyed(const door_request &p_request, instant p_deadline, const door_hooks &p_hooks) {
	keyed_submission submission;
	submission.customer = p_request.customer;
	submission.pipeline = p_request.pipeline;
	submission.key = p_request.key;
	submission.input = p_request.input;
	submission.deadline = p_deadline;
	submission.passed = p_request.passed;
	_once.submit(submission, [this, p_request, p_deadline, p_hooks](const keyed_decision &p_decision) { _on_decision(p_request, p_deadline, p_hooks, p_decision); });
}

void request_door::_on_decision(const door_request &p_request, instant p_deadline, const door_hooks &p_hooks, const keyed_decision &p_decision) {
	if (p_decision.run) {
		_run(p_request, p_deadline, p_hooks);
		return;
	}
	if (p_decision.answer) {
		const bool is_problem = p_decision.answer->http_status != 200;
		p_hooks.on_answer(caller_answer{ p_decision.answer->http_status, is_problem ? "application/problem+json" : "application/json", p_decision.answer->body, NO_RETRY });
		return;
	}
	_context.metrics.on_request(p_request.pipeline, p_decision.refusal, duration::zero());
	const duration retry_after = p_decision.refusal.what == verdict::NOT_RUN && get_http_status(p_decision.refusal.why) == 503 ? RETRY_DELAY : NO_RETRY;
	p_hooks.on_answer(write_problem(p_decision.refusal, retry_after, "", ""));
}

void request_door::_run(const door_request &p_request, instant p_deadline, const door_hooks &p_hooks) {
	const configuration &current = *_configuration.get_fold().get_configuration();
	request_facts facts;
	facts.id = _requests.make_id();
	facts.customer = p_request.customer;
	facts.pipeline = p_request.pipeline;
	facts.input = p_request.input;
	facts.deadline = p_deadline;
	facts.stream = p_request.stream;
	const bool is_known = current.find_customer(facts.customer) != nullptr && current.find_pipeline(facts.pipeline) != nullptr;
	if (!is_known) {
		// The configuration changed while the key was being claimed.
		const caller_answer answer = write_problem(outcome{ verdict::NOT_RUN, reason::NOT_FOUND }, NO_RETRY, "", "");
		_answer_keyed(p_request, verdict::NOT_RUN, answer);
		p_hooks.on_answer(answer);
		return;
	}
	request_plan plan = make_plan(current, _configuration.get_fold().get_version(), facts);
	const door_answer admission = _requests.check_door(plan);
	if (!admission.admitted) {
		const outcome refusal{ verdict::NOT_RUN, admission.why };
		const caller_answer answer = write_problem(refusal, admission.retry_after, "", "");
		_context.metrics.on_request(p_request.pipeline, refusal, duration::zero());
		_answer_keyed(p_request, verdict::NOT_RUN, answer);
		p_hooks.on_answer(answer);
		return;
	}
	_remember(facts.id, remembered_outcome{ p_request.customer, {}, true });
	if (p_hooks.on_started) {
		p_hooks.on_started(facts.id);
	}
	const std::shared_ptr<bool> has_tokens = std::make_shared<bool>(false);
	request_hooks hooks;
	hooks.on_token = [p_hooks, has_tokens](std::uint32_t p_sequence, const std::string &p_token, const resume_point &p_point) {
		*has_tokens = true;
		p_hooks.on_token(p_sequence, p_token, p_point);
	};
	hooks.on_finish = [this, p_request, p_hooks, has_tokens](const request_id &p_id, const finish_request &p_finish) { _on_finish(p_request, p_hooks, *has_tokens, p_id, p_finish); };
	_requests.begin(std::move(plan), std::move(hooks));
}

void request_door::_answer_keyed(const door_request &p_request, verdict p_verdict, const caller_answer &p_answer) {
	if (!p_request.key.empty()) {
		_once.on_ended(p_request.customer, p_request.key, p_verdict, kept_outcome{ p_answer.status, p_answer.body });
	}
}

void request_door::_on_finish(const door_request &p_request, const door_hooks &p_hooks, bool p_has_tokens, const request_id &p_id, const finish_request &p_finish) {
	_remember(p_id, remembered_outcome{ p_request.customer, p_finish.result, false });
	if (p_has_tokens || (p_request.stream && p_finish.result.what == verdict::COMPLETED)) {
		p_hooks.on_streamed(p_id, p_finish);
		return;
	}
	const caller_answer answer = write_end(p_id, p_finish);
	_answer_keyed(p_request, p_finish.result.what, answer);
	p_hooks.on_answer(answer);
}

void request_door::_on_passed(const std::string &p_vm, const pass_request_message &p_message) {
	door_request request;
	request.customer = p_message.customer;
	request.pipeline = p_message.pipeline;
	request.key = p_message.key;
	request.input = p_message.input;
	request.deadline = std::max<duration>(p_message.remaining, std::chrono::milliseconds(1));
	request.passed = true;
	door_hooks hooks;
	hooks.on_answer = [this, p_vm, id = p_message.id](const caller_answer &p_answer) {
		_fleet.get_link().send(p_vm, pass_answer_message{ id, p_answer.status, p_answer.body });
	};
	submit(request, hooks);
}

} // namespace calicoscale
