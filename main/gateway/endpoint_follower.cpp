/*
 * calicoscale: endpoint_follower.cpp
 * Keeps the list of endpoints, as read from the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/endpoint_follower.h"

#include "platform/endpoint_codec.h"

#include <algorithm>

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
/** Time in which a peer sends a requested list, or its reader sends a snapshot of a new era. */
constexpr duration LIST_TIMEOUT = std::chrono::milliseconds(600);
/** Interval at which a due read of a snapshot is checked again while another read is in progress. */
constexpr duration READ_CHECK_INTERVAL = std::chrono::milliseconds(100);
/** Size of an answer while the rate of the topic is unknown: the most that the store sends at once. */
constexpr double MAX_ANSWER_BYTES = 1024.0 * 1024.0;
/** Size of a record before one was read. */
constexpr double FIRST_RECORD_BYTES = 300.0;
/** Size of an entry in a snapshot, as a multiple of its record's: values are encoded as base64. */
constexpr double SNAPSHOT_FACTOR = 4.0 / 3.0;
/** Weight of the newest observation in the estimates of the topic's rate and of a record's size. */
constexpr double OBSERVATION_WEIGHT = 0.2;
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
						[this](bool p_is_whole) { return _estimate_bytes(p_is_whole); },
						[this](log_line &r_line) { r_line.add("endpoints", static_cast<long long>(_directory.get_size())); } }),
		_drop_timer(p_context.loop, [this] { _on_drop_timer(); }),
		_list_timer(p_context.loop, [this] { _on_list_timer(); }),
		_record_bytes(FIRST_RECORD_BYTES) {
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
	const instant now = event_loop::now();
	_directory.on_read(now);
	_is_substitute = _reader.has_peer_reader();
	if (!p_answer.records.empty()) {
		const double bytes = static_cast<double>(p_answer.bytes) / static_cast<double>(p_answer.records.size()) / (p_is_whole ? SNAPSHOT_FACTOR : 1.0);
		_record_bytes += (bytes - _record_bytes) * OBSERVATION_WEIGHT;
	}
	_on_list_read(p_is_whole);
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
	_on_advance(p_answer.records.size(), now);
	const endpoint_delta reading = _apply_records(p_answer);
	_set_timers();
	_delta_published.emit(reading);
}

bool endpoint_follower::apply_delta(const endpoint_delta &p_reading, const std::string &p_peer) {
	const log_position known = _reader.get_known();
	// A delta of a reader that does not count starts lacks them, and later deltas would not add them.
	const bool has_starts = p_reading.listed_starts != 0;
	const bool is_usable = _reader.is_loaded() || (p_reading.is_whole && _list_need);
	if (!has_starts || !is_usable || p_reading.era < known.era) {
		return false;
	}
	if (p_reading.era > known.era && !p_reading.is_whole) {
		_need_list(read_reason::NEW_ERA, p_peer);
		return false;
	}
	if (p_reading.era == known.era && p_reading.from > known.offset) {
		_need_list(read_reason::MISSED_DELTA, p_peer);
		return false;
	}
	if (p_reading.era == known.era && p_reading.to < known.offset) {
		return false;
	}
	const instant now = event_loop::now();
	if (p_reading.era > known.era) {
		_directory.on_new_era(now);
		_reader.adopt(log_position{ p_reading.era, p_reading.to });
		_context.log.write(log_line("log_era").add("topic", "endpoints").add("era", static_cast<long long>(p_reading.era)).add("earlier", static_cast<long long>(known.era)).add("peer", p_peer));
		_era_entered.emit();
	} else {
		_on_advance(p_reading.to - known.offset, now);
		_reader.skip_to(p_reading.to);
	}
	if (p_reading.is_whole) {
		_reader.adopt(log_position{ p_reading.era, p_reading.to });
	}
	_on_list_read(p_reading.is_whole);
	_is_substitute = false;
	_filter.on_told(p_reading);
	_directory.on_read(now);
	_directory.apply_delta(p_reading, now);
	_set_timers();
	// A reader that another node told of a change goes on to read, as its followers wait for it.
	_reader.read_in(_reader.has_peer_reader() ? PEER_READ_TIMEOUT : READ_INTERVAL);
	_compare(p_reading, p_peer);
	return true;
}

void endpoint_follower::_on_advance(std::uint64_t p_records, instant p_now) {
	const double seconds = to_seconds(p_now - _advanced_at);
	if (_advanced_at != instant{} && seconds > 0.0) {
		const double rate = static_cast<double>(p_records) / seconds;
		_records_per_second = _records_per_second ? *_records_per_second + (rate - *_records_per_second) * OBSERVATION_WEIGHT : rate;
	}
	_advanced_at = p_now;
}

double endpoint_follower::_estimate_bytes(bool p_is_whole) const {
	if (p_is_whole) {
		return static_cast<double>(_directory.get_size()) * _record_bytes * SNAPSHOT_FACTOR;
	}
	const double seconds = to_seconds(_reader.get_unconfirmed_time(event_loop::now()));
	return _records_per_second ? std::min(MAX_ANSWER_BYTES, *_records_per_second * _record_bytes * seconds) : MAX_ANSWER_BYTES;
}

void endpoint_follower::_need_list(read_reason p_reason, const std::string &p_peer) {
	_list_source = p_peer;
	if (_list_need) {
		return;
	}
	_list_need = p_reason;
	_list_needed_at = event_loop::now();
	_context.metrics.count("endpoint_lists_needed");
	_context.log.write(log_line("endpoint_list_needed").add("reason", get_name(p_reason)).add("offset", static_cast<long long>(_reader.get_known().offset)).add("unconfirmed_ms", _reader.get_unconfirmed_time(event_loop::now())));
	_list_timer.set(LIST_TIMEOUT);
}

void endpoint_follower::_on_list_read(bool p_is_whole) {
	// Records that continue at the known position make up for a missed delta, but not for a difference.
	if (p_is_whole || _list_need == read_reason::MISSED_DELTA) {
		_list_need.reset();
		_list_source.clear();
		_list_timer.cancel();
	}
}

void endpoint_follower::_on_list_timer() {
	if (!_list_need) {
		return;
	}
	const duration wait = _reader.get_turn_wait(true) + LIST_TIMEOUT - (event_loop::now() - _list_needed_at);
	// The peer whose delta showed the need did not send the snapshot in time: any other may be asked.
	_list_source.clear();
	if (wait > duration::zero() || _reader.is_reading()) {
		_list_timer.set(std::clamp(wait, READ_CHECK_INTERVAL, LIST_TIMEOUT));
		return;
	}
	_reader.load_snapshot(*_list_need);
}

void endpoint_follower::_compare(const endpoint_delta &p_reading, const std::string &p_peer) {
	const instant now = event_loop::now();
	const bool is_like = _directory.is_like(p_reading);
	if (is_like && _list_need == read_reason::LISTS_DIFFER) {
		_on_list_read(true);
	}
	if (is_like || now - _difference_found_at < MIN_SNAPSHOT_INTERVAL) {
		return;
	}
	_difference_found_at = now;
	_context.metrics.count("endpoint_lists_differed");
	_context.log.write(log_line("endpoint_lists_differ").add("peer", p_peer).add("endpoints", static_cast<long long>(_directory.get_size())).add("offset", static_cast<long long>(_reader.get_known().offset)));
	_need_list(read_reason::LISTS_DIFFER, p_peer);
}

duration endpoint_follower::_get_read_interval(bool p_awaits_entries) const {
	// If all nodes read while endpoints register or return, their load delays the few nodes that read for the others.
	if (_reader.has_peer_reader()) {
		return _is_substitute ? READ_INTERVAL : PEER_READ_TIMEOUT;
	}
	if (p_awaits_entries) {
		return RETURN_INTERVAL;
	}
	return _directory.get_size() == 0 ? RETRY_INTERVAL : READ_INTERVAL;
}

void endpoint_follower::_on_drop_timer() {
	if (!_reader.has_peer_reader()) {
		_set_timers();
		return;
	}
	_directory.tick(event_loop::now());
	_publish();
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
		_advanced_at = event_loop::now();
		_reader.read_in(_reader.has_peer_reader() ? PEER_READ_TIMEOUT : duration::zero());
	}
	_publish();
}

void endpoint_follower::_publish() {
	if (_directory.take_changed()) {
		_changed.emit();
	}
}

} // namespace calicoscale
