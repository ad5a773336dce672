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

constexpr std::string_view ID_FIELD = "id:";

/** Place behind the blank line that ends an event, from a start on; npos when there is none yet. */
std::size_t find_event_end(std::string_view p_bytes, std::size_t p_start) {
	for (std::size_t i = p_bytes.find('\n', p_start); i != std::string_view::npos; i = p_bytes.find('\n', i + 1)) {
		if (i + 1 < p_bytes.size() && p_bytes[i + 1] == '\n') {
			return i + 2;
		}
		if (i + 2 < p_bytes.size() && p_bytes[i + 1] == '\r' && p_bytes[i + 2] == '\n') {
			return i + 3;
		}
	}
	return std::string_view::npos;
}

} // namespace

void event_splitter::_note_id(std::string_view p_event) {
	std::size_t start = 0;
	while (start < p_event.size()) {
		const std::size_t end = p_event.find('\n', start);
		std::string_view line = p_event.substr(start, end == std::string_view::npos ? end : end - start);
		if (line.starts_with(ID_FIELD)) {
			line.remove_prefix(ID_FIELD.size());
			while (!line.empty() && line.front() == ' ') {
				line.remove_prefix(1);
			}
			while (!line.empty() && line.back() == '\r') {
				line.remove_suffix(1);
			}
			_last_id = std::string(line);
		}
		if (end == std::string_view::npos) {
			return;
		}
		start = end + 1;
	}
}

std::string event_splitter::take(std::string_view p_bytes) {
	_pending.append(p_bytes);
	std::size_t whole = 0;
	for (std::size_t end = find_event_end(_pending, 0); end != std::string::npos; end = find_event_end(_pending, end)) {
		_note_id(std::string_view(_pending).substr(whole, end - whole));
		whole = end;
	}
	std::string events = _pending.substr(0, whole);
	_pending.erase(0, whole);
	return events;
}

std::string event_splitter::take_rest() {
	std::string rest;
	rest.swap(_pending);
	return rest;
}

} // namespace calicoscale
