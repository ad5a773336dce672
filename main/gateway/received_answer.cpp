/*
 * calicoscale: received_answer.cpp
 * The answer of an endpoint to one send, as far as it has been received.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/received_answer.h"

#include "core/enum_names.h"
#include "drivers/http_status.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<answer_end>, 5> END_NAMES{ {
		{ answer_end::COMPLETE, "whole" },
		{ answer_end::NOT_SENT, "not_sent" },
		{ answer_end::LOST, "lost" },
		{ answer_end::TRUNCATED, "cut" },
		{ answer_end::MALFORMED, "malformed" },
} };

} // namespace

std::string_view get_name(answer_end p_end) {
	return find_name(END_NAMES, p_end);
}

answer_end get_answer_end(channel_end p_end) {
	switch (p_end) {
		case channel_end::CONNECT_FAILED:
			return answer_end::NOT_SENT;
		case channel_end::BROKEN:
			return answer_end::LOST;
		case channel_end::MALFORMED:
			return answer_end::MALFORMED;
		case channel_end::COMPLETE:
			break;
	}
	return answer_end::COMPLETE;
}

void received_answer::restart() {
	_head = http_head();
	_notes = endpoint_answer();
	_body.clear();
	_bytes = 0;
	_events.restart();
}

void received_answer::take_head(const http_head &p_head) {
	_head = p_head;
	_notes = read_endpoint_answer(p_head);
}

bool received_answer::is_stream() const {
	return _expected != expected_answer::PLAIN && http_status::is_success(_head.status) && _notes.is_event_stream;
}

bool received_answer::is_unsealed_success() const {
	return http_status::is_success(_head.status) && !_notes.has_seal;
}

std::string received_answer::take_body(std::string_view p_bytes) {
	_bytes += p_bytes.size();
	if (is_stream()) {
		return _notes.has_seal ? _events.take(p_bytes) : "";
	}
	_body.append(p_bytes);
	return "";
}

answer_end received_answer::judge(channel_end p_end) const {
	const answer_end end = get_answer_end(p_end);
	if (end != answer_end::COMPLETE) {
		return end;
	}
	if (!is_stream()) {
		return _body.is_complete() ? answer_end::COMPLETE : answer_end::TRUNCATED;
	}
	const bool lacks_events = _expected == expected_answer::STREAM && !_head.has_length() && _events.get_event_count() == 0;
	return _events.is_inside_event() || lacks_events ? answer_end::TRUNCATED : answer_end::COMPLETE;
}

} // namespace calicoscale
