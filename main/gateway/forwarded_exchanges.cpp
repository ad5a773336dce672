/*
 * calicoscale: forwarded_exchanges.cpp
 * Exchanges of this node that other nodes carry out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/forwarded_exchanges.h"

#include "servers/reach/forwarding_capacity.h"

#include <vector>

namespace calicoscale {

namespace {

/** Bytes after which they are confirmed, so that the other node never waits for a confirmation on a path without delay. */
constexpr std::uint32_t CONFIRMED_BYTES = forwarding_capacity::WINDOW_BYTES / 4;
/** First ids are below 2 to the power of 62, far from the bit by which forwarded exchanges are distinguished from direct ones. */
constexpr unsigned UNUSED_ID_BITS = 2;

/**
 * Returns how an exchange ended according to a message of its peer. Only the first message can report that nothing was sent, and an
 * answer is complete only if it has begun.
 */
forwarding_end find_forwarding_end(const exchange_progress_message &p_message, const forwarded_answer &p_answer) {
	if (p_message.end == forwarding_end::COMPLETE && !p_answer.has_head()) {
		return forwarding_end::BROKEN;
	}
	const bool says_not_sent = p_message.end == forwarding_end::CONNECT_FAILED || p_message.end == forwarding_end::DECLINED;
	const bool is_first = p_message.number == 0 && !p_message.head && p_message.body.empty();
	return says_not_sent && !is_first ? forwarding_end::BROKEN : p_message.end;
}

channel_end get_channel_end(forwarding_end p_end) {
	switch (p_end) {
		case forwarding_end::COMPLETE:
			return channel_end::COMPLETE;
		case forwarding_end::CONNECT_FAILED:
		case forwarding_end::DECLINED:
			return channel_end::CONNECT_FAILED;
		case forwarding_end::MALFORMED:
			return channel_end::MALFORMED;
		default:
			return channel_end::BROKEN;
	}
}

} // namespace

forwarded_exchanges::forwarded_exchanges(gateway_context &p_context, gateway_fleet &p_fleet, std::function<void(const std::string &, forwarding_end)> p_on_ended) :
		_context(p_context), _fleet(p_fleet), _on_ended(std::move(p_on_ended)), _next_id(p_context.random.get_bits() >> UNUSED_ID_BITS) {
	_fleet.get_link().exchange_progressed().connect([this](const std::string &p_vm, const exchange_progress_message &p_message) { _on_progress(p_vm, p_message); });
	_fleet.get_link().link_down().connect([this](const std::string &p_vm) { _on_peer_lost(p_vm); });
	_fleet.get_link().peer_replaced().connect([this](const std::string &p_vm) { _on_peer_lost(p_vm); });
	_fleet.peer_failed().connect([this](const std::string &p_vm) { _on_peer_lost(p_vm); });
}

exchange_id forwarded_exchanges::start(const std::string &p_peer, channel_request p_request, channel_hooks p_hooks) {
	const exchange_id id = _next_id++;
	_context.log.write_request(log_line("exchange_forwarded").add("request", p_request.echo_value).add("exchange", static_cast<long long>(id)).add("to", p_peer).add("service", p_request.service).add("endpoint", p_request.endpoint.vm).add("bytes", static_cast<long long>(p_request.bytes.size())));
	_context.metrics.count("exchanges_forwarded");
	_open.emplace(id, exchange{ p_peer, std::move(p_hooks), forwarded_answer(p_request) });
	if (!_fleet.get_link().send(p_peer, open_exchange_message{ id, std::move(p_request) })) {
		_context.loop.post([this, id] { _end(id, forwarding_end::DECLINED); });
	}
	return id;
}

exchange_id forwarded_exchanges::decline(channel_hooks p_hooks) {
	const exchange_id id = _next_id++;
	_open.emplace(id, exchange{ "", std::move(p_hooks), forwarded_answer(channel_request()) });
	_context.loop.post([this, id] { _end(id, forwarding_end::DECLINED); });
	return id;
}

void forwarded_exchanges::_end(exchange_id p_id, forwarding_end p_end) {
	const auto found = _open.find(p_id);
	if (found == _open.end()) {
		return;
	}
	const exchange ended = std::move(found->second);
	_open.erase(found);
	_context.log.write_request(log_line("forwarding_ended").add("exchange", static_cast<long long>(p_id)).add("to", ended.peer).add("end", get_name(p_end)));
	_on_ended(ended.peer, p_end);
	ended.hooks.on_end(get_channel_end(p_end));
}

void forwarded_exchanges::_reject(exchange_id p_id, forwarding_end p_end) {
	_fleet.get_link().send(_open.at(p_id).peer, control_exchange_message{ p_id, 0, true });
	_end(p_id, p_end);
}

void forwarded_exchanges::_on_progress(const std::string &p_vm, const exchange_progress_message &p_message) {
	const auto found = _open.find(p_message.id);
	if (found == _open.end() || found->second.peer != p_vm) {
		return;
	}
	if (p_message.number != found->second.next_number) {
		_reject(p_message.id, forwarding_end::BROKEN);
		return;
	}
	found->second.next_number++;
	if (p_message.head) {
		_pass_head(p_message.id, *p_message.head);
	}
	if (!p_message.body.empty()) {
		_pass_body(p_message.id, p_message.body);
	}
	const auto remaining = _open.find(p_message.id);
	if (remaining != _open.end() && p_message.end != forwarding_end::NONE) {
		_end(p_message.id, find_forwarding_end(p_message, remaining->second.answer));
	}
}

void forwarded_exchanges::_pass_head(exchange_id p_id, const http_head &p_head) {
	const auto found = _open.find(p_id);
	if (found == _open.end()) {
		return;
	}
	if (!found->second.answer.take_head(p_head)) {
		_reject(p_id, forwarding_end::MALFORMED);
		return;
	}
	if (!found->second.hooks.on_head) {
		return;
	}
	// Copied, as it may cancel the exchange.
	const std::function<void(const http_head &)> hook = found->second.hooks.on_head;
	hook(p_head);
}

void forwarded_exchanges::_pass_body(exchange_id p_id, const std::string &p_bytes) {
	const auto found = _open.find(p_id);
	if (found == _open.end()) {
		return;
	}
	if (!found->second.answer.may_have_body()) {
		_reject(p_id, forwarding_end::MALFORMED);
		return;
	}
	found->second.unconfirmed += static_cast<std::uint32_t>(p_bytes.size());
	// Copied, as it may cancel the exchange.
	const std::function<void(std::string_view)> hook = found->second.hooks.on_body;
	if (hook) {
		hook(p_bytes);
	}
	const auto processed = _open.find(p_id);
	if (processed != _open.end()) {
		_confirm(p_id, processed->second);
	}
}

void forwarded_exchanges::_confirm(exchange_id p_id, exchange &r_exchange) {
	if (r_exchange.is_paused || r_exchange.unconfirmed < CONFIRMED_BYTES) {
		return;
	}
	_fleet.get_link().send(r_exchange.peer, control_exchange_message{ p_id, r_exchange.unconfirmed, false });
	r_exchange.unconfirmed = 0;
}

void forwarded_exchanges::cancel(exchange_id p_id) {
	const auto found = _open.find(p_id);
	if (found == _open.end()) {
		return;
	}
	const std::string peer = found->second.peer;
	_open.erase(found);
	_fleet.get_link().send(peer, control_exchange_message{ p_id, 0, true });
	_on_ended(peer, forwarding_end::NONE);
}

void forwarded_exchanges::set_reading(exchange_id p_id, bool p_reads) {
	const auto found = _open.find(p_id);
	if (found != _open.end()) {
		found->second.is_paused = !p_reads;
		_confirm(p_id, found->second);
	}
}

void forwarded_exchanges::_on_peer_lost(const std::string &p_vm) {
	std::vector<exchange_id> lost;
	for (const auto &[id, entry] : _open) {
		if (entry.peer == p_vm) {
			lost.push_back(id);
		}
	}
	for (const exchange_id id : lost) {
		_end(id, forwarding_end::BROKEN);
	}
}

} // namespace calicoscale
