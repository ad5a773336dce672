/*
 * calicoscale: event_log.cpp
 * Structured log lines on standard output; bounded and non-blocking.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/event_log.h"

#include "drivers/activity_scope.h"

#include <fcntl.h>
#include <unistd.h>

namespace calicoscale {

namespace {

constexpr duration FLUSH_INTERVAL = std::chrono::milliseconds(200);
/** Fits a list of 32 request ids; names and messages from outside may have any length. */
constexpr std::size_t MAX_VALUE_BYTES = 2000;
constexpr std::size_t MAX_LOG_BUFFER_BYTES = 256 * 1024;
/** Rate limit for lines about requests: about ten lines each for some tens of requests a second; lines above it are counted, not written. */
constexpr double REQUEST_LINES_PER_SECOND = 300.0;
constexpr double REQUEST_LINES_BURST = 600.0;
/** Interval of lines with the wall time. Other lines contain only the time since boot; these allow logs of several nodes to be aligned. */
constexpr duration CLOCK_INTERVAL = std::chrono::seconds(30);

} // namespace

log_line::log_line(std::string_view p_event) :
		_text("event=") {
	_text += p_event;
}

log_line &log_line::add(std::string_view p_key, std::string_view p_value) {
	_text += ' ';
	_text += p_key;
	_text += '=';
	for (const char letter : p_value.substr(0, MAX_VALUE_BYTES)) {
		// A value from outside must not inject a line or a key=value pair.
		_text += letter <= ' ' || letter == '=' || letter >= 127 ? '_' : letter;
	}
	_text += p_value.size() > MAX_VALUE_BYTES ? "..." : "";
	return *this;
}

log_line &log_line::add(std::string_view p_key, long long p_value) {
	return add(p_key, std::string_view(std::to_string(p_value)));
}

event_log::event_log(event_loop &p_loop) :
		_loop(p_loop), _request_lines(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, event_loop::now()), _flush_timer(p_loop, [this] { _flush(); }) {
	const int flags = fcntl(STDOUT_FILENO, F_GETFL);
	if (flags >= 0) {
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	}
}

event_log::~event_log() {
	_flush();
}

void event_log::_append(const log_line &p_line) {
	_buffer += "ms=" + std::to_string(event_loop::now().time_since_epoch().count() / 1000) + " " + p_line.get_text() + "\n";
}

void event_log::_add(const log_line &p_line) {
	if (_buffer.size() + p_line.get_text().size() > MAX_LOG_BUFFER_BYTES) {
		_dropped++;
		return;
	}
	if (_buffer.empty()) {
		_flush_timer.set(FLUSH_INTERVAL);
	}
	const instant now = event_loop::now();
	if (now - _clock_written_at > CLOCK_INTERVAL) {
		_clock_written_at = now;
		_append(log_line("clock").add("wall_ms", static_cast<long long>(event_loop::wall())));
	}
	_append(p_line);
}

void event_log::write_request(const log_line &p_line) {
	if (!_request_lines.try_take(1.0, event_loop::now())) {
		_dropped++;
		return;
	}
	_add(p_line);
}

void event_log::write(const log_line &p_line) {
	_add(p_line);
}

void event_log::_flush() {
	const activity_scope scope(_loop, activity::LOG);
	if (_dropped > _dropped_reported) {
		_append(log_line("log_lines_dropped").add("count", static_cast<long long>(_dropped - _dropped_reported)));
		_dropped_reported = _dropped;
	}
	const ssize_t written = ::write(STDOUT_FILENO, _buffer.data(), _buffer.size());
	if (written > 0) {
		_buffer.erase(0, static_cast<std::size_t>(written));
	}
	if (!_buffer.empty()) {
		_flush_timer.set(FLUSH_INTERVAL);
	}
}

} // namespace calicoscale
