/*
 * calicoscale: reported_fleet.h
 * State of the fleet as reported by a hub to a node that is no hub.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REPORTED_FLEET_H
#define REPORTED_FLEET_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * The dispatchers and the number of running nodes as a hub last reported them, corrected by the state of this node's own links: a hub
 * notices a failure within a second, while a broken link shows it at once. The caller passes the current time.
 */
class reported_fleet {
	std::vector<std::string> _dispatchers; ///< Sorted by name.
	std::size_t _node_count = 0;
	std::size_t _known_node_count = 0;
	std::set<std::string> _failed; ///< Failed dispatchers: a hub reports them no longer, and this node had no contact since.
	std::map<std::string, instant> _down_at; ///< When the link to a node broke.

public:
	/** Applies a hub's report. @return dispatchers that the previous report had and this one lacks. */
	std::vector<std::string> take(std::vector<std::string> p_dispatchers, std::size_t p_node_count);

	/** A heartbeat of a node was received, or its link was established. */
	void on_contact(const std::string &p_vm);

	/** The link to a node broke. */
	void on_link_down(const std::string &p_vm, instant p_now) { _down_at[p_vm] = p_now; }

	/** Records the failure of a dispatcher that the hub reports no longer and that isn't merely stopping. */
	void set_lost(const std::string &p_vm) { _failed.insert(p_vm); }

	bool is_lost(const std::string &p_vm) const { return _failed.contains(p_vm); }

	/** Whether the link to a node broke so recently that a hub may not have noticed the failure. */
	bool is_down(const std::string &p_vm, instant p_now) const;

	const std::vector<std::string> &get_dispatchers() const { return _dispatchers; }
	std::size_t get_nodes() const { return _node_count; }

	/** Sets the number of nodes that a hub knows, including silent ones; 0 if it does not report it. */
	void set_known_nodes(std::size_t p_count) { _known_node_count = p_count; }
	std::size_t get_known_nodes() const { return _known_node_count; }
};

} // namespace calicoscale

#endif // REPORTED_FLEET_H
