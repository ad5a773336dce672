/*
 * calicoscale: share_budget.h
 * Budget for extra attempts, as a share of successful requests.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SHARE_BUDGET_H
#define SHARE_BUDGET_H

#include "core/time.h"

namespace calicoscale {

/**
 * Budget of extra attempts. Every success adds a share of one unit, every retry or hedge uses one unit. The budget also
 * refills slowly with time up to one unit, so that a node with few requests may still retry; that rate limits the
 * amplification at low request rates.
 */
class share_budget {
	double _share;
	double _balance;
	double _max_balance;
	double _reserve_per_second;
	instant _updated_at{};

	void _refill(instant p_now);

public:
	/**
	 * @param p_share units added by a success.
	 * @param p_max_balance maximum number of units.
	 * @param p_reserve_per_second units added per second while the balance is below one.
	 */
	share_budget(double p_share, double p_max_balance, double p_reserve_per_second);

	void set_share(double p_share) { _share = p_share; }

	/** Adds the share of one success. */
	void on_success(instant p_now);

	/** Uses one unit. Returns whether one was available. */
	bool try_spend(instant p_now);

	double get_balance() const { return _balance; }
};

} // namespace calicoscale

#endif // SHARE_BUDGET_H
