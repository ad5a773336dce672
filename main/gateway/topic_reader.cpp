/*
 * calicoscale: topic_reader.cpp
 * Reads one topic of the store, again and again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/topic_reader.h"

#include <algorithm>

namespace calicoscale {

namespace {

/**
 * Of all nodes of a fleet that starts at one moment the first to read tell the others, who need not read then: a link is made
 * and a list told over two hubs within some 0.3 s. A node that starts alone is told within a tenth of that.
 */
constexpr duration FIRST_READ_SPREAD = std::chrono::milliseconds(500);

} // namespace

topic_reader::topic_reader(gateway_context &p_context, std::string_view p_topic, const std::string &p_dependency, const read_times &p_times, topic_reader_hooks p_hooks) :
		_context(p_context),
		_topic(p_topic),
		_dependency(p_dependency),
		_hooks(std::move(p_hooks)),
		_schedule(p_times),
		_read_since(event_loop::now()),
		_answered_at(_read_since),
		_timer(p_context.loop, [this] { _check(); }) {
}

void topic_reader::read_first() {
	const double part = _context.settings.peers.empty() ? 0.0 : _context.random.get_unit();
	read_in(from_seconds(part * to_seconds(FIRST_READ_SPREAD)));
}

void topic_reader::read() {
	_read_since = event_loop::now();
	_send(_schedule.begin());
}

void topic_reader::read_after_absence() {
	_read_since = event_loop::now();
	_send(_schedule.begin_after_absence());
}

void topic_reader::read_whole() {
	_is_loaded = false;
	read();
}

void topic_reader::read_in(duration p_time) {
	if (!_schedule.is_reading()) {
		_timer.set(p_time);
	}
}

void topic_reader::skip_to(std::uint64_t p_offset) {
	_offset = std::max(_offset, p_offset);
	_answered_at = event_loop::now();
	pause();
}

void topic_reader::adopt(std::uint64_t p_offset) {
	_is_loaded = true;
	skip_to(p_offset);
}

void topic_reader::pause() {
	_schedule.abandon();
	_timer.cancel();
}

void topic_reader::_check() {
	if (!_schedule.is_reading()) {
		read();
		return;
	}
	const std::optional<planned_read> beside = _schedule.check();
	if (!beside) {
		// One of them times out soon, and its place must not stay empty until all have.
		_timer.set(_schedule.get_repeat());
		return;
	}
	_context.metrics.count("store_reads_repeated");
	_send(*beside);
}

void topic_reader::_send(const planned_read &p_read) {
	const bool is_whole = !_is_loaded;
	const auto take = [this, reading = p_read.reading, is_whole](const store_answer &p_answer) { _on_answer(p_answer, reading, is_whole); };
	_timer.set(p_read.check_in);
	if (is_whole) {
		_context.store.read_newest(_topic, p_read.on_new_connection, take);
	} else {
		_context.store.follow(_topic, _offset, p_read.wait, p_read.on_new_connection, take);
	}
}

void topic_reader::_on_answer(const store_answer &p_answer, std::uint64_t p_reading, bool p_is_whole) {
	if (p_answer.status == store_status::UNAVAILABLE) {
		if (!_schedule.on_failed(p_reading)) {
			return;
		}
		_set_reachable(false);
		_hooks.on_failure();
		read_in(_schedule.get_retry());
		return;
	}
	if (!_schedule.on_answered(p_reading)) {
		return;
	}
	_set_reachable(true);
	_answered_at = event_loop::now();
	if (p_answer.status == store_status::HISTORY_GONE) {
		_context.log.write(log_line("history_gone").add("topic", _topic).add("offset", static_cast<long long>(_offset)));
		read_whole();
		return;
	}
	_is_loaded = true;
	_offset = p_answer.next_offset;
	_hooks.on_answer(p_answer, p_is_whole);
}

void topic_reader::_set_reachable(bool p_reachable) {
	if (p_reachable == _is_reachable) {
		return;
	}
	_is_reachable = p_reachable;
	const instant now = event_loop::now();
	log_line line(p_reachable ? "dependency_regained" : "dependency_lost");
	line.add("dependency", _dependency);
	_hooks.describe(line);
	line.add("read_ms", now - _read_since).add("unconfirmed_ms", get_unconfirmed_time(now));
	_context.log.write(line);
}

} // namespace calicoscale
