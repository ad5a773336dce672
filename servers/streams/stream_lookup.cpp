/*
 * calicoscale: stream_lookup.cpp
 * Concludes from the answers of other nodes which version began a stream.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/stream_lookup.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<lookup_state>, 4> STATE_NAMES{ {
		{ lookup_state::OPEN, "open" },
		{ lookup_state::FOUND, "found" },
		{ lookup_state::ABSENT, "absent" },
		{ lookup_state::UNANSWERED, "unanswered" },
} };

} // namespace

std::string_view get_name(lookup_state p_state) {
	return find_name(STATE_NAMES, p_state);
}

void stream_lookup::on_asked(const std::vector<std::string> &p_nodes) {
	_awaited.insert(p_nodes.begin(), p_nodes.end());
}

std::optional<lookup_round> stream_lookup::take_round(instant p_now) {
	const duration elapsed = p_now - _started_at;
	const lookup_round before = _round;
	if (_origin) {
		return std::nullopt;
	}
	if (_round == lookup_round::FIRST_SOURCES && (_awaited.empty() || elapsed >= WIDEN_TIME)) {
		_round = lookup_round::ALL_SOURCES;
	} else if (_round == lookup_round::ALL_SOURCES && elapsed >= RECHECK_TIME) {
		_round = lookup_round::ALL_REACHABLE;
	}
	return _round == before ? std::nullopt : std::optional(_round);
}

void stream_lookup::on_answer(const std::string &p_vm, const lookup_answer &p_answer) {
	_awaited.erase(p_vm);
	if (p_answer.origin && !_origin) {
		_origin = p_answer.origin;
		_source = p_vm;
	}
}

lookup_state stream_lookup::get_state(instant p_now) const {
	if (_origin) {
		return lookup_state::FOUND;
	}
	if (_round == lookup_round::ALL_REACHABLE && _awaited.empty()) {
		return lookup_state::ABSENT;
	}
	return p_now >= _expires_at ? lookup_state::UNANSWERED : lookup_state::OPEN;
}

} // namespace calicoscale
