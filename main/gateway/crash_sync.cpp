/*
 * calicoscale: crash_sync.cpp
 * Shares records of requests that crash endpoints with other nodes and with the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/crash_sync.h"

#include "servers/gateway/crash_archive.h"

namespace calicoscale {

namespace {

/** Maximum number of records in a message. At 40 bytes each, five messages a second take 28 KB/s, and only while endpoints crash. */
constexpr std::size_t MAX_RECORDS = 140;
/** Maximum number of records sent to a newly linked node, 20 KB. */
constexpr std::size_t MAX_SNAPSHOT_RECORDS = 500;
/** Time left for the peers of a node that starts alone to send the records over its first link. */
constexpr duration MIN_FIRST_READ_DELAY = std::chrono::milliseconds(200);
/** When a whole fleet starts, reads are spread over this time and the first nodes to read send the records to the others. */
constexpr duration FIRST_READ_SPREAD = std::chrono::milliseconds(400);
constexpr duration READ_RETRY = std::chrono::seconds(2);
/** Limits a node to five writes a second. One write carries all records of a request. */
constexpr duration WRITE_PAUSE = std::chrono::milliseconds(200);
constexpr duration WRITE_RETRY = std::chrono::seconds(2);
constexpr std::size_t MAX_PENDING_WRITES = 256;
/** Maximum number of expired records that a node removes from the store after a read. */
constexpr std::size_t MAX_DROPPED_RECORDS = 4;

moment get_moment() {
	return moment{ event_loop::now(), event_loop::wall() };
}

update_batch<crash_record> make_digest(const crash_memory &p_memory) {
	// Many requests are interrupted once. Records of requests that are interrupted repeatedly, and the outcomes of trials, matter
	// most to other nodes.
	return update_batch<crash_record>(MAX_RECORDS, [&p_memory](const crash_record &p_record) {
		const bool is_crash = p_record.news == crash_event::CRASHED_ENDPOINT;
		return is_crash ? static_cast<double>(p_memory.count_crashes(p_record.run)) : static_cast<double>(crash_memory::CRASHES_TO_TRY);
	});
}

} // namespace

crash_sync::crash_sync(gateway_context &p_context, gateway_fleet &p_fleet, crash_memory &p_memory, std::function<void(const crash_record &, std::string_view)> p_on_event) :
		_context(p_context),
		_fleet(p_fleet),
		_memory(p_memory),
		_on_event(std::move(p_on_event)),
		_relay(p_context.loop, p_fleet, make_digest(p_memory), [this](const std::string &p_vm, const std::vector<crash_record> &p_records) { _send(p_vm, p_records, false); }),
		_read_timer(p_context.loop, [this] { _read(); }),
		_write_timer(p_context.loop, [this] { _write_next(); }) {
	_fleet.get_link().link_up().connect([this](const std::string &p_vm) { _on_link_up(p_vm); });
	_fleet.get_link().crashes_reported().connect([this](const std::string &p_vm, const report_crashes_message &p_message) { _on_reported(p_vm, p_message); });
}

void crash_sync::start() {
	const bool has_peers = !_context.settings.peers.empty();
	_read_timer.set(has_peers ? MIN_FIRST_READ_DELAY + from_seconds(_context.random.get_unit() * to_seconds(FIRST_READ_SPREAD)) : duration::zero());
}

void crash_sync::publish(const crash_record &p_record) {
	const std::size_t crashes_before = _memory.count_crashes(p_record.run);
	if (!_memory.take(p_record, event_loop::now())) {
		return;
	}
	_on_event(p_record, "this node");
	_relay.add_own(p_record);
	_relay.send_soon();
	const bool is_persistent = std::max(crashes_before, _memory.count_crashes(p_record.run)) >= crash_memory::get_crashes_to_try(p_record.run);
	if (is_persistent && _to_write.size() < MAX_PENDING_WRITES && _to_write.insert(p_record.run).second && !_is_write_open) {
		_write_timer.set(WRITE_PAUSE);
	}
}

void crash_sync::write_again() {
	const std::vector<std::string> nodes = _fleet.get_dispatch_nodes();
	if (!nodes.empty() && nodes.front() != _fleet.get_vm()) {
		return;
	}
	for (const crash_record &record : _memory.get_records(MAX_SNAPSHOT_RECORDS)) {
		const bool is_persistent = _memory.count_crashes(record.run) >= crash_memory::get_crashes_to_try(record.run);
		if (is_persistent && _to_write.size() < MAX_PENDING_WRITES) {
			_to_write.insert(record.run);
		}
	}
	if (!_to_write.empty() && !_is_write_open) {
		_write_timer.set(WRITE_PAUSE);
	}
}

void crash_sync::_on_link_up(const std::string &p_vm) {
	_send(p_vm, _memory.get_records(MAX_SNAPSHOT_RECORDS), _knows_store);
}

void crash_sync::_send(const std::string &p_vm, const std::vector<crash_record> &p_records, bool p_is_whole) {
	const instant now = event_loop::now();
	report_crashes_message message;
	message.is_whole = p_is_whole;
	message.news.reserve(p_records.size());
	for (const crash_record &record : p_records) {
		message.news.push_back(reported_crash{ record.news, record.run, record.subject, now - record.at });
	}
	_fleet.get_link().send(p_vm, message);
	_context.metrics.count("crash_news_told", static_cast<double>(p_records.size()));
	_context.metrics.set_gauge("crash_news_not_told", static_cast<double>(_relay.get_dropped()));
}

void crash_sync::_on_reported(const std::string &p_vm, const report_crashes_message &p_message) {
	const instant now = event_loop::now();
	std::vector<crash_record> new_records;
	for (const reported_crash &reported : p_message.news) {
		const crash_record record{ reported.news, reported.run, reported.subject, now - reported.age };
		if (_memory.take(record, now)) {
			_on_event(record, "peer/" + p_vm);
			new_records.push_back(record);
		}
	}
	_is_synchronized = true;
	_relay.add_reported(p_vm, new_records);
	_relay.send_soon();
	if (p_message.is_whole) {
		_on_store_known();
	}
}

void crash_sync::_on_store_known() {
	if (_knows_store) {
		return;
	}
	_knows_store = true;
	_read_timer.cancel();
	const std::vector<crash_record> records = _memory.get_records(MAX_SNAPSHOT_RECORDS);
	for (const std::string &vm : _fleet.get_link().get_linked()) {
		_send(vm, records, true);
	}
}

void crash_sync::_read() {
	_context.store.read_newest(std::string(get_crash_topic()), read_reason::CRASHES, true, [this](const store_answer &p_answer) { _on_read(p_answer); });
}

void crash_sync::_on_read(const store_answer &p_answer) {
	if (p_answer.status != store_status::OK) {
		_read_timer.set(READ_RETRY);
		return;
	}
	const moment now = get_moment();
	std::size_t dropped = 0;
	for (const store_record &entry : p_answer.records) {
		bool is_expired = true;
		for (const crash_record &record : read_crash_records(entry.key, entry.value.value_or(""), now)) {
			is_expired = is_expired && now.at - record.at > crash_memory::LIFETIME;
			if (_memory.take(record, now.at)) {
				_on_event(record, "store");
				_relay.add_own(record);
			}
		}
		if (is_expired && entry.value && dropped++ < MAX_DROPPED_RECORDS) {
			_context.store.put(std::string(get_crash_topic()), read_reason::CRASHES, entry.key, "", [](bool) {});
		}
	}
	_is_synchronized = true;
	_relay.send_soon();
	_on_store_known();
}

void crash_sync::_write_next() {
	if (_to_write.empty()) {
		return;
	}
	const request_fingerprint run = *_to_write.begin();
	_to_write.erase(_to_write.begin());
	_is_write_open = true;
	const std::string value = write_crash_value(_memory.get_records_of(run), get_moment());
	_context.store.put(std::string(get_crash_topic()), read_reason::CRASHES, write_crash_key(run), value, [this, run](bool p_written) { _on_written(run, p_written); });
}

void crash_sync::_on_written(const request_fingerprint &p_run, bool p_written) {
	_is_write_open = false;
	if (!p_written) {
		_to_write.insert(p_run);
	}
	if (!_to_write.empty()) {
		_write_timer.set(p_written ? WRITE_PAUSE : WRITE_RETRY);
	}
}

} // namespace calicoscale
