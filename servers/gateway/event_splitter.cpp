/*
 * calicoscale: event_splitter.cpp
 * Splits an event stream into complete events, so that an interruption never leaves a partial event.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/event_splitter.h"

namespace calicoscale {

namespace {

constexpr std::string_view BYTE_ORDER_MARK = "\xEF\xBB\xBF";
constexpr std::string_view LINE_ENDS = "\r\n";
constexpr std::string_view ID_FIELD = "id";

} // namespace

bool event_splitter::_check_mark() {
	const std::string_view begun = std::string_view(_buffer).substr(0, BYTE_ORDER_MARK.size());
	if (begun.size() < BYTE_ORDER_MARK.size() && BYTE_ORDER_MARK.starts_with(begun)) {
		return false;
	}
	_is_at_start = false;
	if (begun != BYTE_ORDER_MARK) {
		return true;
	}
	if (_drops_mark) {
		_buffer.erase(0, BYTE_ORDER_MARK.size());
	} else {
		_line_start = BYTE_ORDER_MARK.size();
	}
	return true;
}

void event_splitter::_end_event() {
	if (_next_id) {
		_last_id = std::move(*_next_id);
	}
	_next_id.reset();
	_events += _has_field ? 1 : 0;
	_has_field = false;
	_has_returned_part = false;
}

bool event_splitter::_process_line(std::string_view p_line) {
	if (_has_returned_line_start) {
		_has_returned_line_start = false;
		_has_field = true;
		// The line may have been the event's id, which is unknown now.
		_next_id = _next_id.value_or("");
		return false;
	}
	if (p_line.empty()) {
		_end_event();
		return true;
	}
	const std::size_t colon = p_line.find(':');
	_has_field = _has_field || colon != 0;
	if (p_line.substr(0, colon) == ID_FIELD) {
		std::string_view id = colon == std::string_view::npos ? std::string_view() : p_line.substr(colon + 1);
		id.remove_prefix(id.starts_with(' ') ? 1 : 0);
		// The standard requires that an id with a null character is ignored.
		if (id.find('\0') == std::string_view::npos) {
			_next_id = std::string(id);
		}
	}
	return false;
}

std::string event_splitter::take(std::string_view p_bytes) {
	std::size_t next = _buffer.size();
	_buffer.append(p_bytes);
	if (_is_at_start) {
		if (!_check_mark()) {
			return "";
		}
		next = _line_start;
	}
	std::size_t complete_bytes = 0;
	while (next < _buffer.size()) {
		if (_is_after_return) {
			_is_after_return = false;
			if (_buffer[next] == '\n') {
				complete_bytes = next == complete_bytes ? next + 1 : complete_bytes;
				_line_start = ++next;
				continue;
			}
		}
		const std::size_t end = _buffer.find_first_of(LINE_ENDS, next);
		if (end == std::string::npos) {
			break;
		}
		_is_after_return = _buffer[end] == '\r';
		next = end + 1;
		if (_process_line(std::string_view(_buffer).substr(_line_start, end - _line_start))) {
			complete_bytes = next;
		}
		_line_start = next;
	}
	if (_buffer.size() - complete_bytes > _max_buffered) {
		_has_returned_line_start = _has_returned_line_start || _buffer.size() > _line_start;
		_has_returned_part = true;
		complete_bytes = _buffer.size();
	}
	std::string events = _buffer.substr(0, complete_bytes);
	_buffer.erase(0, complete_bytes);
	_has_returned_bytes = _has_returned_bytes || complete_bytes > 0;
	_line_start = _line_start > complete_bytes ? _line_start - complete_bytes : 0;
	return events;
}

bool event_splitter::is_inside_event() const {
	return _has_field || _has_returned_part || _buffer.size() > _line_start;
}

std::string event_splitter::take_remainder() {
	std::string remainder;
	remainder.swap(_buffer);
	_line_start = 0;
	return remainder;
}

void event_splitter::restart() {
	event_splitter next(_max_buffered);
	next._last_id = std::move(_last_id);
	next._events = _events;
	next._has_returned_bytes = _has_returned_bytes;
	next._drops_mark = _has_returned_bytes;
	*this = std::move(next);
}

} // namespace calicoscale
