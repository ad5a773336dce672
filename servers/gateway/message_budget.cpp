/*
 * calicoscale: message_budget.cpp
 * How many messages a node may send at once beyond those of its heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/message_budget.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Messages a second: at 25 us each (assumed) half a percent of a processor core. */
constexpr double MESSAGES_PER_SECOND = 200.0;
/** A second's worth, as sends come in bursts. */
constexpr double MOST_SAVED_MESSAGES = 200.0;

} // namespace

message_budget::message_budget() :
		_tokens(MOST_SAVED_MESSAGES) {
}

bool message_budget::try_spend(std::size_t p_messages, instant p_now) {
	if (_filled_at != instant{}) {
		_tokens = std::min(MOST_SAVED_MESSAGES, _tokens + to_seconds(p_now - _filled_at) * MESSAGES_PER_SECOND);
	}
	_filled_at = p_now;
	if (_tokens < static_cast<double>(p_messages)) {
		return false;
	}
	_tokens -= static_cast<double>(p_messages);
	return true;
}

} // namespace calicoscale
