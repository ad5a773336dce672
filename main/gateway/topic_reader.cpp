/*
 * calicoscale: topic_reader.cpp
 * Follows one topic of the store by repeated reads.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/topic_reader.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace calicoscale {

namespace {

/**
 * First reads are spread over this time. When all nodes of a fleet start at once, the first to read send the data to the others,
 * which then need not read: it takes about 0.3 s to set up a link and send a list over two hubs. A node that starts alone gets
 * the data within a tenth of that.
 */
constexpr duration FIRST_READ_SPREAD = std::chrono::milliseconds(500);
/** An answer is overdue after this many times the time that the store recently took. */
constexpr int USUAL_TIME_FACTOR = 2;
/** Well below the time-out of a call, so that a lost answer is noticed before. */
constexpr duration MAX_USUAL_TIME = std::chrono::milliseconds(1200);
/** Interval at which a wait for other nodes is checked again, as the order in which nodes read may change meanwhile. */
constexpr duration WAIT_CHECK_INTERVAL = std::chrono::milliseconds(100);

} // namespace

topic_reader::topic_reader(gateway_context &p_context, std::string_view p_topic, const std::string &p_dependency, const read_times &p_times, topic_reader_hooks p_hooks) :
		_context(p_context),
		_topic(p_topic),
		_dependency(p_dependency),
		_hooks(std::move(p_hooks)),
		_schedule(p_times),
		_started_at(event_loop::now()),
		_read_began_at(_started_at),
		_answered_at(_read_began_at),
		_timer(p_context.loop, [this] { _check(); }) {
}

void topic_reader::read_first() {
	const double fraction = _context.settings.peers.empty() ? 0.0 : _context.random.get_unit();
	read_in(from_seconds(fraction * to_seconds(FIRST_READ_SPREAD)));
}

read_reason topic_reader::_find_reason() {
	if (_next_reason) {
		return *std::exchange(_next_reason, std::nullopt);
	}
	if (_has_failed) {
		return read_reason::RETRY;
	}
	if (_schedule.has_peer_reader()) {
		return read_reason::READER_SILENT;
	}
	return _is_linked ? read_reason::READER : read_reason::NO_LINK;
}

void topic_reader::read(std::optional<read_reason> p_reason) {
	_read_began_at = event_loop::now();
	_reason = p_reason ? *p_reason : _find_reason();
	_send(_schedule.begin(), _reason);
}

void topic_reader::read_after_stall() {
	_read_began_at = event_loop::now();
	_reason = read_reason::STALL;
	_send(_schedule.begin_after_stall(), _reason);
}

void topic_reader::set_has_peer_reader(bool p_has_peer_reader) {
	const bool has_become_reader = _schedule.has_peer_reader() && !p_has_peer_reader;
	_schedule.set_has_peer_reader(p_has_peer_reader);
	if (has_become_reader && _was_loaded && !_schedule.is_reading() && _timer.is_set()) {
		read_in(std::max(duration::zero(), _schedule.get_repeat() - get_unconfirmed_time(event_loop::now())));
	}
}

void topic_reader::load_snapshot(read_reason p_reason) {
	_is_loaded = false;
	read(p_reason);
}

void topic_reader::read_in(duration p_time, std::optional<read_reason> p_reason) {
	if (!_schedule.is_reading()) {
		_next_reason = p_reason;
		_due_at = event_loop::now() + p_time;
		_timer.set(p_time);
	}
}

void topic_reader::skip_to(std::uint64_t p_offset) {
	_known.offset = std::max(_known.offset, p_offset);
	_answered_at = event_loop::now();
	pause();
}

void topic_reader::adopt(const log_position &p_known) {
	_is_loaded = true;
	_was_loaded = true;
	_known = p_known;
	skip_to(p_known.offset);
}

void topic_reader::pause() {
	_schedule.abandon();
	_timer.cancel();
}

duration topic_reader::get_turn_wait(bool p_is_whole) const {
	const gateway_settings &settings = _context.settings;
	return _schedule.get_turn_wait(get_read_step(settings.store, settings.regions.size(), _hooks.estimate_bytes(p_is_whole)));
}

duration topic_reader::_get_remaining_wait() const {
	const instant now = event_loop::now();
	const duration turn = _due_at + get_turn_wait(!_is_loaded) - now;
	if (!_was_loaded && _is_linking) {
		return WAIT_CHECK_INTERVAL;
	}
	return _was_loaded ? turn : std::max(turn, _schedule.get_first_wait(now - _started_at));
}

void topic_reader::_check() {
	if (!_schedule.is_reading()) {
		const duration wait = _get_remaining_wait();
		if (wait > duration::zero()) {
			_timer.set(std::min(wait, WAIT_CHECK_INTERVAL));
			return;
		}
		read();
		return;
	}
	const std::optional<planned_read> repeated_read = _schedule.check();
	if (!repeated_read) {
		// One of the open reads times out soon. This check then replaces it without waiting for the others to time out.
		_timer.set(_schedule.get_repeat() + get_turn_wait(!_is_loaded));
		return;
	}
	_context.metrics.count("store_reads_repeated");
	_send(*repeated_read, read_reason::REPEAT);
}

duration topic_reader::_get_check_time(const planned_read &p_read) const {
	// An additional read takes as much of the store as a first one, and a queue in the store delays both.
	const duration usual_time = std::min(_answer_time * USUAL_TIME_FACTOR, MAX_USUAL_TIME);
	return std::max(p_read.check_in, usual_time) + get_turn_wait(!_is_loaded);
}

void topic_reader::_send(const planned_read &p_read, read_reason p_reason) {
	const bool is_whole = !_is_loaded;
	const bool is_waiting = !is_whole && p_read.wait > duration::zero();
	const std::shared_ptr<instant> asked_at = std::make_shared<instant>(event_loop::now());
	const auto handle_answer = [this, reading = p_read.reading, is_whole, is_waiting, asked_at](const store_answer &p_answer) {
		if (p_answer.status == store_status::OK && !is_waiting) {
			_note_answer_time(event_loop::now() - *asked_at);
		}
		_on_answer(p_answer, reading, is_whole);
	};
	_timer.set(_get_check_time(p_read));
	if (!is_whole) {
		_context.store.follow(_topic, p_reason, _known.offset, p_read.wait, p_read.on_new_connection, handle_answer);
		return;
	}
	_context.store.read_newest(_topic, p_reason, p_read.on_new_connection, handle_answer, [this, p_read, asked_at] {
		const instant now = event_loop::now();
		_on_page(p_read, now - std::exchange(*asked_at, now));
	});
}

void topic_reader::_on_page(const planned_read &p_read, duration p_took) {
	_note_answer_time(p_took);
	if (_schedule.is_open(p_read.reading)) {
		_timer.set(_get_check_time(p_read));
	}
}

void topic_reader::_note_answer_time(duration p_took) {
	_answer_time = std::max(p_took, _answer_time / 2);
}

void topic_reader::_on_answer(const store_answer &p_answer, std::uint64_t p_read_id, bool p_is_whole) {
	if (p_answer.status == store_status::UNAVAILABLE) {
		_context.traffic.add_unused(_topic, _reason, p_answer.bytes);
		if (!_schedule.on_failed(p_read_id)) {
			return;
		}
		_has_failed = true;
		_set_reachable(false, p_answer.http_status);
		_hooks.on_failure();
		read_in(_schedule.get_retry());
		return;
	}
	if (!_schedule.on_answered(p_read_id)) {
		_context.traffic.add_unused(_topic, _reason, p_answer.bytes);
		return;
	}
	_has_failed = false;
	_set_reachable(true, 0);
	if (p_answer.era < _known.era) {
		_context.metrics.count("store_answers_of_older_era");
		read_in(_schedule.get_retry());
		return;
	}
	_answered_at = event_loop::now();
	const bool is_other_era = p_answer.era != _known.era;
	_enter_era(p_answer.era);
	if (p_answer.status == store_status::HISTORY_COMPACTED || (is_other_era && !p_is_whole)) {
		_context.log.write(log_line("history_gone").add("topic", _topic).add("offset", static_cast<long long>(_known.offset)).add("era", static_cast<long long>(_known.era)));
		load_snapshot(p_answer.status == store_status::HISTORY_COMPACTED ? read_reason::HISTORY_GONE : read_reason::NEW_ERA);
		return;
	}
	_is_loaded = true;
	_was_loaded = true;
	_known.offset = p_answer.next_offset;
	_hooks.on_answer(p_answer, p_is_whole);
}

void topic_reader::_enter_era(std::uint64_t p_era) {
	if (p_era == _known.era) {
		return;
	}
	const bool was_read = _known != log_position();
	_context.log.write(log_line("log_era").add("topic", _topic).add("era", static_cast<long long>(p_era)).add("earlier", static_cast<long long>(_known.era)).add("offset", static_cast<long long>(_known.offset)));
	_known.era = p_era;
	if (was_read && _hooks.on_new_era) {
		_hooks.on_new_era();
	}
}

void topic_reader::_set_reachable(bool p_reachable, int p_status) {
	if (p_reachable == _is_reachable) {
		return;
	}
	_is_reachable = p_reachable;
	const instant now = event_loop::now();
	log_line line(p_reachable ? "dependency_regained" : "dependency_lost");
	line.add("dependency", _dependency);
	if (!p_reachable) {
		line.add("status", static_cast<long long>(p_status));
	}
	_hooks.describe(line);
	line.add("read_ms", now - _read_began_at).add("unconfirmed_ms", get_unconfirmed_time(now));
	_context.log.write(line);
}

} // namespace calicoscale
