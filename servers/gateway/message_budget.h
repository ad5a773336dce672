/*
 * calicoscale: message_budget.h
 * Budget of messages that a node may send immediately, in addition to its heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef MESSAGE_BUDGET_H
#define MESSAGE_BUDGET_H

#include "core/time.h"

#include <cstddef>

namespace calicoscale {

/** Token bucket that bounds a node's cost of immediate messages, whatever the size and load of the fleet. */
class message_budget {
	double _tokens;
	instant _filled_at{};

public:
	message_budget();

	/** Returns whether the budget covers a number of messages, and subtracts them if so. */
	bool try_spend(std::size_t p_messages, instant p_now);
};

} // namespace calicoscale

#endif // MESSAGE_BUDGET_H
