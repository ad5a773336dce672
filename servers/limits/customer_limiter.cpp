/*
 * calicoscale: customer_limiter.cpp
 * Limits the request rate and concurrency of each customer at this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/customer_limiter.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

constexpr double DEMAND_DECAY_SECONDS = 2.0;
constexpr double MIN_DEMAND = 0.01;
constexpr duration RETRY_AFTER_CONCURRENCY = std::chrono::milliseconds(200);
constexpr duration MAX_RETRY_AFTER = std::chrono::seconds(30);

double decay_demand(double p_demand, instant p_since, instant p_now) {
	if (p_now <= p_since) {
		return p_demand;
	}
	return p_demand * std::exp(-to_seconds(p_now - p_since) / DEMAND_DECAY_SECONDS);
}

} // namespace

void customer_limiter::set_part(const std::string &p_customer, const customer_limits &p_limits, const node_limit_share &p_part, instant p_now) {
	customer_state &state = _customers[p_customer];
	state.limits = p_limits;
	state.part = p_part;
	const double rate = p_limits.requests_per_second * p_part.rate_share;
	// A bucket of less than one token could never admit a request. With a small share, the rate alone limits the requests.
	const double burst = std::max(1.0, rate * p_limits.burst_seconds);
	if (!state.has_part) {
		state.bucket = token_bucket(rate, burst, p_now);
		state.has_part = true;
		return;
	}
	state.bucket.set_rate(rate, burst, p_now);
}

void customer_limiter::forget(const std::string &p_customer) {
	const auto found = _customers.find(p_customer);
	if (found != _customers.end() && found->second.running == 0) {
		_customers.erase(found);
	}
}

void customer_limiter::_record_demand(customer_state &p_state, instant p_now) {
	p_state.demand = decay_demand(p_state.demand, p_state.demand_at, p_now) + 1.0 / DEMAND_DECAY_SECONDS;
	p_state.demand_at = p_now;
}

admission_answer customer_limiter::ask(const std::string &p_customer, instant p_now) {
	const auto found = _customers.find(p_customer);
	if (found == _customers.end()) {
		return admission_answer{ false, reason::NOT_READY, RETRY_AFTER_CONCURRENCY };
	}
	customer_state &state = found->second;
	_record_demand(state, p_now);
	if (state.running >= state.part.concurrency) {
		return admission_answer{ false, reason::CUSTOMER_CONCURRENCY, RETRY_AFTER_CONCURRENCY };
	}
	if (!state.bucket.try_take(1.0, p_now)) {
		const duration wait = std::min(MAX_RETRY_AFTER, state.bucket.get_wait(1.0, p_now));
		return admission_answer{ false, reason::CUSTOMER_RATE, wait };
	}
	state.running++;
	return admission_answer{ true, reason::NONE, duration::zero() };
}

void customer_limiter::on_ended(const std::string &p_customer) {
	const auto found = _customers.find(p_customer);
	if (found != _customers.end()) {
		found->second.running--;
	}
}

customer_demands customer_limiter::get_demand(instant p_now) const {
	customer_demands demand;
	for (const auto &[name, state] : _customers) {
		const double decayed = decay_demand(state.demand, state.demand_at, p_now);
		if (decayed >= MIN_DEMAND) {
			demand.emplace(get_customer_code(name), decayed);
		}
	}
	return demand;
}

int customer_limiter::get_running(const std::string &p_customer) const {
	const auto found = _customers.find(p_customer);
	return found == _customers.end() ? 0 : found->second.running;
}

} // namespace calicoscale
