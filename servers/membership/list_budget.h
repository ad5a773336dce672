/*
 * calicoscale: list_budget.h
 * Limits the share of its link that a node uses to send the list of endpoints to nodes that have just started.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LIST_BUDGET_H
#define LIST_BUDGET_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace calicoscale {

/**
 * Decides whether a node sends the list of all endpoints to a peer that has just started. It limits the load when a whole fleet
 * restarts at once: a list of 3,000 endpoints is some 300 KB, and a node that sends it to each of 300 peers, and again each second
 * until they are ready, saturates its link for minutes and delays heartbeats and work. A node that gets no list from a peer reads the
 * store itself, and each node that has the list sends it to others.
 */
class list_budget {
	struct sent_list {
		std::uint64_t incarnation = 0;
		instant at{};
		duration pause = duration::zero(); ///< Minimum time until the list is sent again.
	};

	double _bytes_per_second;
	double _available_bytes;
	instant _refilled_at{};
	std::map<std::string, sent_list> _sent;

public:
	/** @param p_link_bytes capacity of the node's link in bytes per second. */
	explicit list_budget(double p_link_bytes);

	/** Whether to send the list to a peer that requested it; if so, its bytes are deducted from the budget. @param p_bytes size of the list. */
	bool try_spend(std::size_t p_bytes, instant p_now);

	/**
	 * Whether to send the list to a peer that did not request it; if so, it is recorded as sent and its bytes are deducted.
	 * @param p_incarnation incarnation of the peer; after its restart the list is sent again without a pause. @param p_bytes size of the list.
	 */
	bool try_send(const std::string &p_peer, std::uint64_t p_incarnation, std::size_t p_bytes, instant p_now);
};

} // namespace calicoscale

#endif // LIST_BUDGET_H
