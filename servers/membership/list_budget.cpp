/*
 * calicoscale: list_budget.cpp
 * Limits the share of its link that a node uses to send the list of endpoints to nodes that have just started.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/list_budget.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** The remaining share is for work, answers and heartbeats. */
constexpr double LINK_SHARE = 0.5;
/** Unused budget accumulates up to this many seconds' worth. */
constexpr double MAX_SAVED_SECONDS = 0.25;
/** A peer that is not ready after this time may have lost the list. The pause doubles with each further list. */
constexpr duration FIRST_RESEND_PAUSE = std::chrono::milliseconds(1000);
constexpr duration MAX_RESEND_PAUSE = std::chrono::seconds(8);

} // namespace

list_budget::list_budget(double p_link_bytes) :
		_bytes_per_second(p_link_bytes * LINK_SHARE), _available_bytes(_bytes_per_second * MAX_SAVED_SECONDS) {
}

bool list_budget::try_spend(std::size_t p_bytes, instant p_now) {
	if (_refilled_at != instant{}) {
		_available_bytes = std::min(_available_bytes + to_seconds(p_now - _refilled_at) * _bytes_per_second, _bytes_per_second * MAX_SAVED_SECONDS);
	}
	_refilled_at = p_now;
	// One list may overdraw the budget, so that a list of any size can be sent; the next one waits until the deficit is made up.
	if (_available_bytes <= 0.0) {
		return false;
	}
	_available_bytes -= static_cast<double>(p_bytes);
	return true;
}

bool list_budget::try_send(const std::string &p_peer, std::uint64_t p_incarnation, std::size_t p_bytes, instant p_now) {
	const auto known = _sent.find(p_peer);
	const bool was_sent = known != _sent.end() && known->second.incarnation == p_incarnation;
	if (was_sent && p_now - known->second.at < known->second.pause) {
		return false;
	}
	if (!try_spend(p_bytes, p_now)) {
		return false;
	}
	const duration pause = was_sent ? std::min(known->second.pause * 2, MAX_RESEND_PAUSE) : FIRST_RESEND_PAUSE;
	_sent[p_peer] = sent_list{ p_incarnation, p_now, pause };
	return true;
}

} // namespace calicoscale
