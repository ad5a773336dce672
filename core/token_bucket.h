/*
 * calicoscale: token_bucket.h
 * Token bucket; the caller passes the current time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TOKEN_BUCKET_H
#define TOKEN_BUCKET_H

#include "core/time.h"

namespace calicoscale {

/** Limits a rate and permits bursts. The caller passes the current time. */
class token_bucket {
	double _rate = 0.0;
	double _burst = 0.0;
	double _tokens = 0.0;
	instant _updated{};

	void _refill(instant p_now);

public:
	token_bucket() = default;

	/** @param p_rate tokens per second. @param p_burst maximum number of tokens; the bucket starts full. */
	token_bucket(double p_rate, double p_burst, instant p_now);

	/** Changes the rate and the burst; tokens above the new burst are discarded. */
	void set_rate(double p_rate, double p_burst, instant p_now);

	/** Removes tokens if that many are available. @return whether they were. */
	bool try_take(double p_tokens, instant p_now);

	/** Returns unused tokens to the bucket, up to the burst. */
	void give_back(double p_tokens);

	/** Time until that many tokens are available; duration::max() when the rate is zero. */
	duration get_wait(double p_tokens, instant p_now);

	double get_rate() const { return _rate; }
};

} // namespace calicoscale

#endif // TOKEN_BUCKET_H
