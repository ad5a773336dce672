/*
 * calicoscale: stream_sync.cpp
 * Stores the records of streams at several nodes, and retrieves them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/stream_sync.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Maximum number of records that wait for the link to one node. */
constexpr std::size_t MAX_UNSENT_RECORDS = 256;
/** Maximum number of nodes that are asked for one record at a time. */
constexpr std::size_t MAX_ASKED_NODES = 32;

} // namespace

stream_sync::stream_sync(gateway_context &p_context, gateway_fleet &p_fleet) :
		_context(p_context), _fleet(p_fleet) {
	node_link &link = _fleet.get_link();
	link.link_up().connect([this](const std::string &p_vm) { _on_link_up(p_vm); });
	link.streams_reported().connect([this](const std::string &, const report_streams_message &p_message) { _on_reported(p_message); });
	link.stream_requested().connect([this](const std::string &p_vm, const request_stream_message &p_message) { _on_requested(p_vm, p_message); });
	link.stream_answered().connect([this](const std::string &p_vm, const stream_answer_message &p_message) { _answered.emit(p_vm, p_message); });
}

std::vector<record_node> stream_sync::_get_nodes() const {
	std::vector<record_node> nodes;
	if (_fleet.is_hub()) {
		nodes.push_back(record_node{ _fleet.get_vm(), _context.settings.zone });
	}
	for (const auto &[vm, entry] : _fleet.get_members()) {
		const bool is_failed = entry.state == member_state::GONE || (_fleet.get_link().is_linked(vm) && !_fleet.is_responsive(vm));
		if (entry.digest.hub && !entry.digest.leaving && !is_failed) {
			nodes.push_back(record_node{ vm, entry.digest.zone });
		}
	}
	return nodes;
}

std::size_t stream_sync::publish(const stream_record &p_record) {
	_table.take(p_record, event_loop::now());
	const std::vector<std::string> holders = choose_holders(p_record.key, _get_nodes(), _context.settings.zone);
	std::size_t nodes = 1;
	for (const std::string &vm : holders) {
		if (vm == _fleet.get_vm()) {
			continue;
		}
		nodes++;
		if (_fleet.get_link().is_linked(vm)) {
			_send(vm, { p_record });
		} else {
			_send_once_linked(vm, p_record);
		}
	}
	_context.metrics.count("stream_records_sent", static_cast<double>(nodes - 1));
	return nodes;
}

void stream_sync::_send(const std::string &p_vm, const std::vector<stream_record> &p_records) {
	const instant now = event_loop::now();
	report_streams_message message;
	message.streams.reserve(p_records.size());
	for (const stream_record &record : p_records) {
		message.streams.push_back(reported_stream{ record.key, record.customer, record.origin, record.expires_at - now });
	}
	_fleet.get_link().send(p_vm, message);
}

void stream_sync::_send_once_linked(const std::string &p_vm, const stream_record &p_record) {
	std::vector<stream_record> &unsent = _unsent[p_vm];
	if (unsent.size() >= MAX_UNSENT_RECORDS) {
		_context.metrics.count("stream_records_not_sent");
		return;
	}
	unsent.push_back(p_record);
	_fleet.keep_link(p_vm);
}

void stream_sync::_on_link_up(const std::string &p_vm) {
	const auto unsent = _unsent.find(p_vm);
	if (unsent != _unsent.end()) {
		_send(p_vm, unsent->second);
		_unsent.erase(unsent);
	}
}

void stream_sync::_on_reported(const report_streams_message &p_message) {
	const instant now = event_loop::now();
	for (const reported_stream &stream : p_message.streams) {
		_table.take(stream_record{ stream.key, stream.customer, stream.origin, now + stream.left }, now);
	}
}

void stream_sync::_on_requested(const std::string &p_vm, const request_stream_message &p_message) {
	const instant now = event_loop::now();
	stream_answer_message answer;
	answer.id = p_message.id;
	if (const stream_record *record = _table.find(p_message.key, now)) {
		answer.record = reported_stream{ record->key, record->customer, record->origin, record->expires_at - now };
	}
	_fleet.get_link().send(p_vm, answer);
}

std::vector<std::string> stream_sync::get_sources(const stream_key &p_key, lookup_round p_round) const {
	std::vector<std::string> sources = choose_sources(p_key, _get_nodes(), _context.settings.zone);
	std::erase(sources, _fleet.get_vm());
	const std::size_t first = std::min(sources.size(), FIRST_SOURCE_COUNT);
	switch (p_round) {
		case lookup_round::FIRST_SOURCES:
			sources.resize(first);
			break;
		case lookup_round::ALL_SOURCES:
			sources.erase(sources.begin(), sources.begin() + static_cast<std::ptrdiff_t>(first));
			break;
		case lookup_round::ALL_REACHABLE:
			for (const std::string &vm : _fleet.get_link().get_linked()) {
				const bool is_included = std::find(sources.begin(), sources.end(), vm) != sources.end();
				if (sources.size() < MAX_ASKED_NODES && !is_included && _fleet.is_responsive(vm)) {
					sources.push_back(vm);
				}
			}
			break;
	}
	return sources;
}

bool stream_sync::request(const std::string &p_vm, const request_stream_message &p_message) {
	if (_fleet.get_link().send(p_vm, p_message)) {
		return true;
	}
	_fleet.keep_link(p_vm);
	return false;
}

void stream_sync::tick() {
	const instant now = event_loop::now();
	_table.expire(now);
	for (auto unsent = _unsent.begin(); unsent != _unsent.end();) {
		std::erase_if(unsent->second, [now](const stream_record &p_record) { return p_record.expires_at <= now; });
		unsent = unsent->second.empty() ? _unsent.erase(unsent) : std::next(unsent);
	}
}

void stream_sync::report() {
	_context.metrics.set_gauge("stream_records", static_cast<double>(_table.get_size()));
	_context.metrics.set_gauge("stream_records_dropped", static_cast<double>(_table.get_dropped()));
}

} // namespace calicoscale
