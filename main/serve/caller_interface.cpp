/*
 * calicoscale: caller_interface.cpp
 * HTTP interface for callers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/caller_interface.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::string_view PIPELINES = "/v1/pipelines/";
constexpr std::string_view REQUESTS = "/requests";
constexpr std::string_view LOOKUP = "/v1/requests/";
constexpr std::string_view BEARER = "Bearer ";
constexpr duration TICKET_LIFETIME = std::chrono::minutes(10);
constexpr duration RESUME_LIFETIME = std::chrono::minutes(2);
constexpr duration RESUME_TIMEOUT = std::chrono::seconds(20);
constexpr int MAX_JSON_DEPTH = 64;

std::optional<std::int64_t> parse_whole_number(const std::string &p_text) {
	std::int64_t value = 0;
	const char *end = p_text.data() + p_text.size();
	const std::from_chars_result result = std::from_chars(p_text.data(), end, value);
	if (p_text.empty() || result.ec != std::errc() || result.ptr != end) {
		return std::nullopt;
	}
	return value;
}

/** Parses JSON of bounded depth. Returns a discarded value if the text is malformed, isn't UTF-8 or is nested too deeply. */
json parse_bounded(const std::string &p_text) {
	bool too_deep = false;
	const json document = json::parse(
			p_text, [&too_deep](int p_depth, json::parse_event_t, json &) {
				too_deep = too_deep || p_depth > MAX_JSON_DEPTH;
				return !too_deep;
			},
			false);
	return too_deep ? json(json::value_t::discarded) : document;
}

} // namespace

/** An exchange that is being answered, with the state that is needed when its caller disconnects. */
struct caller_interface::open_exchange {
	std::unique_ptr<http_exchange> exchange;
	std::string customer;
	std::string pipeline;
	request_id id;
	bool has_id = false;
	resume_point announced_point; ///< Stream that the last resume token sent to the caller refers to.
	std::function<void()> stop;
};

caller_interface::caller_interface(node_context &p_context, configuration_service &p_configuration, request_door &p_door, request_service &p_requests, once_service &p_once, resume_service &p_resumes) :
		_context(p_context),
		_configuration(p_configuration),
		_door(p_door),
		_requests(p_requests),
		_once(p_once),
		_resumes(p_resumes),
		_server(
				p_context.loop, p_context.settings.caller_address,
				http_server_limits{ p_context.settings.limits.header_bytes, p_context.settings.limits.body_bytes, p_context.settings.limits.idle_seconds },
				[this](std::unique_ptr<http_exchange> p_exchange) { _on_exchange(std::move(p_exchange)); }) {
}

void caller_interface::close() {
	_closing = true;
	_server.stop_listening();
}

void caller_interface::_answer(http_exchange &r_exchange, const caller_answer &p_answer) {
	std::vector<http_header> headers;
	if (p_answer.retry_after > duration::zero()) {
		const std::int64_t seconds = (p_answer.retry_after.count() + 999'999) / 1'000'000;
		headers.push_back(http_header{ "Retry-After", std::to_string(seconds) });
	}
	if (_closing) {
		headers.push_back(http_header{ "Connection", "close" });
	}
	r_exchange.reply(p_answer.status, p_answer.content_type, p_answer.body, headers);
}

void caller_interface::_refuse(http_exchange &r_exchange, reason p_reason, const std::string &p_detail) {
	const outcome result{ verdict::NOT_RUN, p_reason };
	_context.metrics.on_request("-", result, duration::zero());
	_answer(r_exchange, write_problem(result, duration::zero(), p_detail, ""));
}

bool caller_interface::_has_valid_framing(http_exchange &r_exchange) {
	const std::size_t lengths = r_exchange.count_header("Content-Length");
	const bool is_ambiguous = lengths > 1 || (lengths == 1 && r_exchange.count_header("Transfer-Encoding") > 0);
	if (!is_ambiguous) {
		return true;
	}
	// The end of the body is ambiguous, so data that follows on this connection cannot be trusted.
	const caller_answer answer = write_problem(outcome{ verdict::NOT_RUN, reason::BAD_REQUEST }, duration::zero(), "The length of the body is given twice.", "");
	r_exchange.reply(answer.status, answer.content_type, answer.body, { { "Connection", "close" } });
	return false;
}

const customer_settings *caller_interface::_authenticate(const http_exchange &p_exchange) const {
	const std::optional<std::string> header = p_exchange.find_header("Authorization");
	const configuration *current = _configuration.get_fold().get_configuration();
	if (!header || !header->starts_with(BEARER) || current == nullptr) {
		return nullptr;
	}
	const std::string hash = sha256_hex(header->substr(BEARER.size()));
	const customer_settings *found = nullptr;
	for (const customer_settings &customer : current->customers) {
		// Compares with every customer, so that the response time doesn't reveal which one matched.
		if (equal_in_constant_time(hash, customer.key_sha256)) {
			found = &customer;
		}
	}
	return found;
}

void caller_interface::_on_exchange(std::unique_ptr<http_exchange> p_exchange) {
	http_exchange &exchange = *p_exchange;
	if (!_has_valid_framing(exchange)) {
		return;
	}
	if (_configuration.get_fold().get_configuration() == nullptr) {
		const outcome result{ verdict::NOT_RUN, reason::NOT_READY };
		_answer(exchange, write_problem(result, std::chrono::seconds(1), "", ""));
		return;
	}
	const customer_settings *customer = _authenticate(exchange);
	if (customer == nullptr) {
		_refuse(exchange, reason::UNAUTHORIZED, "The Authorization header has no known key.");
		return;
	}
	const std::string name = customer->name;
	const std::string path = exchange.get_path();
	const bool is_request = path.starts_with(PIPELINES) && path.ends_with(REQUESTS) && path.size() > PIPELINES.size() + REQUESTS.size();
	if (exchange.is_post() && is_request) {
		const std::string pipeline = path.substr(PIPELINES.size(), path.size() - PIPELINES.size() - REQUESTS.size());
		_handle_request(std::move(p_exchange), name, pipeline);
	} else if (exchange.is_post() && path == "/v1/tickets") {
		_handle_ticket(exchange, name);
	} else if (exchange.is_post() && path == "/v1/resume") {
		_handle_resume(std::move(p_exchange), name);
	} else if (exchange.is_get() && path.starts_with(LOOKUP)) {
		_handle_lookup(exchange, name, path.substr(LOOKUP.size()));
	} else {
		_refuse(exchange, reason::NOT_FOUND, "There is nothing at this path for this method.");
	}
}

bool caller_interface::_read_request(http_exchange &r_exchange, door_request &r_request) {
	const std::optional<std::string> deadline = r_exchange.find_header("Request-Deadline-Ms");
	if (deadline) {
		const std::optional<std::int64_t> milliseconds = parse_whole_number(*deadline);
		const std::int64_t longest = _context.settings.limits.longest_deadline.count() / 1000;
		if (!milliseconds || *milliseconds <= 0 || *milliseconds > longest) {
			_refuse(r_exchange, reason::BAD_DEADLINE, "Request-Deadline-Ms must be a whole number from 1 to " + std::to_string(longest) + ".");
			return false;
		}
		r_request.deadline = std::chrono::milliseconds(*milliseconds);
	}
	const std::optional<std::string> key = r_exchange.find_header("Idempotency-Key");
	if (key) {
		const bool is_valid = parse_ticket(*key).has_value() || parse_claimed_key(*key).has_value();
		if (!is_valid) {
			_refuse(r_exchange, reason::KEY_MALFORMED, "An Idempotency-Key is a ticket, or \"<unix milliseconds>-<anything>\" of at most 128 bytes.");
			return false;
		}
		r_request.key = *key;
	}
	const json body = parse_bounded(r_exchange.take_body());
	if (!body.is_object() || !body.contains("input")) {
		_refuse(r_exchange, reason::BAD_REQUEST, "The body must be a JSON object in UTF-8 with \"input\".");
		return false;
	}
	for (const auto &[name, value] : body.items()) {
		if (name != "input" && name != "stream") {
			_refuse(r_exchange, reason::BAD_REQUEST, "The body has an unknown member; known are \"input\" and \"stream\".");
			return false;
		}
	}
	if (body.contains("stream") && !body["stream"].is_boolean()) {
		_refuse(r_exchange, reason::BAD_REQUEST, "\"stream\" must be true or false.");
		return false;
	}
	r_request.stream = body.value("stream", false);
	r_request.input = body["input"].dump();
	return true;
}

void caller_interface::_handle_request(std::unique_ptr<http_exchange> p_exchange, const std::string &p_customer, const std::string &p_pipeline) {
	door_request request;
	request.customer = p_customer;
	request.pipeline = p_pipeline;
	if (!_read_request(*p_exchange, request)) {
		return;
	}
	const std::shared_ptr<open_exchange> open = std::make_shared<open_exchange>();
	open->exchange = std::move(p_exchange);
	open->customer = p_customer;
	open->pipeline = p_pipeline;
	open->exchange->set_on_disconnect([this, weak = std::weak_ptr<open_exchange>(open)] {
		const std::shared_ptr<open_exchange> closed_exchange = weak.lock();
		if (closed_exchange && closed_exchange->has_id) {
			_requests.abandon(closed_exchange->id);
		}
	});
	_door.submit(request, _make_hooks(open, request));
}

door_hooks caller_interface::_make_hooks(const std::shared_ptr<open_exchange> &p_open, const door_request &p_request) {
	door_hooks hooks;
	hooks.on_started = [this, p_open, has_key = !p_request.key.empty()](const request_id &p_id) {
		p_open->id = p_id;
		// A request with a key runs to completion even if its caller has disconnected: the outcome is kept for the next submission.
		p_open->has_id = !has_key;
		if (p_open->exchange->is_gone() && p_open->has_id) {
			_context.loop.post([this, p_id] { _requests.abandon(p_id); });
		}
	};
	hooks.on_token = [this, p_open](std::uint32_t p_sequence, const std::string &p_token, const resume_point &p_point) { _send_token(*p_open, p_sequence, p_token, p_point); };
	hooks.on_streamed = [this, p_open](const request_id &p_id, const finish_request &p_finish) {
		p_open->has_id = false;
		if (!p_open->exchange->is_streaming()) {
			p_open->exchange->start_stream(200, "text/event-stream");
		}
		if (p_finish.result.what == verdict::COMPLETED) {
			_end_stream(*p_open, "done", write_done_event(p_id, p_finish));
			return;
		}
		_end_stream(*p_open, "error", write_end(p_id, p_finish).body);
	};
	hooks.on_answer = [this, p_open](const caller_answer &p_answer) {
		p_open->has_id = false;
		_answer(*p_open->exchange, p_answer);
	};
	return hooks;
}

void caller_interface::_send_token(open_exchange &r_open, std::uint32_t p_sequence, const std::string &p_token, const resume_point &p_point) {
	if (!r_open.exchange->is_streaming()) {
		r_open.exchange->start_stream(200, "text/event-stream");
	}
	std::string text;
	if (!(r_open.announced_point == p_point)) {
		r_open.announced_point = p_point;
		const unix_milliseconds lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(RESUME_LIFETIME).count();
		const std::string token = _resumes.write_token(resume_ticket{ r_open.customer, r_open.pipeline, p_point, event_loop::wall() + lifetime });
		text += write_event("resume", json({ { "request_id", to_string(r_open.id) }, { "resume", token } }).dump());
	}
	text += write_event("token", write_token(p_sequence, p_token));
	r_open.exchange->send_part(text);
}

void caller_interface::_end_stream(open_exchange &r_open, const std::string &p_name, const std::string &p_data) {
	r_open.exchange->send_part(write_event(p_name, p_data));
	r_open.exchange->end_stream();
}

void caller_interface::_handle_ticket(http_exchange &r_exchange, const std::string &p_customer) {
	if (!_door.is_ready()) {
		_answer(r_exchange, write_problem(outcome{ verdict::NOT_RUN, reason::NOT_READY }, std::chrono::seconds(1), "", ""));
		return;
	}
	const json answer{ { "ticket", _once.issue_ticket(p_customer, TICKET_LIFETIME) }, { "expires_in_ms", TICKET_LIFETIME.count() / 1000 } };
	_answer(r_exchange, caller_answer{ 200, "application/json", answer.dump() + "\n", duration::zero() });
}

void caller_interface::_handle_resume(std::unique_ptr<http_exchange> p_exchange, const std::string &p_customer) {
	const json body = parse_bounded(p_exchange->take_body());
	const bool is_valid = body.is_object() && body.contains("resume") && body["resume"].is_string() && body.contains("next") && body["next"].is_number_unsigned();
	if (!is_valid) {
		_refuse(*p_exchange, reason::BAD_REQUEST, "The body must be {\"resume\": token, \"next\": sequence number}.");
		return;
	}
	const std::optional<resume_ticket> ticket = _resumes.read_token(body["resume"].get<std::string>(), p_customer);
	if (!ticket) {
		_refuse(*p_exchange, reason::NOT_FOUND, "There is no such stream.");
		return;
	}
	const std::shared_ptr<open_exchange> open = std::make_shared<open_exchange>();
	open->exchange = std::move(p_exchange);
	open->exchange->set_on_disconnect([weak = std::weak_ptr<open_exchange>(open)] {
		const std::shared_ptr<open_exchange> closed_exchange = weak.lock();
		if (closed_exchange && closed_exchange->stop) {
			closed_exchange->stop();
			closed_exchange->stop = nullptr;
		}
	});
	resume_hooks hooks;
	hooks.on_token = [open](std::uint32_t p_sequence, const std::string &p_token) {
		if (!open->exchange->is_streaming()) {
			open->exchange->start_stream(200, "text/event-stream");
		}
		open->exchange->send_part(write_event("token", write_token(p_sequence, p_token)));
	};
	hooks.on_end = [this, open, stream = ticket->point.stream](const attempt_end &p_end) {
		open->stop = nullptr;
		finish_request finish;
		finish.result = p_end.result;
		finish.token_count = p_end.token_count;
		finish.digest = p_end.digest;
		const bool is_complete = p_end.result.what == verdict::COMPLETED;
		if (!is_complete && !open->exchange->is_streaming()) {
			_answer(*open->exchange, write_end(stream.request, finish));
			return;
		}
		if (!open->exchange->is_streaming()) {
			open->exchange->start_stream(200, "text/event-stream");
		}
		_end_stream(*open, is_complete ? "done" : "error", is_complete ? write_done_event(stream.request, finish) : write_end(stream.request, finish).body);
	};
	open->stop = _resumes.begin(*ticket, body["next"].get<std::uint32_t>(), RESUME_TIMEOUT, hooks);
	if (!open->stop) {
		_refuse(*open->exchange, reason::NOT_FOUND, "The endpoint of this stream is gone.");
	}
}

void caller_interface::_handle_lookup(http_exchange &r_exchange, const std::string &p_customer, const std::string &p_id) {
	const std::optional<request_id> id = parse_request_id(p_id);
	const remembered_outcome *found = id ? _door.find_outcome(p_customer, *id) : nullptr;
	if (found == nullptr) {
		_refuse(r_exchange, reason::NOT_FOUND, "This node knows no such request.");
		return;
	}
	json answer{ { "request_id", p_id }, { "running", found->running } };
	if (!found->running) {
		answer["verdict"] = get_name(found->result.what);
		answer["reason"] = get_name(found->result.why);
	}
	_answer(r_exchange, caller_answer{ 200, "application/json", answer.dump() + "\n", duration::zero() });
}

} // namespace calicoscale
