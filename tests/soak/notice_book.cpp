/*
 * calicoscale: notice_book.cpp
 * Knows what endpoints of a soak said about themselves in their answers, and checks what they are sent since.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/notice_book.h"

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr duration LIMIT_SPAN = milliseconds(4000);
/** From when an endpoint names its limit until all nodes must keep it. */
constexpr duration LIMIT_GRACE = milliseconds(3000);
constexpr double LIMIT_MARGIN = 1.5;
constexpr double LIMIT_SLACK = 5.0;
/** A node counts so long after it was told. */
constexpr duration TOLD_FOR = milliseconds(500);
constexpr duration LEAVING_BOUND = milliseconds(2000);
constexpr std::size_t MOST_IN_REST = 2;

} // namespace

void notice_book::set(std::size_t p_endpoint, const soak_notice &p_notice, instant p_now) {
	endpoint_notices &notices = _endpoints[p_endpoint];
	if (p_notice.limit != notices.says.limit) {
		notices.limit_since = p_notice.limit ? std::optional(p_now) : std::nullopt;
		notices.told_limit.clear();
		notices.arrivals.clear();
	}
	notices.says = p_notice;
}

void notice_book::on_arrival(std::size_t p_endpoint, const std::string &p_id, instant p_now) {
	const std::shared_ptr<soak_attempt> attempt = _book.find(p_id);
	if (attempt == nullptr) {
		return;
	}
	endpoint_notices &notices = _endpoints[p_endpoint];
	const node_life from{ attempt->node, attempt->node_life };
	const auto told = notices.told_limit.find(from);
	if (told != notices.told_limit.end() && p_now >= told->second + TOLD_FOR) {
		notices.arrivals.push_back(arrival{ from, p_now });
		_check_limit(p_endpoint, notices, p_now);
	}
	_check_leaving(p_endpoint, notices, *attempt, p_now);
	_check_rest(p_endpoint, notices, from, p_now);
}

void notice_book::_check_limit(std::size_t p_endpoint, endpoint_notices &r_notices, instant p_now) {
	while (!r_notices.arrivals.empty() && p_now - r_notices.arrivals.front().at >= LIMIT_SPAN) {
		r_notices.arrivals.pop_front();
	}
	if (!r_notices.says.limit || !r_notices.limit_since || p_now < *r_notices.limit_since + LIMIT_GRACE + LIMIT_SPAN) {
		return;
	}
	std::size_t count = 0;
	for (const arrival &entry : r_notices.arrivals) {
		const check_scope scope{ entry.from.node, false, { p_endpoint }, p_now - LIMIT_SPAN, p_now };
		count += _disturbances.find_excuse(promise::LIMIT_IS_KEPT, scope).empty() ? 1 : 0;
	}
	const double allowed = *r_notices.says.limit * LIMIT_MARGIN * to_seconds(LIMIT_SPAN) + LIMIT_SLACK;
	if (static_cast<double>(count) > allowed) {
		_book.judge(promise::LIMIT_IS_KEPT, {}, "endpoint " + std::to_string(p_endpoint) + " that names " + std::to_string(*r_notices.says.limit) + " a second got " + std::to_string(count) + " requests in 4 s of calm nodes that it had told");
	}
}

void notice_book::_check_leaving(std::size_t p_endpoint, const endpoint_notices &p_notices, const soak_attempt &p_attempt, instant p_now) {
	const auto told = p_notices.told_leaving.find(node_life{ p_attempt.node, p_attempt.node_life });
	if (told == p_notices.told_leaving.end() || p_attempt.begun_at <= told->second + LEAVING_BOUND) {
		return;
	}
	const check_scope scope{ p_attempt.node, false, { p_endpoint }, told->second, p_now };
	_book.judge(promise::WORD_OF_LEAVING_IS_KEPT, scope, p_attempt.id + " reached endpoint " + std::to_string(p_endpoint) + " " + std::to_string((p_now - told->second).count() / 1000) + " ms after node " + std::to_string(p_attempt.node) + " was told that it leaves");
}

void notice_book::_check_rest(std::size_t p_endpoint, endpoint_notices &r_notices, const node_life &p_from, instant p_now) {
	for (asked_rest &rest : r_notices.rests[p_from]) {
		const bool is_within = p_now > rest.from && p_now < rest.until;
		if (is_within && ++rest.arrivals > MOST_IN_REST) {
			const check_scope scope{ p_from.node, false, { p_endpoint }, rest.from - TOLD_FOR, p_now };
			_book.judge(promise::REST_IS_GIVEN, scope, "endpoint " + std::to_string(p_endpoint) + " got " + std::to_string(rest.arrivals) + " requests of node " + std::to_string(p_from.node) + " within a rest that it had asked for");
		}
	}
}

void notice_book::on_told(std::size_t p_endpoint, const std::string &p_id, instant p_now) {
	const std::shared_ptr<soak_attempt> attempt = _book.find(p_id);
	// A node whose caller has gone does not read the answer.
	if (attempt == nullptr || attempt->has_ended) {
		return;
	}
	endpoint_notices &notices = _endpoints[p_endpoint];
	const node_life to{ attempt->node, attempt->node_life };
	if (notices.says.limit) {
		notices.told_limit.try_emplace(to, p_now);
	}
	if (notices.says.is_leaving) {
		notices.told_leaving.try_emplace(to, p_now);
	}
	if (notices.says.rest > duration::zero()) {
		notices.rests[to].push_back(asked_rest{ p_now + TOLD_FOR, p_now + notices.says.rest, 0 });
	}
}

} // namespace calicoscale
