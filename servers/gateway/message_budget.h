/*
 * calicoscale: message_budget.h
 * How many messages a node may send at once beyond those of its heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef MESSAGE_BUDGET_H
#define MESSAGE_BUDGET_H

#include "core/time.h"

#include <cstddef>

namespace calicoscale {

/** Bounds what a node spends on telling others at once, whatever the size of the fleet and its load. */
class message_budget {
	double _tokens;
	instant _filled_at{};

public:
	message_budget();

	/** Whether so many messages are within the budget; takes them out of it if so. */
	bool try_spend(std::size_t p_messages, instant p_now);
};

} // namespace calicoscale

#endif // MESSAGE_BUDGET_H
