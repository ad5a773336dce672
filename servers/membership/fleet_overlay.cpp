/*
 * calicoscale: fleet_overlay.cpp
 * Selects the hubs, which carry the control traffic of the fleet, and the nodes to which this node keeps a link.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/fleet_overlay.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

/**
 * Maximum number of hubs of all zones together. Each hub sends to each other hub five times a second: at an estimated 25 us per
 * message sent or received (reading a heartbeat alone takes 10 to 13 us), 24 hubs use 0.6% of a processor core each. While no
 * zone has more nodes than its equal share of this number, every node that isn't excluded by its size may be a hub.
 */
constexpr std::size_t MAX_HUBS = 24;
/** When one hub of a zone fails, the zone still has another. */
constexpr std::size_t MIN_HUBS_PER_ZONE = 2;
/** A link is established in milliseconds; after this time an unresponsive node is passed over in favour of the next in the order. */
constexpr duration FIRST_ATTEMPT_TIME = std::chrono::milliseconds(1000);
/** Of the nodes that failed only the first in the order are retried, so that a partitioned zone costs few attempts per second. */
constexpr std::size_t MAX_RETRIED = 3;
/**
 * Hubs and dispatchers work for other nodes. A node whose cores are below this share of the largest node's doesn't become one. For
 * hubs, the largest node of the zone counts also when it is unresponsive; smaller nodes become hubs while no larger one of the zone
 * is responsive. select_large_nodes() has no such fallback: its caller passes only responsive nodes when it chooses dispatchers.
 */
constexpr double MIN_SHARE_OF_LARGEST = 0.6;

double get_max_cores(const std::vector<const overlay_node *> &p_nodes) {
	double max_cores = 0.0;
	for (const overlay_node *node : p_nodes) {
		max_cores = std::max(max_cores, node->cores);
	}
	return max_cores;
}

} // namespace

/** Result of a walk along the order of one zone. */
struct fleet_overlay::zone_view {
	std::vector<std::string> hubs; ///< Responsive nodes, and this node itself.
	std::vector<std::string> tried; ///< Nodes that were not responsive yet, within FIRST_ATTEMPT_TIME.
	std::vector<std::string> retried; ///< Nodes that were not responsive for longer.
};

std::vector<overlay_node> select_large_nodes(std::vector<overlay_node> p_nodes) {
	double max_cores = 0.0;
	for (const overlay_node &node : p_nodes) {
		max_cores = std::max(max_cores, node.cores);
	}
	std::erase_if(p_nodes, [max_cores](const overlay_node &p_node) { return p_node.cores < max_cores * MIN_SHARE_OF_LARGEST; });
	return p_nodes;
}

bool fleet_overlay::_has_failed(const std::string &p_vm, instant p_now) {
	const instant since = _tried_since.try_emplace(p_vm, p_now).first->second;
	return p_now - since > FIRST_ATTEMPT_TIME;
}

std::vector<const overlay_node *> fleet_overlay::_rank(const std::vector<const overlay_node *> &p_nodes, bool p_larger, double p_max_cores) const {
	std::vector<std::pair<std::uint64_t, const overlay_node *>> order;
	for (const overlay_node *node : p_nodes) {
		const bool is_larger = node->cores >= p_max_cores * MIN_SHARE_OF_LARGEST;
		if (is_larger == p_larger) {
			order.emplace_back(hash_bytes(node->vm, hash_bytes(node->zone)), node);
		}
	}
	std::sort(order.rbegin(), order.rend());
	std::vector<const overlay_node *> ranked;
	ranked.reserve(order.size());
	for (const auto &[score, node] : order) {
		ranked.push_back(node);
	}
	return ranked;
}

void fleet_overlay::_select_hubs(const std::vector<const overlay_node *> &p_ranked, const std::function<bool(const std::string &)> &p_is_responsive, instant p_now, zone_view &r_view) {
	for (const overlay_node *node : p_ranked) {
		if (r_view.hubs.size() + r_view.tried.size() >= _hubs_per_zone) {
			return;
		}
		if (node->vm == _vm || p_is_responsive(node->vm)) {
			_tried_since.erase(node->vm);
			r_view.hubs.push_back(node->vm);
		} else if (!_has_failed(node->vm, p_now)) {
			r_view.tried.push_back(node->vm);
		} else if (r_view.retried.size() < MAX_RETRIED) {
			r_view.retried.push_back(node->vm);
		}
	}
}

fleet_overlay::zone_view fleet_overlay::_view_zone(const std::vector<const overlay_node *> &p_nodes, const std::function<bool(const std::string &)> &p_is_responsive, instant p_now) {
	const double max_cores = get_max_cores(p_nodes);
	zone_view view;
	_select_hubs(_rank(p_nodes, true, max_cores), p_is_responsive, p_now, view);
	if (!view.hubs.empty()) {
		return view;
	}
	// No larger node is responsive: smaller ones act as hubs until a larger one is responsive again.
	zone_view smaller;
	_select_hubs(_rank(p_nodes, false, max_cores), p_is_responsive, p_now, smaller);
	view.hubs = std::move(smaller.hubs);
	view.tried.insert(view.tried.end(), smaller.tried.begin(), smaller.tried.end());
	view.retried.insert(view.retried.end(), smaller.retried.begin(), smaller.retried.end());
	return view;
}

overlay_plan fleet_overlay::plan(const std::vector<overlay_node> &p_nodes, const std::function<bool(const std::string &)> &p_is_responsive, bool p_has_followers, instant p_now) {
	std::map<std::string, std::vector<const overlay_node *>> by_zone;
	for (const overlay_node &node : p_nodes) {
		by_zone[node.zone].push_back(&node);
	}
	std::erase_if(_tried_since, [&p_nodes](const auto &p_entry) {
		return std::none_of(p_nodes.begin(), p_nodes.end(), [&p_entry](const overlay_node &p_node) { return p_node.vm == p_entry.first; });
	});
	_hubs_per_zone = std::max(MIN_HUBS_PER_ZONE, MAX_HUBS / std::max<std::size_t>(1, by_zone.size()));
	overlay_plan plan;
	const auto add_zone = [this, &plan](const zone_view &p_view) {
		plan.is_settled = plan.is_settled && p_view.tried.empty();
		plan.hubs.insert(plan.hubs.end(), p_view.hubs.begin(), p_view.hubs.end());
		for (const std::vector<std::string> *nodes : { &p_view.hubs, &p_view.tried, &p_view.retried }) {
			std::copy_if(nodes->begin(), nodes->end(), std::back_inserter(plan.wanted), [this](const std::string &p_vm) { return p_vm != _vm; });
		}
	};
	add_zone(_view_zone(by_zone[_zone], p_is_responsive, p_now));
	plan.is_hub = p_has_followers || std::find(plan.hubs.begin(), plan.hubs.end(), _vm) != plan.hubs.end();
	if (!plan.is_hub) {
		return plan;
	}
	for (const auto &[zone, nodes] : by_zone) {
		if (zone != _zone) {
			add_zone(_view_zone(nodes, p_is_responsive, p_now));
		}
	}
	return plan;
}

} // namespace calicoscale
