/*
 * calicoscale: sender_slots.h
 * Selects the nodes that send to an endpoint that accepts only a few requests a second from all nodes together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SENDER_SLOTS_H
#define SENDER_SLOTS_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Nodes that share the slots of endpoints, as known to this node. */
struct known_senders {
	std::vector<std::string> zone_nodes; ///< Nodes of its own availability zone, including itself and nodes that are temporarily silent.
	std::size_t fleet_nodes = 1;
	bool is_settled = true; ///< This node has received the list of the other nodes; until then it has no slots.
};

/**
 * Divides the few requests a second that an endpoint accepts into slots. The slots go to the nodes of the endpoint's zone,
 * ranked by a hash: one each, or more when there are fewer nodes than slots. The nodes exchange no messages for this.
 *
 * A slot that a node has according to the nodes it knows now becomes active only after a delay. By then the nodes that had
 * the slot before know of this node, and their sends are older than the one-second window of the rate limit. So a node that has
 * just started, or that others do not know yet, begins after the previous holder stops. Nodes that disagree for longer
 * than the delay about which nodes exist may each claim the same slot, so the total rate may double meanwhile.
 */
class sender_slots {
	/** The nodes of the zone as this node knew them during some period. */
	struct sender_view {
		std::vector<std::string> zone_nodes;
		instant replaced_at{}; ///< Unset for the current view.
		std::map<endpoint_identity, std::optional<std::size_t>> ranks; ///< Rank of this node; empty if it is not among the nodes.
	};

	std::string _vm;
	std::string _zone;
	std::deque<sender_view> _views; ///< The current view last; before it the recent ones.
	instant _first_view_at{};
	std::size_t _fleet_nodes = 1;
	bool _is_settled = false;

	bool _is_own_zone(const std::string &p_zone) const { return p_zone.empty() || p_zone == _zone; }
	std::size_t _count_in(sender_view &r_view, const endpoint_identity &p_endpoint, std::size_t p_slots) const;

public:
	sender_slots(std::string p_vm, std::string p_zone) :
			_vm(std::move(p_vm)), _zone(std::move(p_zone)) {}

	/** Sets the nodes that share the slots. Must be called often from the start of the node, because the activation delay runs from these calls. */
	void set_senders(const known_senders &p_senders, instant p_now);

	/** Returns the number of active slots that this node has at an endpoint. */
	std::size_t count_own(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_slots, instant p_now);

	/** Returns the number of slots that this node will have after get_activation_delay() if nothing changes. */
	std::size_t count_future_slots(const endpoint_identity &p_endpoint, const std::string &p_zone, std::size_t p_slots);

	/** Returns the time until the slots become active that this node has according to the nodes it knows now. */
	duration get_activation_delay(instant p_now) const;

	/** Returns a hash-based phase of this node at an endpoint, from 0 to 1, that spreads the sends of different nodes. */
	double get_phase(const endpoint_identity &p_endpoint) const;

	/** Removes the state of an endpoint. */
	void forget(const endpoint_identity &p_endpoint);

	std::size_t get_fleet_nodes() const { return _fleet_nodes; }
	bool is_settled() const { return _is_settled; }
};

} // namespace calicoscale

#endif // SENDER_SLOTS_H
