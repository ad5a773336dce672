/*
 * calicoscale: pool_gate.cpp
 * Admission to one pool: concurrency limit, queue and budgets for retries and hedges.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/pool_gate.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr double START_LIMIT = 16.0;
constexpr double MIN_LIMIT = 2.0;
constexpr double MAX_LIMIT = 2048.0;
constexpr double MAX_BUDGET = 10.0;
constexpr double RETRY_RESERVE_PER_SECOND = 0.5;
constexpr double HEDGE_RESERVE_PER_SECOND = 0.05;
constexpr double DEFAULT_RETRY_SHARE = 0.1;
constexpr double DEFAULT_SPARE_RETRY_SHARE = 0.7;
constexpr double DEFAULT_HEDGE_SHARE = 0.04;
constexpr double AVERAGE_WEIGHT = 0.05;
/** Above this share of refusals the whole pool is considered overloaded, rather than single endpoints busy. */
constexpr double OVERLOAD_REFUSED_SHARE = 0.2;

} // namespace

pool_gate::pool_gate(std::size_t p_queue_capacity) :
		_limit(START_LIMIT, MIN_LIMIT, MAX_LIMIT),
		_queue(p_queue_capacity),
		_retries(DEFAULT_RETRY_SHARE, MAX_BUDGET, RETRY_RESERVE_PER_SECOND),
		_spare_retries(DEFAULT_SPARE_RETRY_SHARE, MAX_BUDGET, 0.0),
		_hedges(DEFAULT_HEDGE_SHARE, MAX_BUDGET, HEDGE_RESERVE_PER_SECOND) {
}

void pool_gate::set_shares(double p_retry_share, double p_spare_retry_share, double p_hedge_share) {
	_retries.set_share(p_retry_share);
	_spare_retries.set_share(p_spare_retry_share);
	_hedges.set_share(p_hedge_share);
}

void pool_gate::_fill(instant p_now, gate_changes &r_changes) {
	while (_limit.has_capacity()) {
		const std::optional<queued_request> next = _queue.pop(p_now, r_changes.expired);
		if (!next) {
			return;
		}
		_limit.on_started();
		r_changes.admitted.push_back(next->id);
	}
}

void pool_gate::_record_refusal(double p_sample) {
	_refused_share += (p_sample - _refused_share) * AVERAGE_WEIGHT;
}

gate_changes pool_gate::enter(const queued_request &p_request, instant p_now) {
	gate_changes changes;
	const std::optional<dropped_request> dropped = _queue.push(p_request);
	if (dropped) {
		changes.evicted_requests.push_back(*dropped);
	}
	_fill(p_now, changes);
	return changes;
}

gate_changes pool_gate::leave(slot_outcome p_use, duration p_held_time, double p_relative_latency, instant p_now) {
	switch (p_use) {
		case slot_outcome::SUCCEEDED:
			_limit.on_success(p_relative_latency);
			_retries.on_success(p_now);
			_spare_retries.on_success(p_now);
			_hedges.on_success(p_now);
			_record_refusal(0.0);
			break;
		case slot_outcome::REFUSED:
			_limit.on_refused(p_now);
			_record_refusal(1.0);
			break;
		case slot_outcome::FAILED:
			_limit.on_ended();
			break;
	}
	const double held_seconds = to_seconds(p_held_time);
	_seconds_per_slot = _seconds_per_slot <= 0.0 ? held_seconds : _seconds_per_slot + (held_seconds - _seconds_per_slot) * AVERAGE_WEIGHT;
	gate_changes changes;
	_fill(p_now, changes);
	return changes;
}

gate_changes pool_gate::expire(instant p_now) {
	gate_changes changes;
	changes.expired = _queue.drop_expired(p_now);
	_fill(p_now, changes);
	return changes;
}

bool pool_gate::_has_spare_capacity() const {
	return _queue.get_size() == 0 && static_cast<double>(_limit.get_in_flight()) * 2.0 <= _limit.get_limit();
}

bool pool_gate::may_retry(instant p_now) {
	if (_refused_share > OVERLOAD_REFUSED_SHARE) {
		return false;
	}
	// With spare capacity a retry doesn't displace other requests; otherwise only the small budget applies.
	return _retries.try_spend(p_now) || (_has_spare_capacity() && _spare_retries.try_spend(p_now));
}

bool pool_gate::may_hedge(instant p_now) {
	const bool has_spare = _queue.get_size() == 0 && _refused_share <= OVERLOAD_REFUSED_SHARE;
	return has_spare && _hedges.try_spend(p_now);
}

duration pool_gate::estimate_wait(const std::string &p_customer, double p_weight) const {
	if (_limit.has_capacity()) {
		return duration::zero();
	}
	const double ahead = _queue.count_ahead(p_customer, p_weight);
	return from_seconds(ahead * _seconds_per_slot / std::max(1.0, _limit.get_limit()));
}

} // namespace calicoscale
