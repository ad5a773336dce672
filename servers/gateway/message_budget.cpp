/*
 * calicoscale: message_budget.cpp
 * Budget of messages that a node may send immediately, in addition to its heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/message_budget.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** At an assumed 25 us for each message this is half a percent of a processor core. */
constexpr double MESSAGES_PER_SECOND = 200.0;
/** Budget of one second, because messages are sent in bursts. */
constexpr double MAX_SAVED_MESSAGES = 200.0;

} // namespace

message_budget::message_budget() :
		_tokens(MAX_SAVED_MESSAGES) {
}

bool message_budget::try_spend(std::size_t p_messages, instant p_now) {
	if (_filled_at != instant{}) {
		_tokens = std::min(MAX_SAVED_MESSAGES, _tokens + to_seconds(p_now - _filled_at) * MESSAGES_PER_SECOND);
	}
	_filled_at = p_now;
	if (_tokens < static_cast<double>(p_messages)) {
		return false;
	}
	_tokens -= static_cast<double>(p_messages);
	return true;
}

} // namespace calicoscale
