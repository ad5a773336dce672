/*
 * calicoscale: sender_places.h
 * Which nodes send to an endpoint that takes a few requests a second from all of them together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SENDER_PLACES_H
#define SENDER_PLACES_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Nodes among which this node shares, as far as it knows them. */
struct known_senders {
	std::vector<std::string> zone_nodes; ///< Of its own availability zone, itself included, also those that are silent just now.
	std::size_t fleet_nodes = 1;
	bool is_settled = true; ///< This node has been told who else there is; until then it has no places.
};

/**
 * Places at endpoints: an endpoint's few requests a second are given to nodes of its zone, ranked by a hash, one each or more
 * when there are fewer nodes. No node need hear another.
 *
 * A place that a node would have by the nodes it knows now counts only once it has had it for a while: by then those that
 * had it before have heard of this node, and what they sent is older than the second for which it counts. So nodes that start,
 * and nodes that others do not know yet, begin later instead of beside them. Nodes that hear different peers for longer than
 * that may each take a place for theirs, so the sum may double while they disagree.
 */
class sender_places {
	/** The nodes of the zone as this node knew them for a time. */
	struct sender_view {
		std::vector<std::string> zone_nodes;
		instant replaced_at{}; ///< Unset for the one in force.
		std::map<endpoint_identity, std::optional<std::size_t>> ranks; ///< Of this node; none where it is not among the nodes.
	};

	std::string _vm;
	std::string _zone;
	std::deque<sender_view> _views; ///< The one in force last, before it those that were a short while ago.
	instant _first_view_at{};
	std::size_t _fleet_nodes = 1;
	bool _is_settled = false;

	bool _is_own_zone(const std::string &p_zone) const { return p_zone.empty() || p_zone == _zone; }
	std::size_t _count_in(sender_view &r_view, const endpoint_identity &p_endpoint, std::size_t p_places) const;

public:
	sender_places(std::string p_vm, std::string p_zone) :
			_vm(std::move(p_vm)), _zone(std::move(p_zone)) {}

	/** Whom this node shares with. To be called often from its start on, as places count from when they are had. */
	void set_senders(const known_senders &p_senders, instant p_now);

	/** How many of an endpoint's places are this node's. */
	std::size_t count_own(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_places, instant p_now);

	/** How many will be this node's when nothing changes until get_time_to_hold() is over. */
	std::size_t count_soon(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_places);

	/** How long until the places that this node would have by the nodes it knows now count. */
	duration get_time_to_hold(instant p_now) const;

	/** Where a node stands among others at an endpoint, from 0 to 1. */
	double get_phase(const endpoint_identity &p_endpoint) const;

	/** Drops what is kept of an endpoint. */
	void forget(const endpoint_identity &p_endpoint);

	std::size_t get_fleet_nodes() const { return _fleet_nodes; }
	bool is_settled() const { return _is_settled; }
};

} // namespace calicoscale

#endif // SENDER_PLACES_H
