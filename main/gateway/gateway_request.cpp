/*
 * calicoscale: gateway_request.cpp
 * Processes one caller's request: stage work, sends to endpoints and the answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/gateway_request.h"

#include "drivers/http_status.h"
#include "main/gateway/retry_report.h"
#include "main/gateway/run_proof.h"
#include "main/gateway/stream_start.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Maximum number of sends of one request, counting those that did not run. Further sends would probably fail for the same cause. */
constexpr int MAX_SENDS = 4;
constexpr int MAX_RESUMES = 3;
constexpr duration RETRY_PAUSE = std::chrono::milliseconds(40);
/** Maximum wait before endpoints are checked again, as a slot at an endpoint may become free earlier than predicted. */
constexpr duration LIMIT_PAUSE = std::chrono::milliseconds(100);
/** Remaining time below which a send can no longer succeed. */
constexpr duration MIN_REMAINING_TIME = std::chrono::milliseconds(20);
/**
 * Postpones the time to give up once, when an answer is waiting unread. Timers run before sockets are read, so after a process
 * stall this node would discard an answer that the endpoint sent in time. Long enough for one iteration of the event loop.
 */
constexpr duration RECHECK_DELAY = std::chrono::milliseconds(5);
constexpr duration SHORT_RETRY_AFTER = std::chrono::milliseconds(300);
/** Maximum idle time of a reused connection for requests that must not run twice: the endpoint may be closing an older one. */
constexpr duration MAX_IDLE_TIME_UNREPEATABLE = std::chrono::milliseconds(700);
constexpr duration MAX_IDLE_TIME_REPEATABLE = std::chrono::milliseconds(2000);
constexpr double TYPICAL_TIME_WEIGHT = 0.05;

expected_answer get_expected_answer(const admitted_request &p_request) {
	if (p_request.route->repeats != repeat_rule::STREAM) {
		return expected_answer::PLAIN;
	}
	return p_request.facts.has_event_id ? expected_answer::STREAM_REMAINDER : expected_answer::STREAM;
}

reason get_reason(answer_end p_end) {
	return p_end == answer_end::LOST ? reason::CONNECTION_LOST : reason::TRUNCATED;
}

duration find_remaining(const admitted_request &p_request) {
	return p_request.facts.remaining.value_or(p_request.route->timeout);
}

} // namespace

gateway_request::gateway_request(request_services &p_services, admitted_request p_request, std::function<void()> p_on_end) :
		_services(p_services),
		_request(std::move(p_request)),
		_on_end(std::move(p_on_end)),
		_started(_request.exchange->received_at),
		_deadline(_started + find_remaining(_request)),
		_give_up_at(std::min(_deadline, _started + _request.route->timeout)),
		_choice(p_services, _request),
		_stages(p_services, _request, _started, _give_up_at, request_stages_hooks{ [this] { return _choice.choose_zone(); }, [this] { _send(); }, [this](reason p_reason) { _fail(p_reason); } }),
		_give_up_timer(
				p_services.context.loop, [this] { _on_give_up_time(); }, timer_order::BEFORE_SOCKETS),
		_retry_timer(p_services.context.loop, [this] { _send(); }),
		_end_probe(p_services.context.loop, p_services.context.channels.get_path_faults()),
		_permit(p_services.crashes, [this] { return get_content(_request); }),
		_answer(get_expected_answer(_request)),
		_buffer(p_services.buffers.add([this] { _break_off_answer("no_memory"); })) {
}

gateway_request::~gateway_request() {
	_services.buffers.remove(_buffer);
	if (_exchange != 0) {
		_services.exchanges.cancel(_exchange);
	}
	if (_run) {
		_services.guard.get_rollouts().on_ended(*_run);
	}
	_request.exchange->set_on_disconnect(nullptr);
	_request.exchange->set_on_flow(nullptr);
}

void gateway_request::start() {
	_request.exchange->set_on_disconnect([this] { _on_caller_disconnected(); });
	_request.exchange->set_on_flow([this](bool p_may_send) { _services.exchanges.set_reading(_exchange, p_may_send); });
	_give_up_timer.set_at(_give_up_at);
	_queue_position = _services.guard.get_queue().join(_request.service);
	_services.repeats.on_request(_request.service, _started);
	_services.context.log.write_request(log_line("request_admitted").add("request", _request.facts.attempt).add("route", _request.route->name).add("customer", _request.customer == nullptr ? "" : _request.customer->name).add("priority", static_cast<long long>(get_priority(_request))).add("left_ms", _deadline - _started).add("predicted_ms", _request.predicted).add("rested_ms", _request.exchange->rested).add("earlier", static_cast<long long>(_request.exchange->earlier)).add("has_event_id", _request.facts.has_event_id ? "yes" : "no").add("resumes", _request.facts.resumed_attempt).add("version", static_cast<long long>(_request.configuration->version)));
	if (_stages.is_complete()) {
		_send();
		return;
	}
	_request_permit([this](send_mode p_mode) { _begin_stages(p_mode); });
}

void gateway_request::_request_permit(std::function<void(send_mode)> p_on_granted) {
	_permit.ask(permit_hooks{ std::move(p_on_granted), [this](duration p_retry_after) { _refuse(reason::CRASHES_ENDPOINTS, p_retry_after); } });
}

void gateway_request::_begin_stages(send_mode p_mode) {
	_permit.keep();
	_stages.begin(p_mode != send_mode::NONE);
}

bool gateway_request::_may_repeat_run() const {
	const gateway_route &route = *_request.route;
	const bool is_safe = route.repeats == repeat_rule::REPEATABLE || (route.repeats == repeat_rule::STREAM && route.is_resumable);
	return is_safe && _runs < route.max_endpoints;
}

bool gateway_request::_may_resume() const {
	const event_splitter &events = _answer.get_events();
	const bool can_go_on = _request.route->is_resumable && !events.get_last_id().empty() && !events.has_returned_part() && _resumes < MAX_RESUMES;
	return can_go_on && _runs < std::max(_request.route->max_endpoints, 1);
}

bool gateway_request::_may_continue_elsewhere() const {
	const bool has_begun = _answer_started || !_answer.get_events().get_last_id().empty();
	// The aborted run counts as a run.
	return _runs + 1 < _request.route->max_endpoints && (has_begun ? _may_resume() : _may_repeat_run());
}

bool gateway_request::_try_repeat_budget() {
	if (!_services.context.settings.mechanisms.has(mechanism::REPEATS)) {
		return false;
	}
	const retry_decision decision = _services.repeats.try_repeat(_request.service, event_loop::now());
	report_retry_decision(_services.context, decision, log_line(get_event_name(decision)).add("request", _request.facts.attempt).add("service", _request.service));
	return decision.is_allowed;
}

void gateway_request::_send() {
	const instant now = event_loop::now();
	if (_give_up_at - now < MIN_REMAINING_TIME) {
		_give_up(reason::DEADLINE_PASSED);
		return;
	}
	_request_permit([this](send_mode p_mode) { _send_with(p_mode); });
}

void gateway_request::_on_no_endpoint_available() {
	const std::size_t before = _services.guard.get_queue().count_before(_request.service, _queue_position);
	const send_prospect prospect = _services.guard.predict(get_router(_services, _request), _choice.make(), before);
	if (!prospect.wait || get_router(_services, _request).get_open(_choice.make()).empty()) {
		_refuse(reason::NO_ENDPOINT, prospect.backoff_left.value_or(SHORT_RETRY_AFTER));
		return;
	}
	const duration wait = *prospect.wait;
	// All open endpoints have reached their limits for now. Refusing a request with completed stage work wastes that work, so it may
	// wait until the time to give up.
	const instant latest = _stages.is_empty() ? std::min(_give_up_at, _started + _request.route->objective) : _give_up_at;
	const duration late = event_loop::now() + wait + get_answer_time(_services, _request) + MIN_REMAINING_TIME - latest;
	if (late > duration::zero()) {
		_refuse(reason::NO_ENDPOINT, std::max(late, SHORT_RETRY_AFTER));
		return;
	}
	_permit.keep();
	_services.context.metrics.count("waits_for_limited_endpoints");
	_retry_timer.set(std::clamp(wait, RETRY_PAUSE, LIMIT_PAUSE));
}

void gateway_request::_send_with(send_mode p_mode) {
	const instant now = event_loop::now();
	router &choices = get_router(_services, _request);
	const std::optional<endpoint_id> chosen = p_mode == send_mode::QUIETEST ? _choice.choose_quietest() : _choice.choose(_stages.get_results_zone());
	if (!chosen) {
		_on_no_endpoint_available();
		return;
	}
	const endpoint_state &endpoint = *choices.find(*chosen);
	_endpoint = *chosen;
	_endpoint_identity = endpoint.listing.get_identity();
	_endpoint_address = endpoint.listing.address;
	_sends++;
	_choice.set_repeat();
	_sent_at = now;
	endpoint_send send;
	send.endpoint = endpoint.listing.vm;
	send.remaining = _give_up_at - now;
	send.customer = _request.customer == nullptr ? "" : _request.customer->name;
	if (is_engine(_request)) {
		send.priority = get_priority(_request);
	}
	send.inputs = _stages.get_final_results();
	send.last_event_id = _answer.get_events().get_last_id();
	channel_request request;
	request.endpoint = endpoint.listing.get_identity();
	request.to = _endpoint_address;
	request.zone = endpoint.listing.zone;
	request.service = _request.service;
	request.bytes = write_endpoint_request(_request.exchange->head, _request.exchange->body, send);
	request.echo_header = std::string(get_echo_header());
	request.echo_value = _request.facts.attempt;
	request.is_head = _request.exchange->head.method == "HEAD";
	request.longest_idle = _request.route->repeats == repeat_rule::REPEATABLE ? MAX_IDLE_TIME_REPEATABLE : MAX_IDLE_TIME_UNREPEATABLE;
	_answer.restart();
	_services.buffers.set_size(_buffer, 0);
	choices.on_attempt_started(_endpoint, now);
	_services.guard.get_queue().leave(_request.service, _queue_position);
	_services.guard.on_sent(_endpoint_identity, now);
	_run = version_run{ _request.service, endpoint.listing.vm, endpoint.listing.version };
	_services.guard.get_rollouts().on_started(*_run);
	if (is_engine(_request)) {
		_predicted = _services.engine_caches.predict(_endpoint_identity, _choice.get_prompt(), now);
		_services.prompts.tell(_endpoint_identity, _choice.get_prompt());
	}
	_exchange = _services.exchanges.start(std::move(request), channel_hooks{ [this](const http_head &p_head) { _on_head(p_head); }, [this](std::string_view p_bytes) { _on_body(p_bytes); }, [this](channel_end p_end) { _on_end_of_answer(p_end); } });
	_services.exchanges.set_reading(_exchange, !_request.exchange->is_full());
	_log_send(endpoint, send.remaining);
}

void gateway_request::_log_send(const endpoint_state &p_endpoint, duration p_remaining) {
	_position = _services.exchanges.get_position(_exchange);
	log_line line("send");
	line.add("request", _request.facts.attempt).add("service", _request.service).add("endpoint", _endpoint_identity.vm).add("endpoint_version", p_endpoint.listing.version).add("send", static_cast<long long>(_sends));
	line.add("connection", static_cast<long long>(_position.connection)).add("place", static_cast<long long>(_position.place)).add("in_flight", static_cast<long long>(p_endpoint.in_flight)).add("left_ms", p_remaining);
	line.add("crossed_bytes", static_cast<long long>(_stages.count_final_read(p_endpoint.listing.zone))).add("version", static_cast<long long>(_request.configuration->version));
	_services.context.log.write_request(line);
}

void gateway_request::_on_head(const http_head &p_head) {
	_answer.take_head(p_head);
	if (_answer.get_notes().is_contradictory) {
		_break_off_answer("contradictory");
		return;
	}
	if (!_answer.get_notes().is_other_endpoint) {
		_services.guard.on_answer(_endpoint_identity, _answer.get_notes().notice, _answer.get_notes().has_seal || _answer.get_notes().did_not_run, _sent_at);
	}
}

void gateway_request::_on_body(std::string_view p_bytes) {
	if (_answer.is_unsealed_success()) {
		_break_off_answer("unsealed");
		return;
	}
	const std::string events = _answer.take_body(p_bytes);
	if (_answer.is_too_large()) {
		_break_off_answer("too_large");
		return;
	}
	if (!_answer.is_stream()) {
		_services.buffers.set_size(_buffer, _answer.get_buffered_bytes());
		return;
	}
	if (events.empty()) {
		return;
	}
	if (!_answer_started) {
		_answer_started = true;
		if (_request.route->is_resumable && _run) {
			_request.stream_version = _run->version;
			record_stream_start(_services, _request, _endpoint_identity, _deadline);
		}
		_learn_first_event();
		_request.exchange->start(_answer.get_head().status, get_passed_headers(_answer.get_head()));
	}
	_stages.on_results_read();
	_request.exchange->send(events);
}

void gateway_request::_break_off_answer(std::string_view p_cause) {
	_services.context.metrics.count("answers_broken_off_" + std::string(p_cause));
	_services.context.log.write_request(log_line("answer_broken_off").add("request", _request.facts.attempt).add("endpoint", _endpoint_identity.vm).add("cause", p_cause).add("bytes", static_cast<long long>(_answer.get_byte_count())).add("all_buffered_bytes", static_cast<long long>(_services.buffers.get_total())));
	_services.exchanges.cancel(_exchange);
	_answer.drop_body();
	_services.buffers.set_size(_buffer, 0);
	_on_judged(answer_end::MALFORMED);
}

void gateway_request::_learn_first_event() {
	duration &typical = _services.first_event_times[_request.route->name];
	const instant now = event_loop::now();
	const duration elapsed = now - _sent_at;
	_services.engine_caches.on_first_event(_endpoint_identity, _predicted, elapsed, now);
	_services.context.log.write_request(log_line("first_event").add("request", _request.facts.attempt).add("endpoint", _endpoint_identity.vm).add("took_ms", elapsed).add("wait_ms", _predicted.wait).add("reading_ms", _predicted.reading).add("unread_tokens", static_cast<long long>(_predicted.unread)));
	typical = typical == duration::zero() ? elapsed : typical + duration(static_cast<duration::rep>(static_cast<double>((elapsed - typical).count()) * TYPICAL_TIME_WEIGHT));
}

void gateway_request::_observe(const outcome &p_result) {
	const instant now = event_loop::now();
	attempt_observation observation;
	observation.result = p_result;
	observation.elapsed = now - _sent_at;
	if (!is_engine(_request)) {
		duration &typical = _services.typical_times[_request.service];
		observation.typical = typical;
		if (p_result.what == verdict::COMPLETED) {
			typical = typical == duration::zero() ? observation.elapsed : typical + duration(static_cast<duration::rep>(static_cast<double>((observation.elapsed - typical).count()) * TYPICAL_TIME_WEIGHT));
		}
	}
	get_router(_services, _request).on_attempt_ended(_endpoint, observation, now);
	_end_run(p_result, observation.elapsed);
	_services.context.metrics.on_attempt(_request.service, p_result);
	if (p_result.what != verdict::COMPLETED) {
		_services.context.log.write_request(log_line("attempt_failed").add("request", _request.facts.attempt).add("endpoint", _endpoint_identity.vm).add("reason", get_name(p_result.why)).add("verdict", get_name(p_result.what)).add("status", static_cast<long long>(_answer.get_head().status)).add("took_ms", observation.elapsed));
	}
}

void gateway_request::_end_run(const outcome &p_result, duration p_elapsed) {
	if (!_run) {
		return;
	}
	rollout_service &rollouts = _services.guard.get_rollouts();
	const bool is_answered = p_result.what != verdict::NOT_RUN && p_result.why != reason::CALLER_DISCONNECTED;
	// An endpoint that rejects an invalid request has not failed.
	const bool has_failed = p_result.what != verdict::COMPLETED && (p_result.why != reason::ENDPOINT_ERROR || _answer.get_head().status >= http_status::FIRST_SERVER_ERROR);
	if (is_answered) {
		rollouts.on_answer(*_run, _request.route->name, has_failed, p_elapsed);
	}
	rollouts.on_ended(*_run);
	_run.reset();
}

void gateway_request::_log_end_of_answer(answer_end p_end) {
	const http_head &head = _answer.get_head();
	log_line line("answer_ended");
	line.add("request", _request.facts.attempt).add("endpoint", _endpoint_identity.vm).add("end", get_name(p_end)).add("status", static_cast<long long>(head.status));
	line.add("connection", static_cast<long long>(_position.connection)).add("place", static_cast<long long>(_position.place));
	if (head.status != 0) {
		line.add("has_echo", head.find(get_echo_header()) != nullptr ? "yes" : "no").add("proof", get_name(find_run_proof(p_end, _answer.get_notes())));
		const event_splitter &events = _answer.get_events();
		line.add("framing", get_name(head.framing)).add("bytes", static_cast<long long>(_answer.get_byte_count()));
		line.add("events", static_cast<long long>(events.get_event_count())).add("last_event", events.get_last_id()).add("held_bytes", static_cast<long long>(events.get_buffered_bytes()));
		_services.context.metrics.count("answers_framed_by_" + std::string(get_name(head.framing)));
	}
	line.add("took_ms", event_loop::now() - _sent_at);
	_services.context.log.write_request(line);
	if (p_end == answer_end::TRUNCATED) {
		_services.context.metrics.count("answers_cut_in_good_order");
	}
}

void gateway_request::_on_end_of_answer(channel_end p_end) {
	const answer_end end = _answer.judge(p_end);
	if (end == answer_end::COMPLETE && _must_confirm_end()) {
		_confirm_end();
		return;
	}
	_on_judged(end);
}

bool gateway_request::_must_confirm_end() const {
	const bool is_success = http_status::is_success(_answer.get_head().status) && _answer.get_notes().has_seal;
	const bool is_direct = !endpoint_exchanges::is_forwarded(_exchange);
	const bool is_to_stay = !_answer.get_notes().notice.is_leaving && _services.endpoints.get_directory().is_staying(_endpoint_identity);
	return is_success && is_direct && is_to_stay && !_answer.get_head().has_length();
}

void gateway_request::_confirm_end() {
	_end_probe.start(_endpoint_address, [this, ended = _exchange](probe_end p_found) {
		_services.context.log.write_request(log_line("answer_end_probed").add("request", _request.facts.attempt).add("endpoint", _endpoint_identity.vm).add("end", get_name(p_found)));
		// The request may have been given up or sent elsewhere since the probe started.
		if (_exchange == ended) {
			_on_judged(p_found == probe_end::REFUSED ? answer_end::TRUNCATED : answer_end::COMPLETE);
		}
	});
}

void gateway_request::_on_judged(answer_end p_end) {
	_log_end_of_answer(p_end);
	_services.buffers.set_size(_buffer, 0);
	if (p_end == answer_end::LOST || p_end == answer_end::TRUNCATED) {
		_record_interrupted_run();
	}
	_judge_end(p_end);
}

void gateway_request::_record_interrupted_run() {
	const endpoint_state *endpoint = get_router(_services, _request).find(_endpoint);
	if (endpoint == nullptr) {
		return;
	}
	const request_content content = get_content(_request);
	std::vector<request_fingerprint> parts;
	for (const std::string_view part : content.parts) {
		parts.push_back(make_part_fingerprint(part));
	}
	_services.crashes.on_run_interrupted(interrupted_run{ _request.facts.attempt, make_fingerprint(content), _endpoint_identity, endpoint->listing.address, _request.service, std::move(parts) });
}

void gateway_request::_judge_end(answer_end p_end) {
	_exchange = 0;
	switch (find_run_proof(p_end, _answer.get_notes())) {
		case run_proof::NOT_SENT:
			_observe(outcome{ verdict::NOT_RUN, reason::CONNECT_FAILED });
			_permit.keep();
			_on_not_run();
			return;
		case run_proof::OTHER_ENDPOINT:
			_on_other_endpoint();
			return;
		case run_proof::REJECTED:
			_on_rejected();
			return;
		case run_proof::NONE:
			break;
	}
	if (_answer.is_stream()) {
		_on_stream_end(p_end);
		return;
	}
	if (p_end != answer_end::COMPLETE) {
		_on_failure(get_reason(p_end));
		return;
	}
	_on_complete_answer();
}

void gateway_request::_on_stream_end(answer_end p_end) {
	if (p_end == answer_end::COMPLETE && _answer.get_notes().has_seal) {
		_observe(outcome{ verdict::COMPLETED, reason::NONE });
		_services.crashes.on_run_done(get_content(_request), true);
		if (!_answer_started) {
			_request.exchange->start(_answer.get_head().status, get_passed_headers(_answer.get_head()));
		}
		_request.exchange->send(_answer.take_remainder());
		_request.exchange->end();
		_finish(outcome{ verdict::COMPLETED, reason::NONE }, _answer.get_head().status);
		return;
	}
	const reason why = get_reason(p_end);
	if (!_answer_started && _answer.get_events().get_last_id().empty()) {
		_on_failure(why);
		return;
	}
	_observe(outcome{ verdict::MAY_HAVE_RUN, why });
	_runs++;
	_tally.add(verdict::MAY_HAVE_RUN);
	if (_resume()) {
		return;
	}
	_request.exchange->abort();
	_finish(outcome{ verdict::MAY_HAVE_RUN, why }, 0);
}

bool gateway_request::_resume() {
	if (!_may_resume() || !_choice.has_open() || !_try_repeat_budget()) {
		return false;
	}
	_resumes++;
	_choice.avoid(_endpoint);
	_services.context.log.write_request(log_line("resume").add("request", _request.facts.attempt).add("from", _endpoint_identity.vm).add("event", _answer.get_events().get_last_id()));
	if (_stages.is_empty()) {
		_send();
		return true;
	}
	// The stage results were released when the stream began.
	_stages.remake();
	return true;
}

void gateway_request::_on_other_endpoint() {
	_observe(outcome{ verdict::NOT_RUN, reason::REFUSED_LEAVING });
	// Another endpoint answers at this address, so the old one has exited. Marking it spares each peer from finding this out itself.
	_services.endpoints.mark_leaving(_endpoint_identity, "answer");
	_on_not_run();
}

void gateway_request::_on_rejected() {
	if (_answer.get_head().status == http_status::CONFLICT && !_stages.is_empty() && _stages.may_remake()) {
		_observe(outcome{ verdict::NOT_RUN, reason::REFUSED_INPUT });
		_stages.remake();
		return;
	}
	_observe(outcome{ verdict::NOT_RUN, reason::REFUSED_BUSY });
	_on_not_run();
}

void gateway_request::_on_complete_answer() {
	if (http_status::is_success(_answer.get_head().status)) {
		if (!_answer.get_notes().has_seal) {
			_on_failure(reason::WRONG_ECHO);
			return;
		}
		_observe(outcome{ verdict::COMPLETED, reason::NONE });
		_services.crashes.on_run_done(get_content(_request), true);
		_pass_answer();
		return;
	}
	_observe(outcome{ verdict::MAY_HAVE_RUN, reason::ENDPOINT_ERROR });
	if (_answer.get_notes().has_seal) {
		// The endpoint failed the request but did not crash.
		_services.crashes.on_run_done(get_content(_request), false);
	}
	_runs++;
	_tally.add(verdict::MAY_HAVE_RUN);
	if (_answer.get_head().status >= http_status::FIRST_SERVER_ERROR && _may_repeat_run() && _try_repeat_budget()) {
		_choice.avoid(_endpoint);
		_send();
		return;
	}
	_pass_answer();
}

void gateway_request::_pass_answer() {
	if (_answer_started) {
		// This is the answer to a resume of a stream whose head was already sent to the caller.
		_fail(reason::ENDPOINT_ERROR);
		return;
	}
	if (http_status::promises_not_run(_answer.get_head().status)) {
		// The request may have run. Another status must not carry the endpoint's seal.
		_fail(reason::ENDPOINT_ERROR);
		return;
	}
	_request.exchange->reply(_answer.get_head().status, get_passed_headers(_answer.get_head()), _answer.get_body());
	_finish(outcome{ http_status::is_success(_answer.get_head().status) ? verdict::COMPLETED : verdict::MAY_HAVE_RUN, http_status::is_success(_answer.get_head().status) ? reason::NONE : reason::ENDPOINT_ERROR }, _answer.get_head().status);
}

void gateway_request::_on_not_run() {
	const bool was_connected = _answer.get_head().status != 0;
	_choice.avoid(_endpoint);
	const bool has_time = _give_up_at - event_loop::now() > MIN_REMAINING_TIME + RETRY_PAUSE;
	// A send that reached an endpoint counts against the repeat budget even if the endpoint rejected it.
	if (!has_time || _sends >= MAX_SENDS || (was_connected && !_try_repeat_budget())) {
		_refuse(was_connected ? reason::REFUSED_BUSY : reason::CONNECT_FAILED, SHORT_RETRY_AFTER);
		return;
	}
	_retry_timer.set(was_connected ? RETRY_PAUSE : duration::zero());
}

void gateway_request::_on_failure(reason p_reason) {
	_observe(outcome{ verdict::MAY_HAVE_RUN, p_reason });
	_runs++;
	_tally.add(verdict::MAY_HAVE_RUN);
	const bool has_time = _give_up_at - event_loop::now() > MIN_REMAINING_TIME;
	if (has_time && !_answer_started && _may_repeat_run() && _try_repeat_budget()) {
		_choice.avoid(_endpoint);
		_send();
		return;
	}
	_fail(p_reason);
}

bool gateway_request::_is_proved_not_to_run() const {
	return _exchange == 0 && _tally.get_verdict() == verdict::NOT_RUN && !_stages.may_have_run() && !_answer_started;
}

void gateway_request::_refuse(reason p_reason, duration p_retry_after) {
	if (!_is_proved_not_to_run()) {
		_fail(p_reason);
		return;
	}
	_request.exchange->reply(http_status::UNAVAILABLE, { make_retry_after(p_retry_after) }, "");
	_finish(outcome{ verdict::NOT_RUN, p_reason }, http_status::UNAVAILABLE);
}

void gateway_request::_fail(reason p_reason) {
	if (_answer_started) {
		_request.exchange->abort();
		_finish(outcome{ verdict::MAY_HAVE_RUN, p_reason }, 0);
		return;
	}
	const bool is_late = p_reason == reason::DEADLINE_PASSED || p_reason == reason::TIMED_OUT;
	const int status = is_late ? http_status::GATEWAY_TIMEOUT : http_status::BAD_GATEWAY;
	_request.exchange->reply(status, {}, "");
	_finish(outcome{ verdict::MAY_HAVE_RUN, p_reason }, status);
}

void gateway_request::_on_give_up_time() {
	if (!_has_rechecked && _exchange != 0 && _services.exchanges.has_unread(_exchange)) {
		_has_rechecked = true;
		_give_up_timer.set(RECHECK_DELAY);
		return;
	}
	_give_up(reason::DEADLINE_PASSED);
}

void gateway_request::_give_up(reason p_reason) {
	if (_ended) {
		return;
	}
	if (_exchange != 0) {
		_services.exchanges.cancel(_exchange);
		_exchange = 0;
		_tally.add(verdict::MAY_HAVE_RUN);
		_observe(outcome{ verdict::MAY_HAVE_RUN, reason::TIMED_OUT });
	}
	if (!_stages.is_empty()) {
		_tally.add(verdict::MAY_HAVE_RUN);
	}
	_refuse(p_reason, SHORT_RETRY_AFTER);
}

void gateway_request::on_reachability_changed(const std::set<std::string> &p_unreached_zones) {
	const bool is_direct = _exchange != 0 && !endpoint_exchanges::is_forwarded(_exchange);
	const endpoint_state *endpoint = !is_direct ? nullptr : get_router(_services, _request).find(_endpoint);
	if (endpoint == nullptr || !p_unreached_zones.contains(endpoint->listing.zone) || !_may_continue_elsewhere() || !_choice.has_usable_outside(p_unreached_zones)) {
		return;
	}
	_services.exchanges.cancel(_exchange);
	_judge_end(answer_end::LOST);
}

void gateway_request::end_for_stop() {
	if (!_answer_started) {
		_give_up(reason::DRAINING);
	}
}

void gateway_request::_on_caller_disconnected() {
	if (_exchange != 0) {
		_services.exchanges.cancel(_exchange);
		_exchange = 0;
		_observe(outcome{ verdict::MAY_HAVE_RUN, reason::CALLER_DISCONNECTED });
	}
	_finish(outcome{ verdict::MAY_HAVE_RUN, reason::CALLER_DISCONNECTED }, 0);
}

void gateway_request::_finish(const outcome &p_result, int p_status) {
	if (_ended) {
		return;
	}
	_ended = true;
	_services.buffers.set_size(_buffer, 0);
	_permit.end();
	_services.guard.get_queue().leave(_request.service, _queue_position);
	_give_up_timer.cancel();
	_retry_timer.cancel();
	_stages.end();
	const duration elapsed = event_loop::now() - _started;
	_services.context.metrics.on_request(_request.route->name, p_result, elapsed);
	_services.context.log.write_request(log_line("request_finished").add("request", _request.facts.attempt).add("route", _request.route->name).add("customer", _request.customer == nullptr ? "" : _request.customer->name).add("verdict", get_name(p_result.what)).add("reason", get_name(p_result.why)).add("status", static_cast<long long>(p_status)).add("sends", static_cast<long long>(_sends)).add("took_ms", elapsed));
	_on_end();
}

} // namespace calicoscale
