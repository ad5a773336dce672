/*
 * calicoscale: list_guard.h
 * Distrusts a platform list that shrank implausibly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LIST_GUARD_H
#define LIST_GUARD_H

#include "core/time.h"
#include "servers/routing/endpoint_state.h"

#include <vector>

namespace calicoscale {

/**
 * Stands between the platform's list and the routing table. New endpoints and leaving marks pass at once. A list that
 * lost more than half of the endpoints known is held back until it has said the same for a while; an empty list never
 * passes. What is kept meanwhile is the list accepted before, joined with what is new.
 */
class list_guard {
	std::vector<endpoint_listing> _accepted;
	instant _doubted_since{};
	bool _doubting = false;

	static std::vector<endpoint_listing> _join(const std::vector<endpoint_listing> &p_old, const std::vector<endpoint_listing> &p_new);

public:
	/** Takes a list and returns the one to route by. */
	std::vector<endpoint_listing> take(const std::vector<endpoint_listing> &p_list, instant p_now);

	/** Whether the last list is being held back. */
	bool is_doubting() const { return _doubting; }
};

} // namespace calicoscale

#endif // LIST_GUARD_H
