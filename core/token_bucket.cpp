/*
 * calicoscale: token_bucket.cpp
 * Token bucket; the caller passes the current time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/token_bucket.h"

#include <algorithm>

namespace calicoscale {

token_bucket::token_bucket(double p_rate, double p_burst, instant p_now) :
		_rate(p_rate), _burst(p_burst), _tokens(p_burst), _updated(p_now) {
}

void token_bucket::_refill(instant p_now) {
	if (p_now <= _updated) {
		return;
	}
	_tokens = std::min(_burst, _tokens + _rate * to_seconds(p_now - _updated));
	_updated = p_now;
}

void token_bucket::set_rate(double p_rate, double p_burst, instant p_now) {
	_refill(p_now);
	_rate = p_rate;
	_burst = p_burst;
	_tokens = std::min(_tokens, _burst);
}

bool token_bucket::try_take(double p_tokens, instant p_now) {
	_refill(p_now);
	if (_tokens < p_tokens) {
		return false;
	}
	_tokens -= p_tokens;
	return true;
}

void token_bucket::give_back(double p_tokens) {
	_tokens = std::min(_burst, _tokens + p_tokens);
}

duration token_bucket::get_wait(double p_tokens, instant p_now) {
	_refill(p_now);
	if (_tokens >= p_tokens) {
		return duration::zero();
	}
	if (_rate <= 0.0) {
		return duration::max();
	}
	return from_seconds((p_tokens - _tokens) / _rate);
}

} // namespace calicoscale
