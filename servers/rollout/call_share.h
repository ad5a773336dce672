/*
 * calicoscale: call_share.h
 * Limits the calls of one dispatcher to the target version to a share of all its calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALL_SHARE_H
#define CALL_SHARE_H

#include "core/log_position.h"

#include <cstddef>

namespace calicoscale {

/**
 * Counts the items that one dispatcher has sent since an order. A call carries items of many requests, so the share is enforced
 * by counting items and not by selecting requests.
 */
class call_share {
	log_position _order;
	double _all = 0.0;
	double _at_target = 0.0;

public:
	/** Sets the order in force; another order resets the counts. */
	void set_order(const log_position &p_order) {
		if (p_order != _order) {
			*this = call_share();
			_order = p_order;
		}
	}

	/** Returns whether a call of p_items items to the target stays within p_share of all items. */
	bool fits_share(std::size_t p_items, double p_share) const { return p_share >= 1.0 || _at_target + static_cast<double>(p_items) <= p_share * _all; }

	void add(std::size_t p_items, bool p_is_at_target) {
		_all += static_cast<double>(p_items);
		_at_target += p_is_at_target ? static_cast<double>(p_items) : 0.0;
	}
};

} // namespace calicoscale

#endif // CALL_SHARE_H
