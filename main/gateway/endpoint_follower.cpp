/*
 * calicoscale: endpoint_follower.cpp
 * Keeps the list of endpoints, as read from the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/endpoint_follower.h"

#include "platform/endpoint_codec.h"

namespace calicoscale {

namespace {

/** An endpoint must get no new work from two seconds after it announces that it leaves; the read interval uses part of that time. */
constexpr duration READ_INTERVAL = std::chrono::milliseconds(900);
constexpr duration RETRY_INTERVAL = std::chrono::milliseconds(300);
/**
 * After this time without an answer another read is sent while the first stays open, as the store may only be slow. An answer
 * must arrive within half a second of the store's return, since entries that are missing then are kept for two more seconds.
 */
constexpr duration REPEAT_INTERVAL = std::chrono::milliseconds(400);
/**
 * A peer that reads for others sends a delta each 0.9 s. This node reads the store itself after this time without one, which is
 * within the two seconds after which an endpoint that leaves must get no new work.
 */
constexpr duration PEER_READ_TIMEOUT = std::chrono::milliseconds(1350);
/**
 * Longest retry interval while the store rejects both this node and its reader. Well below the two seconds for which entries are
 * kept after an outage.
 */
constexpr duration MAX_RETRY_INTERVAL = std::chrono::milliseconds(1000);
/** Shortest interval between snapshots that are read because lists differ, as two nodes may differ for a while after an outage. */
constexpr duration MIN_SNAPSHOT_INTERVAL = std::chrono::seconds(4);
/** Nodes that learn of a new era of the store from a peer spread their reads over this time. */
constexpr duration ERA_SPREAD = std::chrono::milliseconds(600);
/**
 * When a fleet starts together, one node of each zone reads the snapshot. A node that has not received it within this time reads
 * it too.
 */
constexpr duration FIRST_READ_DELAY = std::chrono::milliseconds(1500);
/** Interval between the first reads of nodes of a zone, which read one after the other while no peer sends the list. */
constexpr duration FIRST_READ_STEP = std::chrono::milliseconds(500);
/** Read interval while entries that are missing since an outage may come back. */
constexpr duration RETURN_INTERVAL = std::chrono::milliseconds(400);

std::vector<read_endpoint_record> read_entries(const store_answer &p_answer) {
	std::vector<read_endpoint_record> entries;
	entries.reserve(p_answer.records.size());
	for (const store_record &record : p_answer.records) {
		entries.push_back(read_endpoint_record{ record.key, std::nullopt });
		if (record.value) {
			entries.back().entry = parse_endpoint_entry(record.key, *record.value);
		}
	}
	return entries;
}

} // namespace

endpoint_follower::endpoint_follower(gateway_context &p_context) :
		_context(p_context),
		_rejections(event_loop::now()),
		_reader(p_context, get_endpoint_topic(), "store_endpoints", read_times{ duration::zero(), REPEAT_INTERVAL, REPEAT_INTERVAL, RETRY_INTERVAL, MAX_RETRY_INTERVAL, FIRST_READ_DELAY, FIRST_READ_STEP },
				topic_reader_hooks{
						[this](const store_answer &p_answer, bool p_is_whole) { _on_answer(p_answer, p_is_whole); },
						[this] { _on_failure(); },
						[this] { _on_new_era(); },
						[this](log_line &r_line) { r_line.add("endpoints", static_cast<long long>(_directory.get_size())); } }),
		_drop_timer(p_context.loop, [this] { _set_timers(); }) {
}

void endpoint_follower::_on_failure() {
	_directory.tick(event_loop::now());
	_publish();
}

void endpoint_follower::_on_new_era() {
	_directory.on_new_era(event_loop::now());
	_is_era_unreported = true;
	_era_entered.emit();
}

void endpoint_follower::_on_answer(const store_answer &p_answer, bool p_is_whole) {
	_directory.on_read(event_loop::now());
	if (p_is_whole) {
		_apply_snapshot(p_answer);
		_set_timers();
		if (_is_era_unreported) {
			// Peers that receive deltas know no position of this era. With the snapshot they need not read the store themselves.
			_is_era_unreported = false;
			_delta_published.emit(_directory.make_snapshot_delta(_reader.get_known()));
		}
		return;
	}
	const endpoint_delta reading = _apply_records(p_answer);
	_set_timers();
	_delta_published.emit(reading);
}

void endpoint_follower::apply_delta(const endpoint_delta &p_reading, const std::string &p_peer) {
	const log_position known = _reader.get_known();
	// A delta of a reader that does not count starts lacks them, and later deltas would not add them.
	const bool has_starts = p_reading.listed_starts != 0;
	if (!has_starts || !_reader.is_loaded() || p_reading.era < known.era) {
		return;
	}
	if (p_reading.era > known.era && !p_reading.is_whole) {
		_reader.read_in(from_seconds(_context.random.get_unit() * to_seconds(ERA_SPREAD)), read_reason::NEW_ERA);
		return;
	}
	const bool follows_on = p_reading.from <= known.offset && p_reading.to >= known.offset;
	if (p_reading.era == known.era && !follows_on) {
		return;
	}
	const instant now = event_loop::now();
	if (p_reading.era > known.era) {
		_directory.on_new_era(now);
		_reader.adopt(log_position{ p_reading.era, p_reading.to });
		_context.log.write(log_line("log_era").add("topic", "endpoints").add("era", static_cast<long long>(p_reading.era)).add("earlier", static_cast<long long>(known.era)).add("peer", p_peer));
		_era_entered.emit();
	} else {
		_reader.skip_to(p_reading.to);
	}
	_filter.on_told(p_reading);
	_directory.on_read(now);
	_directory.apply_delta(p_reading, now);
	_set_timers();
	_reader.read_in(PEER_READ_TIMEOUT);
	_compare(p_reading, p_peer);
}

void endpoint_follower::_compare(const endpoint_delta &p_reading, const std::string &p_peer) {
	const instant now = event_loop::now();
	if (_directory.is_like(p_reading) || now - _difference_found_at < MIN_SNAPSHOT_INTERVAL) {
		return;
	}
	_difference_found_at = now;
	_context.metrics.count("endpoint_lists_differed");
	_context.log.write(log_line("endpoint_lists_differ").add("peer", p_peer).add("endpoints", static_cast<long long>(_directory.get_size())).add("offset", static_cast<long long>(_reader.get_known().offset)));
	_reader.load_snapshot(read_reason::LISTS_DIFFER);
}

duration endpoint_follower::_get_read_interval(bool p_awaits_entries) const {
	if (p_awaits_entries) {
		return RETURN_INTERVAL;
	}
	// If all nodes read the list while endpoints register, their load delays the few nodes that read for the others.
	if (_reader.has_peer_reader()) {
		return PEER_READ_TIMEOUT;
	}
	return _directory.get_size() == 0 ? RETRY_INTERVAL : READ_INTERVAL;
}

void endpoint_follower::_set_timers() {
	const instant now = event_loop::now();
	_directory.tick(now);
	_publish();
	const std::optional<instant> drop_at = _directory.get_drop_time();
	if (drop_at) {
		_drop_timer.set_at(*drop_at);
	}
	_reader.read_in(_get_read_interval(drop_at.has_value()));
}

endpoint_delta endpoint_follower::_apply_records(const store_answer &p_answer) {
	const instant now = event_loop::now();
	const std::vector<endpoint_record> records = _filter.take(read_entries(p_answer), _directory.get_entries(), now);
	_report_rejected();
	endpoint_delta reading = _directory.apply_records(records, p_answer.next_offset - p_answer.records.size(), p_answer.next_offset, now);
	reading.era = p_answer.era;
	return reading;
}

void endpoint_follower::_apply_snapshot(const store_answer &p_answer) {
	const instant now = event_loop::now();
	const std::vector<endpoint_listing> listings = _filter.apply_snapshot(read_entries(p_answer), _directory.get_entries(), now);
	_report_rejected();
	_directory.replace(listings, now);
}

void endpoint_follower::_report_rejected() {
	for (const rejected_entry &entry : _filter.take_rejected()) {
		const std::string_view reason = get_name(entry.fault);
		_context.metrics.count("endpoint_entry_rejected");
		_context.metrics.count("endpoint_entry_rejected_" + std::string(reason));
		if (_rejections.is_new(entry.name, entry.fault, event_loop::now())) {
			_context.log.write(log_line("endpoint_entry_rejected").add("endpoint", entry.name).add("reason", reason).add("in_use", entry.was_in_use ? "yes" : "no").add("untold", static_cast<long long>(_rejections.take_suppressed())));
		}
	}
}

void endpoint_follower::mark_leaving(const endpoint_identity &p_identity, std::string_view p_source) {
	if (_directory.mark_leaving(p_identity)) {
		_context.log.write(log_line("endpoint_leaving").add("endpoint", p_identity.vm).add("incarnation", static_cast<long long>(p_identity.incarnation)).add("source", p_source));
		_publish();
	}
}

void endpoint_follower::mark_removed(const endpoint_identity &p_identity, const std::string &p_peer) {
	if (_directory.mark_removed(p_identity, event_loop::now())) {
		_context.log.write(log_line("endpoint_gone").add("endpoint", p_identity.vm).add("incarnation", static_cast<long long>(p_identity.incarnation)).add("source", "peer/" + p_peer));
		_publish();
	}
}

void endpoint_follower::drop_reported_removals() {
	for (const endpoint_identity &identity : _directory.drop_reported_removals(event_loop::now())) {
		_context.log.write(log_line("endpoint_gone").add("endpoint", identity.vm).add("incarnation", static_cast<long long>(identity.incarnation)).add("source", "peers, before"));
	}
	_publish();
}

void endpoint_follower::offer(const std::vector<endpoint_listing> &p_listings, const log_position &p_known, const std::string &p_peer) {
	const bool was_loaded = _directory.is_loaded();
	if (!_directory.adopt(p_listings)) {
		return;
	}
	if (!was_loaded) {
		_context.log.write(log_line("endpoints_adopted").add("peer", p_peer).add("endpoints", static_cast<long long>(_directory.get_size())).add("era", static_cast<long long>(p_known.era)).add("offset", static_cast<long long>(p_known.offset)));
	}
	if (p_known.offset > 0 && !_reader.is_loaded()) {
		_reader.adopt(p_known);
		_reader.read_in(PEER_READ_TIMEOUT);
	}
	_publish();
}

void endpoint_follower::_publish() {
	if (_directory.take_changed()) {
		_changed.emit();
	}
}

} // namespace calicoscale
