/*
 * calicoscale: endpoint_client.cpp
 * Attempts at endpoints: engines, pools and plain services.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr duration SETTLE_TIMEOUT = std::chrono::seconds(2);
constexpr duration LOAD_TIMEOUT = std::chrono::seconds(1);
/** Added to the time-out of the connection, so that the timers of request_flow end an attempt first. */
constexpr duration CONNECTION_SLACK = std::chrono::seconds(2);
constexpr std::size_t MAX_LINE_BYTES = 1024 * 1024;

attempt_end make_end(verdict p_verdict, reason p_reason) {
	attempt_end end;
	end.result = outcome{ p_verdict, p_reason };
	return end;
}

/** The headers by which an endpoint refuses an attempt before it runs anything, as a status alone does not say so. */
constexpr std::array<std::pair<std::string_view, reason>, 4> REFUSALS{ {
		{ "busy", reason::REFUSED_BUSY },
		{ "leaving", reason::REFUSED_LEAVING },
		{ "input", reason::REFUSED_INPUT },
		{ "late", reason::DEADLINE_PASSED },
} };

/** Returns why an endpoint says that it did not run an attempt; empty if it does not say so. */
std::optional<reason> find_refusal(const http_result &p_result) {
	const std::string value = p_result.find_header("Not-Run");
	const auto found = std::find_if(REFUSALS.begin(), REFUSALS.end(), [&value](const auto &p_entry) { return p_entry.first == value; });
	return found == REFUSALS.end() ? std::nullopt : std::optional(found->second);
}

/** Classifies a call that ended without an answer. */
attempt_end judge_lost_call(http_failure p_failure) {
	switch (p_failure) {
		case http_failure::CONNECT_FAILED:
			return make_end(verdict::NOT_RUN, reason::CONNECT_FAILED);
		case http_failure::LOST:
			return make_end(verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST);
		case http_failure::TIMED_OUT:
			return make_end(verdict::MAY_HAVE_RUN, reason::TIMED_OUT);
		case http_failure::MALFORMED:
		case http_failure::NONE:
			break;
	}
	return make_end(verdict::MAY_HAVE_RUN, reason::TRUNCATED);
}

json make_body(const attempt_order &p_order) {
	json body;
	body["attempt"] = to_string(p_order.id);
	body["customer"] = p_order.customer;
	body["pipeline"] = p_order.pipeline;
	body["stage"] = p_order.stage;
	body["priority"] = get_name(p_order.priority);
	body["input"] = json::parse(p_order.input);
	body["previous"] = p_order.previous.empty() ? json(nullptr) : json::parse(p_order.previous);
	if (p_order.kind == stage_kind::GENERATE) {
		body["max_tokens"] = p_order.max_tokens;
		body["tokens_before"] = p_order.tokens_before;
		body["cache_scope"] = p_order.customer;
	}
	return body;
}

http_call make_call(const attempt_order &p_order) {
	http_call call;
	call.to = p_order.to;
	call.is_post = true;
	call.timeout = p_order.remaining + CONNECTION_SLACK;
	// The endpoint may close a kept-alive connection while a request is sent, which leaves unknown whether the request ran. A
	// stage that cannot be repeated therefore uses a new connection.
	call.fresh_connection = !p_order.repeatable;
	call.headers = {
		{ "Content-Type", "application/json" },
		{ "Attempt", to_string(p_order.id) },
		{ "Give-Up-Ms", std::to_string(p_order.remaining.count() / 1000) },
		{ "Give-Up-Unix-Ms", std::to_string(p_order.give_up_wall) },
	};
	return call;
}

double read_units(const json &p_answer) {
	const auto found = p_answer.find("units");
	if (found == p_answer.end() || !found->is_number()) {
		return 0.0;
	}
	return found->get<double>();
}

std::string read_echo(const json &p_answer) {
	const auto found = p_answer.find("attempt");
	return found == p_answer.end() || !found->is_string() ? std::string() : found->get<std::string>();
}

} // namespace

/** Parses the lines of a token stream. */
struct endpoint_client::stream_reader {
	endpoint_client &owner;
	std::string echo;
	attempt_hooks hooks;
	std::string buffer;
	call_id call = 0;
	bool ended = false;

	void end(const attempt_end &p_end) {
		if (ended) {
			return;
		}
		ended = true;
		hooks.on_end(p_end);
	}

	/** Ends the attempt because of what the endpoint sent, and closes the connection. */
	void break_off(const attempt_end &p_end) {
		if (ended) {
			return;
		}
		owner._client.cancel(call);
		end(p_end);
	}

	void handle_line(const std::string &p_line) {
		const json line = json::parse(p_line, nullptr, false);
		if (!line.is_object()) {
			break_off(make_end(verdict::MAY_HAVE_RUN, reason::TRUNCATED));
			return;
		}
		if (read_echo(line) != echo) {
			owner._wrong_echoes++;
			break_off(make_end(verdict::MAY_HAVE_RUN, reason::WRONG_ECHO));
			return;
		}
		try {
			if (line.value("done", false)) {
				attempt_end done = make_end(verdict::COMPLETED, reason::NONE);
				done.cost_known = true;
				done.units = read_units(line);
				done.token_count = line.at("count").get<std::uint32_t>();
				done.digest = line.at("digest").get<std::string>();
				end(done);
				return;
			}
			const std::uint32_t offset = line.at("offset").get<std::uint32_t>();
			hooks.on_token(offset, line.at("token").get<std::string>());
		} catch (const json::exception &) {
			break_off(make_end(verdict::MAY_HAVE_RUN, reason::TRUNCATED));
		}
	}

	void handle_chunk(std::string_view p_chunk) {
		buffer.append(p_chunk);
		std::size_t start = 0;
		while (!ended) {
			const std::size_t end_of_line = buffer.find('\n', start);
			if (end_of_line == std::string::npos) {
				break;
			}
			handle_line(buffer.substr(start, end_of_line - start));
			start = end_of_line + 1;
		}
		buffer.erase(0, start);
		if (buffer.size() > MAX_LINE_BYTES) {
			break_off(make_end(verdict::MAY_HAVE_RUN, reason::TRUNCATED));
		}
	}

	void handle_end(const http_result &p_result) {
		const bool ended_early = p_result.failure == http_failure::NONE && p_result.status == STATUS_OK;
		end(ended_early ? make_end(verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST) : owner._judge_failure(p_result, echo));
	}
};

endpoint_client::endpoint_client(http_client &p_client) :
		_client(p_client) {
}

attempt_end endpoint_client::_end_by_wrong_echo(const http_result &p_result) {
	_wrong_echoes++;
	_client.discard_connection(p_result.call);
	return make_end(verdict::MAY_HAVE_RUN, reason::WRONG_ECHO);
}

attempt_end endpoint_client::_judge_failure(const http_result &p_result, const std::string &p_echo) {
	if (p_result.failure != http_failure::NONE) {
		return judge_lost_call(p_result.failure);
	}
	if (is_contradictory(p_result.headers, "Attempt") || is_contradictory(p_result.headers, "Not-Run")) {
		_client.discard_connection(p_result.call);
		return make_end(verdict::MAY_HAVE_RUN, reason::ENDPOINT_ERROR);
	}
	const std::string echo = p_result.find_header("Attempt");
	if (!echo.empty() && echo != p_echo) {
		return _end_by_wrong_echo(p_result);
	}
	if (echo.empty() && !p_result.is_first_on_connection) {
		// This may be a copy of an earlier answer, and the one to this attempt may follow on the connection.
		_client.discard_connection(p_result.call);
		return make_end(verdict::MAY_HAVE_RUN, reason::ENDPOINT_ERROR);
	}
	const std::optional<reason> refusal = find_refusal(p_result);
	return refusal ? make_end(verdict::NOT_RUN, *refusal) : make_end(verdict::MAY_HAVE_RUN, reason::ENDPOINT_ERROR);
}

attempt_end endpoint_client::_judge_answer(const http_result &p_result, const std::string &p_echo) {
	if (p_result.failure != http_failure::NONE || p_result.status != STATUS_OK) {
		return _judge_failure(p_result, p_echo);
	}
	const json answer = json::parse(p_result.body, nullptr, false);
	if (!p_result.has_length || !answer.is_object() || !answer.contains("output")) {
		_client.discard_connection(p_result.call);
		return make_end(verdict::MAY_HAVE_RUN, reason::TRUNCATED);
	}
	if (read_echo(answer) != p_echo) {
		return _end_by_wrong_echo(p_result);
	}
	attempt_end end = make_end(verdict::COMPLETED, reason::NONE);
	end.output = answer.at("output").dump(-1, ' ', false, json::error_handler_t::replace);
	end.cost_known = true;
	end.units = read_units(answer);
	return end;
}

call_id endpoint_client::start(const attempt_order &p_order, attempt_hooks p_hooks) {
	if (p_order.kind == stage_kind::GENERATE) {
		return _start_stream(p_order, std::move(p_hooks));
	}
	return _start_unary(p_order, std::move(p_hooks));
}

call_id endpoint_client::_start_stream(const attempt_order &p_order, attempt_hooks p_hooks) {
	http_call call = make_call(p_order);
	if (p_order.start == stream_start::RESUME) {
		call.path = "/v1/resume";
		const json body{ { "attempt", to_string(p_order.id) }, { "resume", to_string(p_order.resume_of) }, { "customer", p_order.customer }, { "offset", p_order.from_offset } };
		call.body = body.dump();
	} else {
		call.path = "/v1/generate";
		call.body = make_body(p_order).dump();
	}
	auto reader = std::make_shared<stream_reader>(stream_reader{ *this, to_string(p_order.id), std::move(p_hooks), "", 0, false });
	http_hooks hooks;
	hooks.on_chunk = [reader](std::string_view p_chunk) { reader->handle_chunk(p_chunk); };
	hooks.on_end = [reader](const http_result &p_result) { reader->handle_end(p_result); };
	reader->call = _client.start(call, std::move(hooks));
	return reader->call;
}

call_id endpoint_client::_start_unary(const attempt_order &p_order, attempt_hooks p_hooks) {
	http_call call = make_call(p_order);
	call.path = "/v1/run";
	call.body = make_body(p_order).dump();
	http_hooks hooks;
	hooks.on_end = [this, echo = to_string(p_order.id), on_end = std::move(p_hooks.on_end)](const http_result &p_result) { on_end(_judge_answer(p_result, echo)); };
	return _client.start(call, std::move(hooks));
}

void endpoint_client::cancel(call_id p_call) {
	_client.cancel(p_call);
}

void endpoint_client::settle(const network_address &p_to, const attempt_id &p_id, std::function<void(const settled_cost &)> p_hook) {
	http_call call;
	call.to = p_to;
	call.is_post = true;
	call.path = "/v1/settle";
	call.headers = { { "Content-Type", "application/json" } };
	call.body = json({ { "attempt", to_string(p_id) } }).dump();
	call.timeout = SETTLE_TIMEOUT;
	http_hooks hooks;
	hooks.on_end = [echo = to_string(p_id), hook = std::move(p_hook)](const http_result &p_result) {
		const json answer = p_result.status == STATUS_OK ? json::parse(p_result.body, nullptr, false) : json();
		settled_cost cost;
		cost.known = p_result.failure == http_failure::NONE && answer.is_object() && read_echo(answer) == echo;
		cost.units = cost.known ? read_units(answer) : 0.0;
		hook(cost);
	};
	_client.start(call, std::move(hooks));
}

void endpoint_client::fetch_load(const network_address &p_to, std::function<void(const std::optional<load_answer> &)> p_hook) {
	http_call call;
	call.to = p_to;
	call.path = "/v1/load";
	call.timeout = LOAD_TIMEOUT;
	http_hooks hooks;
	hooks.on_end = [hook = std::move(p_hook)](const http_result &p_result) {
		const json answer = p_result.status == STATUS_OK ? json::parse(p_result.body, nullptr, false) : json();
		if (p_result.failure != http_failure::NONE || !answer.is_object()) {
			hook(std::nullopt);
			return;
		}
		try {
			load_answer load;
			load.running = answer.at("running").get<double>();
			load.queued = answer.at("queued").get<double>();
			load.age = std::chrono::milliseconds(answer.value("age_ms", 0));
			load.leaving = answer.value("leaving", false);
			hook(load);
		} catch (const json::exception &) {
			hook(std::nullopt);
		}
	};
	_client.start(call, std::move(hooks));
}

} // namespace calicoscale
