/*
 * calicoscale: list_request.h
 * Selects the peer from which a node that knows no endpoints requests the list of them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LIST_REQUEST_H
#define LIST_REQUEST_H

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** A linked node that accepts requests and therefore knows the endpoints. */
struct list_source {
	std::string vm;
	bool is_same_zone = false; ///< In the availability zone of the requesting node.
	double cores = 1.0;
};

/**
 * Requests the list from one node at a time, so that it is transferred once. It limits the load when a whole fleet restarts at
 * once: if nodes sent the list without a request, a node would get it from every peer that knows it, which saturates small links for
 * seconds. Nodes of the own zone are preferred, and among those the larger ones, whose links carry more.
 */
class list_request {
	std::string _requested_from; ///< Node whose answer is awaited; empty when none is.
	instant _requested_at{};
	duration _answer_timeout; ///< Time after which the list is requested from another node; doubles with each node that doesn't answer.
	std::map<std::string, instant> _not_before; ///< Earliest time of the next request to a node that declined or didn't answer.

	bool _is_better(const list_source &p_left, const list_source &p_right) const;

public:
	list_request();

	/**
	 * Selects the node to send a request to now.
	 * @param p_sources possible sources. @param p_chance random number from 0 to 1, which spreads the requests of nodes that start together.
	 * @return the node, whose answer is awaited from now on; empty when an answer is awaited already, or no source is available.
	 */
	std::string choose(const std::vector<list_source> &p_sources, double p_chance, instant p_now);

	/** A node has sent the list. */
	void on_answered(const std::string &p_vm);

	/** A node declined to send the list for now. */
	void on_declined(const std::string &p_vm, instant p_now);
};

} // namespace calicoscale

#endif // LIST_REQUEST_H
