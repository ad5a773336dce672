/*
 * calicoscale: zone_reachability.h
 * Detects which availability zones this node can reach.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ZONE_REACHABILITY_H
#define ZONE_REACHABILITY_H

#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Takes another zone as unreachable when all its nodes and all its endpoints are silent at the same time. The time-out is
 * shorter than the one after which a single node or endpoint counts as failed. Any byte from the zone makes it reachable
 * again. The own zone of this node is always reachable. The caller passes the current time.
 *
 * Without this check, when one of three zones is unreachable its endpoints get a third of the sends for two seconds, until
 * each connection to them has timed out.
 */
class zone_reachability {
	struct zone_state {
		instant last_node_contact_at{}; ///< Time of the last message from any node there.
		instant last_endpoint_contact_at{}; ///< Time of the last byte from any endpoint there.
		bool was_reachable = true;
	};

	std::string _own_zone;
	std::map<std::string, zone_state> _zones;
	instant _checked_at{};

	static bool _is_silent(const zone_state &p_state, instant p_now);

public:
	/** A zone that became reachable or unreachable. */
	struct change {
		std::string zone;
		bool is_reached = true;
	};

	explicit zone_reachability(std::string p_own_zone) :
			_own_zone(std::move(p_own_zone)) {}

	/** Records a message from a node of a zone. */
	void on_node_contact(const std::string &p_zone, instant p_now);

	/** Records bytes or a new connection from an endpoint of a zone. */
	void on_endpoint_contact(const std::string &p_zone, instant p_now);

	/** Returns whether a zone is reachable as far as known; a zone from which no node message was ever received counts as reachable. */
	bool is_reached(const std::string &p_zone, instant p_now) const;

	/** Returns the zones that were unreachable at the last check. */
	std::set<std::string> get_unreachable() const;

	/** Returns the changes since the last call. Must be called often: a gap between calls counts as a process stall, after which the silence of each zone is measured anew. */
	std::vector<change> check(instant p_now);
};

} // namespace calicoscale

#endif // ZONE_REACHABILITY_H
