/*
 * calicoscale: customer_limiter.h
 * Limits the request rate and concurrency of each customer at this node.
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

/** Result of a request for admission. */
struct admission_answer {
	bool admitted = false;
	reason why = reason::NONE;
	duration retry_after = duration::zero(); ///< Time after which a rejected request may be retried.
};

/** Limits each customer's request rate and concurrency at this node to the node's share of the customer's limits. */
class customer_limiter {
	struct customer_state {
		token_bucket bucket;
		customer_limits limits;
		node_limit_share part;
		int running = 0;
		double demand = 0.0; ///< Requests per second, exponentially decaying.
		instant demand_at{}; ///< When demand was last updated.
		bool has_part = false;
	};

	std::map<std::string, customer_state, std::less<>> _customers;

	void _record_demand(customer_state &p_state, instant p_now);

public:
	/** Sets a customer's limits and this node's share of them. */
	void set_part(const std::string &p_customer, const customer_limits &p_limits, const node_limit_share &p_part, instant p_now);

	/** Removes a customer that is no longer configured; does nothing while it has running requests. */
	void forget(const std::string &p_customer);

	/** Requests admission of one request. Each admitted request must be followed by one call of on_ended. */
	admission_answer ask(const std::string &p_customer, instant p_now);

	/** Records the end of an admitted request. */
	void on_ended(const std::string &p_customer);

	/** Returns the recent request rate of each customer in requests per second, including rejected requests. */
	customer_demands get_demand(instant p_now) const;

	/** Returns the number of running requests of a customer. */
	int get_running(const std::string &p_customer) const;
};

} // namespace calicoscale

#endif // CUSTOMER_LIMITER_H
