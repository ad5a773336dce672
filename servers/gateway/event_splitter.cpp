/*
 * calicoscale: event_splitter.cpp
 * Cuts a stream of events into whole events, so that a break never leaves half of one.
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

bool event_splitter::_pass_mark() {
	const std::string_view begun = std::string_view(_held).substr(0, BYTE_ORDER_MARK.size());
	if (begun.size() < BYTE_ORDER_MARK.size() && BYTE_ORDER_MARK.starts_with(begun)) {
		return false;
	}
	_is_at_start = false;
	if (begun != BYTE_ORDER_MARK) {
		return true;
	}
	if (_drops_mark) {
		_held.erase(0, BYTE_ORDER_MARK.size());
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
	_has_handed_part = false;
}

bool event_splitter::_take_line(std::string_view p_line) {
	if (_has_lost_line_start) {
		_has_lost_line_start = false;
		_has_field = true;
		// The line may have been the event's id.
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
		// The standard ignores such an id.
		if (id.find('\0') == std::string_view::npos) {
			_next_id = std::string(id);
		}
	}
	return false;
}

std::string event_splitter::take(std::string_view p_bytes) {
	std::size_t next = _held.size();
	_held.append(p_bytes);
	if (_is_at_start) {
		if (!_pass_mark()) {
			return "";
		}
		next = _line_start;
	}
	std::size_t whole = 0;
	while (next < _held.size()) {
		if (_is_after_return) {
			_is_after_return = false;
			if (_held[next] == '\n') {
				whole = next == whole ? next + 1 : whole;
				_line_start = ++next;
				continue;
			}
		}
		const std::size_t end = _held.find_first_of(LINE_ENDS, next);
		if (end == std::string::npos) {
			break;
		}
		_is_after_return = _held[end] == '\r';
		next = end + 1;
		if (_take_line(std::string_view(_held).substr(_line_start, end - _line_start))) {
			whole = next;
		}
		_line_start = next;
	}
	if (_held.size() - whole > _most_held) {
		_has_lost_line_start = _has_lost_line_start || _held.size() > _line_start;
		_has_handed_part = true;
		whole = _held.size();
	}
	std::string events = _held.substr(0, whole);
	_held.erase(0, whole);
	_has_handed_out = _has_handed_out || whole > 0;
	_line_start = _line_start > whole ? _line_start - whole : 0;
	return events;
}

bool event_splitter::is_inside_event() const {
	return _has_field || _has_handed_part || _held.size() > _line_start;
}

std::string event_splitter::take_rest() {
	std::string rest;
	rest.swap(_held);
	_line_start = 0;
	return rest;
}

void event_splitter::restart() {
	event_splitter next(_most_held);
	next._last_id = std::move(_last_id);
	next._events = _events;
	next._has_handed_out = _has_handed_out;
	next._drops_mark = _has_handed_out;
	*this = std::move(next);
}

} // namespace calicoscale
