/*
 * calicoscale: customer_limiter.h
 * Rate and concurrency of each customer at this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CUSTOMER_LIMITER_H
#define CUSTOMER_LIMITER_H

#include "core/token_bucket.h"
#include "core/verdict.h"
#include "servers/configuration/configuration.h"
#include "servers/limits/limit_share.h"

#include <map>
#include <string>

namespace calicoscale {

/** Answer to a customer that asks to be admitted. */
struct admission_answer {
	bool admitted = false;
	reason why = reason::NONE;
	duration retry_after = duration::zero();
};

/** Counts and limits each customer's requests at this node. */
class customer_limiter {
	struct customer_state {
		token_bucket bucket;
		customer_limits limits;
		limit_part part;
		int running = 0;
		double demand = 0.0; ///< Requests a second, faded.
		instant demand_at{};
		bool has_part = false;
	};

	std::map<std::string, customer_state, std::less<>> _customers;

	void _note_demand(customer_state &p_state, instant p_now);

public:
	/** Sets a customer's limits and this node's part of them. */
	void set_part(const std::string &p_customer, const customer_limits &p_limits, const limit_part &p_part, instant p_now);

	/** Forgets a customer that the configuration no longer has, once it has nothing running. */
	void forget(const std::string &p_customer);

	/** A customer asks to run one request; an admitted one has to be ended by on_ended. */
	admission_answer ask(const std::string &p_customer, instant p_now);

	/** An admitted request ended. */
	void on_ended(const std::string &p_customer);

	/** Requests a second each customer asked for lately, admitted or not. */
	customer_demands get_demand(instant p_now) const;

	/** Requests running for a customer. */
	int get_running(const std::string &p_customer) const;
};

} // namespace calicoscale

#endif // CUSTOMER_LIMITER_H
