/*
 * calicoscale: resume_service.cpp
 * Resumes a stream on another entry node after the first one has failed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/resume_service.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t CODE_LENGTH = 64;

std::optional<attempt_id> parse_attempt(const std::string &p_text) {
	const std::size_t first = p_text.find('.');
	const std::size_t second = first == std::string::npos ? first : p_text.find('.', first + 1);
	if (second == std::string::npos) {
		return std::nullopt;
	}
	const std::optional<request_id> request = parse_request_id(p_text.substr(0, first));
	if (!request) {
		return std::nullopt;
	}
	attempt_id id;
	id.request = *request;
	id.stage = static_cast<std::uint32_t>(std::stoul(p_text.substr(first + 1, second - first - 1)));
	id.attempt = static_cast<std::uint32_t>(std::stoul(p_text.substr(second + 1)));
	return id;
}

} // namespace

resume_service::resume_service(node_context &p_context, router &p_router, request_service &p_requests) :
		_context(p_context), _router(p_router), _requests(p_requests) {
}

std::string resume_service::_make_code(const std::string &p_text) const {
	return hmac_hex(_context.settings.fleet_key, "resume\n" + p_text);
}

std::string resume_service::write_token(const resume_ticket &p_ticket) const {
	json text;
	text["customer"] = p_ticket.customer;
	text["pipeline"] = p_ticket.pipeline;
	text["vm"] = p_ticket.point.vm;
	text["stream"] = to_string(p_ticket.point.stream);
	text["stage"] = p_ticket.point.stage;
	text["pool"] = p_ticket.point.pool;
	text["expires_at"] = p_ticket.expires_at;
	const std::string body = text.dump();
	return _make_code(body) + body;
}

std::optional<resume_ticket> resume_service::read_token(const std::string &p_token, const std::string &p_customer) const {
	if (p_token.size() <= CODE_LENGTH) {
		return std::nullopt;
	}
	const std::string body = p_token.substr(CODE_LENGTH);
	if (!equal_in_constant_time(p_token.substr(0, CODE_LENGTH), _make_code(body))) {
		return std::nullopt;
	}
	const json text = json::parse(body, nullptr, false);
	if (!text.is_object()) {
		return std::nullopt;
	}
	resume_ticket ticket;
	ticket.customer = text.at("customer").get<std::string>();
	ticket.pipeline = text.at("pipeline").get<std::string>();
	ticket.point.vm = text.at("vm").get<std::string>();
	ticket.point.stage = text.at("stage").get<std::string>();
	ticket.point.pool = text.at("pool").get<std::string>();
	ticket.expires_at = text.at("expires_at").get<unix_milliseconds>();
	const std::optional<attempt_id> stream = parse_attempt(text.at("stream").get<std::string>());
	if (!stream || ticket.customer != p_customer || event_loop::wall() >= ticket.expires_at) {
		return std::nullopt;
	}
	ticket.point.stream = *stream;
	return ticket;
}

std::function<void()> resume_service::begin(const resume_ticket &p_ticket, std::uint32_t p_next, duration p_within, const resume_hooks &p_hooks) {
	const endpoint_state *endpoint = _router.find_vm(p_ticket.point.vm);
	if (endpoint == nullptr) {
		return nullptr;
	}
	attempt_order order;
	order.id = attempt_id{ _requests.make_id(), p_ticket.point.stream.stage, 0 };
	order.to = endpoint->listing.address;
	order.kind = stage_kind::GENERATE;
	order.customer = p_ticket.customer;
	order.pipeline = p_ticket.pipeline;
	order.stage = p_ticket.point.stage;
	order.remaining = p_within;
	order.start = stream_start::RESUME;
	order.resume_of = p_ticket.point.stream;
	order.from_offset = p_next;
	cost_key key{ p_ticket.customer, p_ticket.pipeline, p_ticket.point.stage, p_ticket.point.pool, cost_use::USEFUL };
	const std::shared_ptr<std::uint32_t> next = std::make_shared<std::uint32_t>(p_next);
	attempt_hooks hooks;
	hooks.on_token = [p_hooks, next](std::uint32_t p_offset, const std::string &p_token) {
		// Any other token than the next one is a repeat or follows a gap; the digest at the end lets the caller detect a gap.
		if (p_offset == *next) {
			(*next)++;
			p_hooks.on_token(p_offset, p_token);
		}
	};
	hooks.on_end = [this, p_hooks, key, next](const attempt_end &p_end) {
		attempt_end end = p_end;
		if (end.result.what == verdict::COMPLETED && end.token_count != *next) {
			end.result = outcome{ verdict::MAY_HAVE_RUN, reason::TRUNCATED };
		}
		if (end.cost_known) {
			_requests.book(key, end.units);
		}
		p_hooks.on_end(end);
	};
	_context.timeline.add(event_kind::ATTEMPT_STARTED, to_string(p_ticket.point.stream.request), p_ticket.point.vm, "resumed at " + std::to_string(p_next));
	const call_id call = _context.endpoints.start(order, std::move(hooks));
	const network_address address = order.to;
	const attempt_id stream = p_ticket.point.stream;
	key.use = cost_use::CANCELLED;
	return [this, call, address, stream, key] {
		_context.endpoints.cancel(call);
		_requests.settle(address, stream, key);
	};
}

} // namespace calicoscale
