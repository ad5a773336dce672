/*
 * calicoscale: told_fleet.h
 * What a node that is no hub was told of the rest of the fleet.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TOLD_FLEET_H
#define TOLD_FLEET_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Who dispatches and how many nodes live, as a hub told last, corrected by what this node sees on its own links: a hub
 * notices a loss within a second, a broken link tells of it at once. Told the time with each call.
 */
class told_fleet {
	std::vector<std::string> _dispatchers; ///< Sorted by name.
	std::size_t _nodes = 0;
	std::set<std::string> _lost; ///< Dispatchers that a hub tells of no more, until they are heard here again.
	std::map<std::string, instant> _down_at; ///< When the link to a node broke.

public:
	/** A hub told. @return nodes that it told of before and does not any more. */
	std::vector<std::string> take(std::vector<std::string> p_dispatchers, std::size_t p_nodes);

	/** A node was heard, or its link was made. */
	void on_heard(const std::string &p_vm);

	/** The link to a node broke. */
	void on_link_down(const std::string &p_vm, instant p_now) { _down_at[p_vm] = p_now; }

	/** A dispatcher that the hub tells of no more, and that is not just stopping, is lost. */
	void set_lost(const std::string &p_vm) { _lost.insert(p_vm); }

	bool is_lost(const std::string &p_vm) const { return _lost.contains(p_vm); }

	/** Whether the link to a node broke so lately that a hub may not know of it. */
	bool is_down(const std::string &p_vm, instant p_now) const;

	const std::vector<std::string> &get_dispatchers() const { return _dispatchers; }
	std::size_t get_nodes() const { return _nodes; }
};

} // namespace calicoscale

#endif // TOLD_FLEET_H
