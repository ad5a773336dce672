/*
 * calicoscale: list_guard.h
 * Protects the routing table from implausibly short platform lists.
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
 * Filters the platform's list of endpoints for the routing table. New endpoints and leaving marks are applied at once. A list that
 * lacks more than half of the known endpoints is accepted only after lists have been that short for a minute; an empty list is never
 * accepted. Until then the endpoints known before are kept and merged with those of the list.
 */
class list_guard {
	std::vector<endpoint_listing> _accepted;
	instant _rejecting_since{};
	bool _is_rejecting = false;

	static std::vector<endpoint_listing> _merge(const std::vector<endpoint_listing> &p_old, const std::vector<endpoint_listing> &p_new);

public:
	/** Processes a list of the platform and returns the one to route by. */
	std::vector<endpoint_listing> take(const std::vector<endpoint_listing> &p_list, instant p_now);

	/** Whether the last list was not accepted as it is. */
	bool is_list_deferred() const { return _is_rejecting; }
};

} // namespace calicoscale

#endif // LIST_GUARD_H
