/*
 * calicoscale: share_budget.h
 * Budget for extra work, as a share of successful work.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SHARE_BUDGET_H
#define SHARE_BUDGET_H

#include "core/time.h"

namespace calicoscale {

/**
 * Every success earns a share of one unit, every retry or hedge spends one. A small reserve refills with time so that
 * a quiet node may still retry; it is what bounds amplification at low rates.
 */
class share_budget {
	double _share;
	double _balance;
	double _highest;
	double _reserve_per_second;
	instant _updated{};

	void _refill(instant p_now);

public:
	/** @param p_share units earned by a success. @param p_highest most units kept. @param p_reserve_per_second units earned by waiting. */
	share_budget(double p_share, double p_highest, double p_reserve_per_second);

	void set_share(double p_share) { _share = p_share; }

	/** A request succeeded without extra work. */
	void on_success(instant p_now);

	/** Spends one unit if there is one. */
	bool try_spend(instant p_now);

	double get_balance() const { return _balance; }
};

} // namespace calicoscale

#endif // SHARE_BUDGET_H
