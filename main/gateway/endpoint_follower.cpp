/*
 * calicoscale: endpoint_follower.cpp
 * Keeps the list of endpoints, from the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/endpoint_follower.h"

#include "platform/endpoint_codec.h"

namespace calicoscale {

namespace {

/** Endpoints get no new work within two seconds of saying that they leave; a read takes part of that. */
constexpr duration READ_INTERVAL = std::chrono::milliseconds(900);
constexpr duration RETRY_INTERVAL = std::chrono::milliseconds(300);
/**
 * A read without an answer is not given up yet, as the store may be slow, but another one is sent beside it: an answer must
 * come within half a second of the store's return, as entries that are missing then are kept for two more.
 */
constexpr duration NEXT_READ = std::chrono::milliseconds(400);
/**
 * A peer that reads for others tells each 0.9 s. One that fell silent is noticed and the list read within the two seconds
 * after which an endpoint that leaves gets no new work.
 */
constexpr duration TOLD_INTERVAL = std::chrono::milliseconds(1350);
/** While the store turns both this node and its reader away; well within the two seconds that entries are kept after an outage. */
constexpr duration LONGEST_RETRY = std::chrono::milliseconds(1000);
/** Lists that differ are read as a whole no more often than this, as two nodes may differ for a while after an outage. */
constexpr duration WHOLE_INTERVAL = std::chrono::seconds(4);
/** Nodes that learn from a peer that the store came back from an older copy read it within this, not all at once. */
constexpr duration ERA_SPREAD = std::chrono::milliseconds(600);
/** One node of a zone reads the whole list when a fleet starts together; whoever is not told within this reads too. */
constexpr duration TOLD_AT_START = std::chrono::milliseconds(1500);
/** Between nodes of a zone that read the list one after the other while nobody tells them. */
constexpr duration PLACE_STEP = std::chrono::milliseconds(500);
/** While entries that went with an outage are waited for. */
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
		_reader(p_context, get_endpoint_topic(), "store_endpoints", read_times{ duration::zero(), NEXT_READ, NEXT_READ, RETRY_INTERVAL, LONGEST_RETRY, TOLD_AT_START, PLACE_STEP },
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
	_is_era_untold = true;
	_era_entered.emit();
}

void endpoint_follower::_on_answer(const store_answer &p_answer, bool p_is_whole) {
	_directory.on_read(event_loop::now());
	if (p_is_whole) {
		_take_whole(p_answer);
		_set_timers();
		if (_is_era_untold) {
			// Nodes that are told readings know none of this era, and need not read for themselves.
			_is_era_untold = false;
			_reading_taken.emit(_directory.make_whole_reading(_reader.get_known()));
		}
		return;
	}
	const endpoint_reading reading = _take_records(p_answer);
	_set_timers();
	_reading_taken.emit(reading);
}

void endpoint_follower::take_reading(const endpoint_reading &p_reading, const std::string &p_peer) {
	const log_position known = _reader.get_known();
	// What a reader that knows no starts tells lacks them for good, as only changes are read.
	const bool has_starts = p_reading.listed_starts != 0;
	if (!has_starts || !_reader.is_loaded() || p_reading.era < known.era) {
		return;
	}
	if (p_reading.era > known.era && !p_reading.is_whole) {
		_reader.read_in(from_seconds(_context.random.get_unit() * to_seconds(ERA_SPREAD)));
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
	_directory.take_reading(p_reading, now);
	_set_timers();
	_reader.read_in(TOLD_INTERVAL);
	_compare(p_reading, p_peer);
}

void endpoint_follower::_compare(const endpoint_reading &p_reading, const std::string &p_peer) {
	const instant now = event_loop::now();
	if (_directory.is_like(p_reading) || now - _differed_at < WHOLE_INTERVAL) {
		return;
	}
	_differed_at = now;
	_context.metrics.count("endpoint_lists_differed");
	_context.log.write(log_line("endpoint_lists_differ").add("peer", p_peer).add("endpoints", static_cast<long long>(_directory.get_size())).add("offset", static_cast<long long>(_reader.get_known().offset)));
	_reader.read_whole();
}

duration endpoint_follower::_get_read_interval(bool p_awaits_entries) const {
	if (p_awaits_entries) {
		return RETURN_INTERVAL;
	}
	// A list that all nodes read for themselves while it is written keeps the store from the few that read for the others.
	if (_reader.is_patient()) {
		return TOLD_INTERVAL;
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

endpoint_reading endpoint_follower::_take_records(const store_answer &p_answer) {
	const instant now = event_loop::now();
	const std::vector<endpoint_record> records = _filter.take(read_entries(p_answer), _directory.get_entries(), now);
	_note_rejected();
	endpoint_reading reading = _directory.take_records(records, p_answer.next_offset - p_answer.records.size(), p_answer.next_offset, now);
	reading.era = p_answer.era;
	return reading;
}

void endpoint_follower::_take_whole(const store_answer &p_answer) {
	const instant now = event_loop::now();
	const std::vector<endpoint_listing> listings = _filter.take_whole(read_entries(p_answer), _directory.get_entries(), now);
	_note_rejected();
	_directory.replace(listings, now);
}

void endpoint_follower::_note_rejected() {
	for (const rejected_entry &entry : _filter.take_rejected()) {
		const std::string_view reason = get_name(entry.fault);
		_context.metrics.count("endpoint_entry_rejected");
		_context.metrics.count("endpoint_entry_rejected_" + std::string(reason));
		if (_rejections.is_news(entry.name, entry.fault, event_loop::now())) {
			_context.log.write(log_line("endpoint_entry_rejected").add("endpoint", entry.name).add("reason", reason).add("in_use", entry.was_in_use ? "yes" : "no").add("untold", static_cast<long long>(_rejections.take_untold())));
		}
	}
}

void endpoint_follower::mark_leaving(const endpoint_identity &p_identity, std::string_view p_source) {
	if (_directory.mark_leaving(p_identity)) {
		_context.log.write(log_line("endpoint_leaving").add("endpoint", p_identity.vm).add("incarnation", static_cast<long long>(p_identity.incarnation)).add("source", p_source));
		_publish();
	}
}

void endpoint_follower::mark_gone(const endpoint_identity &p_identity, const std::string &p_peer) {
	if (_directory.mark_gone(p_identity, event_loop::now())) {
		_context.log.write(log_line("endpoint_gone").add("endpoint", p_identity.vm).add("incarnation", static_cast<long long>(p_identity.incarnation)).add("source", "peer/" + p_peer));
		_publish();
	}
}

void endpoint_follower::drop_told() {
	for (const endpoint_identity &identity : _directory.drop_told(event_loop::now())) {
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
		_reader.read_in(TOLD_INTERVAL);
	}
	_publish();
}

void endpoint_follower::_publish() {
	if (_directory.take_changed()) {
		_changed.emit();
	}
}

} // namespace calicoscale
