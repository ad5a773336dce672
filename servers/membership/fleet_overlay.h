/*
 * calicoscale: fleet_overlay.h
 * Selects the hubs, which carry the control traffic of the fleet, and the nodes to which this node keeps a link.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FLEET_OVERLAY_H
#define FLEET_OVERLAY_H

#include "core/time.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Properties of a node by which links are planned. */
struct overlay_node {
	std::string vm;
	std::string zone;
	double cores = 1.0; ///< Processor cores that the node may use; may be a fraction.
};

/** The links of a node, and its role. */
struct overlay_plan {
	std::vector<std::string> hubs; ///< Responsive hubs: of all zones if this node is a hub, else of its own zone. Includes the own VM if it is one by rank.
	std::vector<std::string> wanted; ///< Nodes to which to keep or establish a link.
	bool is_hub = false; ///< This node carries the control traffic of its zone.
	bool is_settled = true; ///< No possible hub is still in its first attempt, so that the responsive hubs are all there are.
};

/**
 * A few nodes of each zone are its hubs: they link to each other over all zones, and every other node links to those of its
 * own zone only. All nodes rank the members of a zone in the same order, larger ones first, then by a hash; the first few that are
 * responsive are the hubs. There is no agreement protocol: while the views of nodes differ, there may briefly be one hub too many or
 * too few, and nodes whose hubs failed proceed to the next nodes in the order. The caller passes the current time.
 *
 * In a full mesh the number of links grows with the square of the fleet. Here a node that is no hub has as many links in a fleet of
 * 30 as in one of 1,000.
 */
class fleet_overlay {
	std::string _vm;
	std::string _zone;
	std::size_t _hubs_per_zone = 0;
	std::map<std::string, instant> _tried_since; ///< Nodes that were not responsive, by the time of the first attempt to link to them.

	struct zone_view;
	bool _has_failed(const std::string &p_vm, instant p_now);
	std::vector<const overlay_node *> _rank(const std::vector<const overlay_node *> &p_nodes, bool p_larger, double p_max_cores) const;
	void _select_hubs(const std::vector<const overlay_node *> &p_ranked, const std::function<bool(const std::string &)> &p_is_responsive, instant p_now, zone_view &r_view);
	zone_view _view_zone(const std::vector<const overlay_node *> &p_nodes, const std::function<bool(const std::string &)> &p_is_responsive, instant p_now);

public:
	fleet_overlay(std::string p_vm, std::string p_zone) :
			_vm(std::move(p_vm)), _zone(std::move(p_zone)) {}

	/**
	 * Plans the links.
	 * @param p_nodes all known nodes that are not stopping, including this one unless it is stopping.
	 * @param p_is_responsive whether another node is responsive.
	 * @param p_has_followers whether other nodes follow this one, which makes it a hub regardless of its rank.
	 */
	overlay_plan plan(const std::vector<overlay_node> &p_nodes, const std::function<bool(const std::string &)> &p_is_responsive, bool p_has_followers, instant p_now);
};

/** Returns the nodes that are large enough to work for others: those with at least 0.6 times the cores of the largest node. */
std::vector<overlay_node> select_large_nodes(std::vector<overlay_node> p_nodes);

} // namespace calicoscale

#endif // FLEET_OVERLAY_H
