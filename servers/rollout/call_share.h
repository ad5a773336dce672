/*
 * calicoscale: call_share.h
 * Keeps the calls of one dispatcher to a version within its share.
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
 * Counts what one dispatcher called for since an order. A call carries pieces of many requests, so that its share is kept by
 * counting and not by choosing requests.
 */
class call_share {
	log_position _order;
	double _all = 0.0;
	double _at_target = 0.0;

public:
	/** A newer order begins to count anew. */
	void set_order(const log_position &p_order) {
		if (p_order != _order) {
			*this = call_share();
			_order = p_order;
		}
	}

	/** Whether a call of so many pieces to the target keeps within a share of all. */
	bool has_place(std::size_t p_pieces, double p_share) const { return p_share >= 1.0 || _at_target + static_cast<double>(p_pieces) <= p_share * _all; }

	void add(std::size_t p_pieces, bool p_is_at_target) {
		_all += static_cast<double>(p_pieces);
		_at_target += p_is_at_target ? static_cast<double>(p_pieces) : 0.0;
	}
};

} // namespace calicoscale

#endif // CALL_SHARE_H
