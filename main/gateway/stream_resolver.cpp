/*
 * calicoscale: stream_resolver.cpp
 * Finds out which version began a stream that a caller resumes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/stream_resolver.h"

#include <algorithm>
#include <vector>

namespace calicoscale {

namespace {

constexpr duration CHECK_INTERVAL = std::chrono::milliseconds(10);
/** Time for nodes to answer, several round trips between zones. */
constexpr duration MAX_LOOKUP_TIME = std::chrono::milliseconds(400);
/** Part of the caller's remaining time that a lookup may take. */
constexpr int LOOKUP_TIME_DIVISOR = 8;
/** Reads of the store are coalesced and spread over up to a second in a large fleet. */
constexpr duration MAX_STORE_WAIT = std::chrono::milliseconds(1500);
/** Part of the caller's remaining time that the wait may take. */
constexpr int STORE_WAIT_DIVISOR = 2;

duration get_remaining(const admitted_request &p_request) {
	return p_request.facts.remaining.value_or(p_request.route->timeout);
}

} // namespace

stream_resolver::stream_resolver(gateway_context &p_context, stream_sync &p_streams, origin_sync &p_origins) :
		_context(p_context), _streams(p_streams), _origins(p_origins), _check_timer(p_context.loop, [this] { _check_all(); }) {
	_streams.answered().connect([this](const std::string &p_vm, const stream_answer_message &p_message) { _on_answered(p_vm, p_message); });
}

bool stream_resolver::is_resumption(const admitted_request &p_request) {
	const bool is_stream = p_request.route->repeats == repeat_rule::STREAM;
	return is_stream && (p_request.facts.has_event_id || !p_request.facts.resumed_attempt.empty());
}

void stream_resolver::resolve(const admitted_request &p_request, resolution_hook p_on_resolved) {
	const instant now = event_loop::now();
	const std::string &attempt = p_request.facts.resumed_attempt;
	const std::string customer = p_request.customer == nullptr ? std::string() : p_request.customer->name;
	// Without the attempt that began the stream there is no record to find, but the store may know the only version of the service.
	const stream_key key = make_stream_key(customer, attempt.empty() ? p_request.facts.attempt : attempt);
	if (const stream_record *record = attempt.empty() ? nullptr : _streams.find(key)) {
		p_on_resolved(stream_resolution{ record->origin, lookup_state::FOUND, "this_node", duration::zero() });
		return;
	}
	if (_open.size() >= MAX_LOOKUPS) {
		p_on_resolved(stream_resolution{ std::nullopt, lookup_state::UNANSWERED, "", duration::zero() });
		return;
	}
	const duration remaining = get_remaining(p_request);
	const std::vector<service_share> &services = p_request.route->services;
	const std::uint64_t id = _next_id++;
	open_lookup made{ key, services.size() == 1 ? services.front().service : std::string(), now, now + std::min<duration>(MAX_STORE_WAIT, remaining / STORE_WAIT_DIVISOR), stream_lookup(now, now + std::min<duration>(MAX_LOOKUP_TIME, remaining / LOOKUP_TIME_DIVISOR)), std::move(p_on_resolved) };
	open_lookup &open = _open.emplace(id, std::move(made)).first->second;
	_ask(id, open, lookup_round::FIRST_SOURCES);
	_check_timer.set(CHECK_INTERVAL);
}

void stream_resolver::_ask(std::uint64_t p_id, open_lookup &r_lookup, lookup_round p_round) {
	const std::vector<std::string> nodes = _streams.get_sources(r_lookup.key, p_round);
	r_lookup.lookup.on_asked(nodes);
	const request_stream_message message{ p_id, r_lookup.key };
	for (const std::string &vm : nodes) {
		if (!_streams.request(vm, message)) {
			r_lookup.lookup.on_lost(vm);
		}
	}
	_context.metrics.count("stream_requests_sent", static_cast<double>(nodes.size()));
}

void stream_resolver::_on_answered(const std::string &p_vm, const stream_answer_message &p_message) {
	const auto found = _open.find(p_message.id);
	if (found == _open.end()) {
		return;
	}
	lookup_answer answer;
	// The number alone may belong to a lookup of an earlier process.
	if (p_message.record && p_message.record->key == found->second.key) {
		answer.origin = p_message.record->origin;
	}
	found->second.lookup.on_answer(p_vm, answer);
	_check(p_message.id);
}

void stream_resolver::_check(std::uint64_t p_id) {
	const auto found = _open.find(p_id);
	if (found == _open.end()) {
		return;
	}
	open_lookup &open = found->second;
	if (const std::optional<lookup_round> next = open.lookup.take_round(event_loop::now())) {
		_ask(p_id, open, *next);
	}
	const std::optional<stream_resolution> resolution = _conclude(open);
	if (resolution) {
		const resolution_hook on_resolved = std::move(open.on_resolved);
		_open.erase(found);
		on_resolved(*resolution);
	}
}

void stream_resolver::_check_all() {
	std::vector<std::uint64_t> ids;
	ids.reserve(_open.size());
	for (const auto &[id, open] : _open) {
		ids.push_back(id);
	}
	for (const std::uint64_t id : ids) {
		_check(id);
	}
	if (!_open.empty()) {
		_check_timer.set(CHECK_INTERVAL);
	}
}

std::optional<stream_resolution> stream_resolver::_conclude(const open_lookup &p_lookup) {
	const instant now = event_loop::now();
	const duration took = now - p_lookup.started_at;
	const lookup_state state = p_lookup.lookup.get_state(now);
	if (const stream_record *record = _streams.find(p_lookup.key)) {
		return stream_resolution{ record->origin, lookup_state::FOUND, "this_node", took };
	}
	if (state == lookup_state::FOUND) {
		return stream_resolution{ p_lookup.lookup.get_origin(), state, p_lookup.lookup.get_source(), took };
	}
	return state == lookup_state::OPEN ? std::nullopt : _conclude_without_record(p_lookup, now);
}

std::optional<stream_resolution> stream_resolver::_conclude_without_record(const open_lookup &p_lookup, instant p_now) {
	const duration took = p_now - p_lookup.started_at;
	if (p_lookup.service.empty()) {
		return stream_resolution{ std::nullopt, p_lookup.lookup.get_state(p_now), "", took };
	}
	// The stream began before its caller resumed it, so only a later read shows all versions that can have begun it.
	if (!_origins.is_read_since(p_lookup.started_at)) {
		_origins.request_read(p_lookup.started_at);
		return p_now < p_lookup.store_deadline ? std::nullopt : std::optional(stream_resolution{ std::nullopt, lookup_state::UNANSWERED, "", took });
	}
	const std::optional<std::string> only = _origins.find_only(p_lookup.service);
	const lookup_state state = p_lookup.lookup.get_state(p_now);
	return only ? stream_resolution{ stream_origin{ p_lookup.service, *only }, state, "only_version", took } : stream_resolution{ std::nullopt, state, "", took };
}

} // namespace calicoscale
