/*
 * calicoscale: exchange_forwarder.cpp
 * Carries out exchanges with endpoints for nodes that cannot connect to them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/exchange_forwarder.h"

#include "drivers/http_status.h"

#include <algorithm>
#include <vector>

namespace calicoscale {

namespace {

forwarding_end get_forwarding_end(channel_end p_end) {
	switch (p_end) {
		case channel_end::COMPLETE:
			return forwarding_end::COMPLETE;
		case channel_end::CONNECT_FAILED:
			return forwarding_end::CONNECT_FAILED;
		case channel_end::MALFORMED:
			return forwarding_end::MALFORMED;
		default:
			return forwarding_end::BROKEN;
	}
}

} // namespace

exchange_forwarder::exchange_forwarder(gateway_context &p_context, gateway_fleet &p_fleet, starter p_start, std::function<bool(const channel_request &)> p_reaches) :
		_context(p_context),
		_fleet(p_fleet),
		_start(std::move(p_start)),
		_reaches(std::move(p_reaches)),
		_capacity(p_context.settings.memory_bytes),
		_end_probe(p_context.loop, p_context.channels.get_path_faults()) {
	node_link &link = _fleet.get_link();
	link.exchange_opened().connect([this](const std::string &p_vm, const open_exchange_message &p_message) { _on_opened(p_vm, p_message); });
	link.exchange_controlled().connect([this](const std::string &p_vm, const control_exchange_message &p_message) { _on_controlled(p_vm, p_message); });
	link.link_down().connect([this](const std::string &p_vm) { _on_owner_lost(p_vm); });
	link.peer_replaced().connect([this](const std::string &p_vm) { _on_owner_lost(p_vm); });
}

void exchange_forwarder::tick(duration p_interval) {
	const instant now = event_loop::now();
	_capacity.set_lateness(_ticked_at == instant{} ? duration::zero() : std::max(duration::zero(), now - _ticked_at - p_interval));
	_ticked_at = now;
}

void exchange_forwarder::_reject(const std::string &p_vm, const open_exchange_message &p_message, forwarding_end p_end) {
	_context.metrics.count("forwarded_exchanges_rejected");
	_context.log.write_request(log_line("forwarding_rejected").add("request", p_message.request.echo_value).add("from", p_vm).add("service", p_message.request.service).add("endpoint", p_message.request.endpoint.vm).add("end", get_name(p_end)).add("open", static_cast<long long>(_open.size())));
	exchange_progress_message rejected;
	rejected.id = p_message.id;
	rejected.end = p_end;
	_fleet.get_link().send(p_vm, rejected);
}

void exchange_forwarder::_on_opened(const std::string &p_vm, const open_exchange_message &p_message) {
	const key opened{ p_vm, p_message.id };
	const std::size_t bytes = p_message.request.bytes.size();
	if (!_reaches(p_message.request)) {
		_reject(p_vm, p_message, forwarding_end::CONNECT_FAILED);
		return;
	}
	if (_is_stopping || _open.contains(opened) || !_capacity.try_reserve(bytes)) {
		_reject(p_vm, p_message, forwarding_end::DECLINED);
		return;
	}
	exchange &made = _open[opened];
	made.request_bytes = bytes;
	made.endpoint = p_message.request.to;
	_context.metrics.count("exchanges_carried_out_for_peers");
	channel_request request = p_message.request;
	channel_hooks hooks;
	hooks.on_head = [this, opened](const http_head &p_head) { _on_head(opened, p_head); };
	hooks.on_body = [this, opened](std::string_view p_bytes) { _on_body(opened, p_bytes); };
	hooks.on_end = [this, opened](channel_end p_end) { _on_end(opened, p_end); };
	if (request.echo_header.empty()) {
		// Copies of answers without ids cannot be recognized here, so the connection carries this exchange only.
		request.use_kept = false;
		hooks.get_answer_digest = [] { return std::optional<std::uint64_t>(); };
	}
	made.id = _start(std::move(request), std::move(hooks));
}

void exchange_forwarder::_on_controlled(const std::string &p_vm, const control_exchange_message &p_message) {
	const auto found = _open.find(key{ p_vm, p_message.id });
	if (found == _open.end()) {
		return;
	}
	if (p_message.is_cancelled) {
		_cancel(found->first);
		return;
	}
	exchange &target = found->second;
	target.unconfirmed -= std::min<std::size_t>(target.unconfirmed, p_message.confirmed_bytes);
	if (target.unconfirmed < forwarding_capacity::WINDOW_BYTES) {
		_context.channels.set_reading(target.id, true);
	}
}

void exchange_forwarder::_send(const key &p_key, exchange_progress_message p_message) {
	const auto found = _open.find(p_key);
	if (found == _open.end()) {
		return;
	}
	p_message.id = p_key.second;
	p_message.number = found->second.next_number++;
	if (!_fleet.get_link().send(p_key.first, p_message)) {
		_cancel(key(p_key));
	}
}

void exchange_forwarder::_on_head(const key &p_key, const http_head &p_head) {
	const auto found = _open.find(p_key);
	if (found != _open.end()) {
		found->second.is_unframed = !p_head.has_length() && http_status::is_success(p_head.status);
	}
	exchange_progress_message message;
	message.head = p_head;
	_send(p_key, std::move(message));
}

void exchange_forwarder::_on_body(const key &p_key, std::string_view p_bytes) {
	const auto found = _open.find(p_key);
	if (found == _open.end()) {
		return;
	}
	found->second.unconfirmed += p_bytes.size();
	if (found->second.unconfirmed >= forwarding_capacity::WINDOW_BYTES) {
		_context.channels.set_reading(found->second.id, false);
	}
	exchange_progress_message message;
	message.body = std::string(p_bytes);
	_send(p_key, std::move(message));
}

void exchange_forwarder::_on_end(const key &p_key, channel_end p_end) {
	const auto found = _open.find(p_key);
	if (found == _open.end()) {
		return;
	}
	if (p_end != channel_end::COMPLETE || !found->second.is_unframed) {
		_finish(p_key, get_forwarding_end(p_end));
		return;
	}
	// A crash also closes connections in an orderly way, but nothing listens at the address afterwards.
	_end_probe.start(found->second.endpoint, [this, p_key, id = found->second.id](probe_end p_found) {
		const auto ended = _open.find(p_key);
		if (ended != _open.end() && ended->second.id == id) {
			_finish(p_key, p_found == probe_end::ACCEPTED ? forwarding_end::COMPLETE : forwarding_end::BROKEN);
		}
	});
}

void exchange_forwarder::_finish(const key &p_key, forwarding_end p_end) {
	exchange_progress_message message;
	message.end = p_end;
	_send(p_key, std::move(message));
	const auto found = _open.find(p_key);
	if (found != _open.end()) {
		_capacity.release(found->second.request_bytes);
		_open.erase(found);
	}
}

void exchange_forwarder::_cancel(const key &p_key) {
	const auto found = _open.find(p_key);
	_context.channels.cancel(found->second.id);
	_capacity.release(found->second.request_bytes);
	_open.erase(found);
}

void exchange_forwarder::_on_owner_lost(const std::string &p_vm) {
	std::vector<key> lost;
	for (const auto &[opened, entry] : _open) {
		if (opened.first == p_vm) {
			lost.push_back(opened);
		}
	}
	for (const key &opened : lost) {
		_cancel(opened);
	}
}

} // namespace calicoscale
