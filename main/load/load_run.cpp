/*
 * calicoscale: load_run.cpp
 * Sends a mix of requests at a given rate as an open loop and checks every answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/load/load_run.h"

#include "core/digest.h"
#include "core/ids.h"
#include "main/load/answer_check.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <iostream>

namespace calicoscale {

namespace {

using json = nlohmann::json;

/** Deadline by which requests without one of their own are judged; equals a pipeline's default in the configuration. */
constexpr duration DEFAULT_DEADLINE = std::chrono::seconds(4);
/** A request whose connection makes no progress for its deadline plus this time is given up and counts as unanswered. */
constexpr duration GIVE_UP_AFTER_DEADLINE = std::chrono::seconds(10);
constexpr duration PROGRESS_INTERVAL = std::chrono::seconds(1);
constexpr int STATUS_OK = 200;

} // namespace

load_run::load_run(event_loop &p_loop, load_mix p_mix, load_options p_options) :
		_loop(p_loop),
		_client(p_loop),
		_mix(std::move(p_mix)),
		_options(std::move(p_options)),
		_random(_options.seed),
		_next_timer(p_loop, [this] { _send_due(); }),
		_progress_timer(p_loop, [this] { _show_progress(); }) {
}

void load_run::start() {
	_started = event_loop::now();
	_next_arrival = _started;
	_schedule_next();
	if (_options.show_progress) {
		_progress_timer.set(PROGRESS_INTERVAL);
	}
}

double load_run::_get_rate(instant p_at) const {
	if (!_mix.burst) {
		return _options.rate;
	}
	const duration since = p_at - _started;
	const bool in_burst = since % _mix.burst->every < _mix.burst->length;
	return in_burst ? _options.rate * _mix.burst->factor : _options.rate;
}

void load_run::_schedule_next() {
	const double gap = -std::log(1.0 - _random.get_unit()) / _get_rate(_next_arrival);
	_next_arrival += from_seconds(gap);
	if (_next_arrival >= _started + _options.warm_up + _options.length) {
		_is_sending_done = true;
		_report.set_seconds(to_seconds(_options.length));
		_stop_if_done();
		return;
	}
	_next_timer.set_at(_next_arrival);
}

void load_run::_send_due() {
	const instant now = event_loop::now();
	while (!_is_sending_done && _next_arrival <= now) {
		_send(_next_arrival);
		_schedule_next();
	}
	if (!_is_sending_done) {
		// A timer may fire slightly early, before the next arrival is due, so it is set again.
		_next_timer.set_at(_next_arrival);
	}
}

std::size_t load_run::_draw_customer(const mix_request &p_kind) {
	std::vector<double> weights;
	double total = 0.0;
	for (const mix_customer &customer : _mix.customers) {
		const bool sends = p_kind.customers.empty() || std::find(p_kind.customers.begin(), p_kind.customers.end(), customer.name) != p_kind.customers.end();
		weights.push_back(sends ? customer.weight : 0.0);
		total += weights.back();
	}
	double point = _random.get_unit() * total;
	for (std::size_t i = 0; i < weights.size(); i++) {
		point -= weights[i];
		if (point < 0.0 && weights[i] > 0.0) {
			return i;
		}
	}
	return weights.size() - 1;
}

std::string load_run::_make_input(const open_request &p_request) {
	const mix_request &kind = _mix.requests[p_request.kind];
	const std::string &customer = _mix.customers[p_request.customer].name;
	std::string shared;
	while (shared.size() < kind.shared_prefix_bytes) {
		shared += customer + " shared opening. ";
	}
	shared.resize(kind.shared_prefix_bytes);
	std::string text;
	while (text.size() + shared.size() < kind.input_bytes) {
		text += to_hex(_random.get_bits()) + " ";
	}
	// "context" sorts before "marker", so the shared prefix also comes first in the JSON text.
	return json({ { "input", { { "context", shared }, { "marker", p_request.marker }, { "text", text } } }, { "stream", kind.stream } }).dump();
}

void load_run::_send(instant p_scheduled) {
	auto made = std::make_unique<open_request>();
	open_request &request = *made;
	double total = 0.0;
	for (const mix_request &kind : _mix.requests) {
		total += kind.weight;
	}
	double point = _random.get_unit() * total;
	for (std::size_t i = 0; i < _mix.requests.size() && point >= 0.0; i++) {
		request.kind = i;
		point -= _mix.requests[i].weight;
	}
	const mix_request &kind = _mix.requests[request.kind];
	request.customer = _draw_customer(kind);
	request.marker = "m" + to_hex(_random.get_bits());
	request.scheduled = p_scheduled;
	request.deadline = kind.deadline > duration::zero() ? kind.deadline : DEFAULT_DEADLINE;
	request.measured = p_scheduled >= _started + _options.warm_up;
	request.sample.customer = _mix.customers[request.customer].name;
	request.sample.pipeline = kind.pipeline;
	const std::uint64_t id = _next_id++;
	http_call call;
	call.to = _options.targets[_random.get_below(_options.targets.size())];
	call.is_post = true;
	call.path = "/v1/pipelines/" + kind.pipeline + "/requests";
	call.timeout = request.deadline + GIVE_UP_AFTER_DEADLINE;
	call.headers = { { "Authorization", "Bearer " + _mix.customers[request.customer].key }, { "Content-Type", "application/json" } };
	if (kind.deadline > duration::zero()) {
		call.headers.push_back(http_header{ "Request-Deadline-Ms", std::to_string(kind.deadline.count() / 1000) });
	}
	if (kind.once) {
		call.headers.push_back(http_header{ "Idempotency-Key", std::to_string(event_loop::wall()) + "-" + request.marker });
	}
	call.body = _make_input(request);
	http_hooks hooks;
	if (kind.stream) {
		hooks.on_chunk = [this, &request](std::string_view p_chunk) { _on_chunk(request, p_chunk); };
	}
	hooks.on_end = [this, id](const http_result &p_result) { _on_end(id, p_result); };
	_open.emplace(id, std::move(made));
	_client.start(call, std::move(hooks));
}

void load_run::_on_chunk(open_request &r_request, std::string_view p_chunk) {
	r_request.unparsed.append(p_chunk);
	std::size_t start = 0;
	while (true) {
		const std::size_t end = r_request.unparsed.find('\n', start);
		if (end == std::string::npos) {
			break;
		}
		_on_event_line(r_request, r_request.unparsed.substr(start, end - start));
		start = end + 1;
	}
	r_request.unparsed.erase(0, start);
}

void load_run::_on_event_line(open_request &r_request, const std::string &p_line) {
	if (p_line.starts_with("event: ")) {
		r_request.last_event = p_line.substr(7);
		return;
	}
	if (!p_line.starts_with("data: ")) {
		return;
	}
	const std::string data = p_line.substr(6);
	if (r_request.last_event == "done") {
		r_request.done = data;
		r_request.done_count++;
		return;
	}
	if (r_request.last_event == "error") {
		r_request.error = data;
		return;
	}
	if (r_request.last_event != "token") {
		return;
	}
	const json token = json::parse(data, nullptr, false);
	const instant now = event_loop::now();
	if (!token.is_object() || token.value("sequence", std::size_t(0)) != r_request.tokens.size()) {
		_add_fault(r_request, "token out of sequence");
		return;
	}
	if (r_request.tokens.empty()) {
		r_request.sample.first_token = now - r_request.scheduled;
	} else {
		r_request.sample.gaps.push_back(now - r_request.last_token);
	}
	r_request.last_token = now;
	r_request.tokens.push_back(token.value("token", ""));
}

void load_run::_add_fault(open_request &r_request, const std::string &p_what) {
	r_request.sample.verdict = "wrong";
	_report.add_fault(r_request.sample.pipeline + " " + r_request.marker + ": " + p_what);
}

void load_run::_on_end(std::uint64_t p_id, const http_result &p_result) {
	const std::unique_ptr<open_request> request = std::move(_open.at(p_id));
	_open.erase(p_id);
	request->sample.latency = event_loop::now() - request->scheduled;
	_classify(*request, p_result);
	if (request->measured) {
		_report.add(std::move(request->sample));
	}
	_stop_if_done();
}

void load_run::_classify(open_request &r_request, const http_result &p_result) {
	if (r_request.sample.verdict == "wrong") {
		return;
	}
	if (p_result.failure != http_failure::NONE) {
		// The answers of a crashed node are lost with it; the caller can only tell whether it could connect.
		r_request.sample.verdict = p_result.failure == http_failure::CONNECT_FAILED ? "unreachable" : "unanswered";
		if (r_request.done_count > 0) {
			_check_stream(r_request);
		}
		return;
	}
	if (p_result.status != STATUS_OK) {
		_record_problem(r_request, p_result.body);
	} else if (!r_request.error.empty()) {
		_record_problem(r_request, r_request.error);
	} else if (_mix.requests[r_request.kind].stream) {
		_check_stream(r_request);
	} else {
		_check_complete_answer(r_request, p_result.body);
	}
}

void load_run::_record_problem(open_request &r_request, const std::string &p_body) {
	const json problem = json::parse(p_body, nullptr, false);
	if (!problem.is_object() || !problem.contains("verdict")) {
		_add_fault(r_request, "an error without a verdict: " + p_body);
		return;
	}
	r_request.sample.verdict = problem.value("verdict", "");
	r_request.sample.reason = problem.value("reason", "");
	if (r_request.sample.verdict == "not_run" && !r_request.tokens.empty()) {
		_add_fault(r_request, "not_run after tokens came");
	}
}

void load_run::_check_stream(open_request &r_request) {
	const json done = json::parse(r_request.done, nullptr, false);
	if (!done.is_object() || r_request.done_count != 1) {
		_add_fault(r_request, "a stream that ended without exactly one done event");
		return;
	}
	stream_digest digest;
	for (const std::string &token : r_request.tokens) {
		digest.add(token);
	}
	if (done.value("count", std::size_t(0)) != r_request.tokens.size() || done.value("digest", "") != digest.to_string()) {
		_add_fault(r_request, "count or digest of the stream do not match");
		return;
	}
	const std::optional<std::string> wrong = _options.check_chain ? check_chain(r_request.tokens, r_request.marker) : std::nullopt;
	if (wrong) {
		_add_fault(r_request, *wrong);
		return;
	}
	for (const json &stage : done.value("stages", json::array())) {
		r_request.sample.costs[stage.value("stage", "")] += stage.value("cost", 0.0);
	}
	r_request.sample.verdict = "completed";
	r_request.sample.in_time = r_request.sample.latency <= r_request.deadline;
}

void load_run::_check_complete_answer(open_request &r_request, const std::string &p_body) {
	const json answer = json::parse(p_body, nullptr, false);
	if (!answer.is_object() || answer.value("verdict", "") != "completed" || !answer.contains("output")) {
		_add_fault(r_request, "a 200 answer that is not complete");
		return;
	}
	const json &output = answer["output"];
	std::optional<std::string> wrong;
	if (_options.check_chain && output.is_string()) {
		wrong = check_chain(split_chain(output.get<std::string>()), r_request.marker);
	} else if (_options.check_chain && (!output.is_object() || output.value("marker", "") != r_request.marker)) {
		wrong = "the answer belongs to another request";
	}
	if (wrong) {
		_add_fault(r_request, *wrong);
		return;
	}
	for (const json &stage : answer.value("stages", json::array())) {
		r_request.sample.costs[stage.value("stage", "")] += stage.value("cost", 0.0);
	}
	r_request.sample.verdict = "completed";
	r_request.sample.in_time = r_request.sample.latency <= r_request.deadline;
}

void load_run::_show_progress() {
	const double seconds = to_seconds(event_loop::now() - _started);
	std::cerr << "t=" << std::round(seconds) << " sent=" << _next_id - 1 << " open=" << _open.size() << " wrong=" << _report.get_fault_count() << "\n";
	_progress_timer.set(PROGRESS_INTERVAL);
}

void load_run::_stop_if_done() {
	if (_is_sending_done && _open.empty()) {
		_loop.stop();
	}
}

} // namespace calicoscale
