/*
 * calicoscale: list_request.cpp
 * Selects the peer from which a node that knows no endpoints requests the list of them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/list_request.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** A list of 3,000 endpoints takes 0.3 s over a small link, and twice that when it is queued behind another list. */
constexpr duration FIRST_ANSWER_TIMEOUT = std::chrono::milliseconds(800);
constexpr duration MAX_ANSWER_TIMEOUT = std::chrono::seconds(4);
/** Approximate time until a node that declined has budget for a list again. */
constexpr duration DECLINED_PAUSE = std::chrono::milliseconds(400);
/** A node with at most this share of another one's cores is taken to have a smaller link, too. */
constexpr double MAX_SHARE_OF_LARGER = 0.5;

} // namespace

list_request::list_request() :
		_answer_timeout(FIRST_ANSWER_TIMEOUT) {
}

bool list_request::_is_better(const list_source &p_left, const list_source &p_right) const {
	if (p_left.is_same_zone != p_right.is_same_zone) {
		return p_left.is_same_zone;
	}
	return p_left.cores * MAX_SHARE_OF_LARGER >= p_right.cores;
}

std::string list_request::choose(const std::vector<list_source> &p_sources, double p_chance, instant p_now) {
	if (!_requested_from.empty() && p_now - _requested_at < _answer_timeout) {
		return "";
	}
	if (!_requested_from.empty()) {
		_not_before[_requested_from] = p_now + _answer_timeout;
		_requested_from.clear();
		_answer_timeout = std::min(_answer_timeout * 2, MAX_ANSWER_TIMEOUT);
	}
	std::vector<list_source> best;
	for (const list_source &source : p_sources) {
		const auto wait = _not_before.find(source.vm);
		if (wait != _not_before.end() && p_now < wait->second) {
			continue;
		}
		if (!best.empty() && _is_better(source, best.front())) {
			best.clear();
		}
		if (best.empty() || !_is_better(best.front(), source)) {
			best.push_back(source);
		}
	}
	if (best.empty()) {
		return "";
	}
	const std::size_t index = std::min(best.size() - 1, static_cast<std::size_t>(p_chance * static_cast<double>(best.size())));
	_requested_from = best[index].vm;
	_requested_at = p_now;
	return _requested_from;
}

void list_request::on_answered(const std::string &p_vm) {
	if (_requested_from == p_vm) {
		_requested_from.clear();
		_answer_timeout = FIRST_ANSWER_TIMEOUT;
	}
}

void list_request::on_declined(const std::string &p_vm, instant p_now) {
	_not_before[p_vm] = p_now + DECLINED_PAUSE;
	if (_requested_from == p_vm) {
		_requested_from.clear();
	}
}

} // namespace calicoscale
