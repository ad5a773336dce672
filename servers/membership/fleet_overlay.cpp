/*
 * calicoscale: fleet_overlay.cpp
 * Which few nodes carry the control traffic of the fleet, and whom this node keeps a link to.
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
 * Hubs of all zones together, as each tells each other one five times a second: at 25 us a message, sent or received (assumed;
 * reading a heartbeat alone takes 10 to 13), 24 take 0.6% of a processor core. A fleet of fewer nodes has no others.
 */
constexpr std::size_t MOST_HUBS = 24;
/** One hub of a zone may be lost and the zone still has one. */
constexpr std::size_t LEAST_HUBS_PER_ZONE = 2;
/** A link is made in milliseconds; a node that does not answer for so long makes room for the next in the order. */
constexpr duration TRY_TIME = std::chrono::milliseconds(1000);
/** Nodes that failed are tried again, the first of the order only, so that a zone cut off costs a few attempts a second. */
constexpr std::size_t MOST_RETRIED = 3;
/** Hubs and dispatchers work for others: nodes with less than this part of the largest one's processor do not. */
constexpr double LEAST_PART_OF_LARGEST = 0.6;

double get_most_cores(const std::vector<const overlay_node *> &p_nodes) {
	double most = 0.0;
	for (const overlay_node *node : p_nodes) {
		most = std::max(most, node->cores);
	}
	return most;
}

} // namespace

/** What a walk along the order of one zone found. */
struct fleet_overlay::zone_view {
	std::vector<std::string> hubs; ///< That are heard, and this node itself.
	std::vector<std::string> tried; ///< Not heard yet.
	std::vector<std::string> retried; ///< Not heard for long.
};

std::vector<overlay_node> keep_larger(std::vector<overlay_node> p_nodes) {
	double most = 0.0;
	for (const overlay_node &node : p_nodes) {
		most = std::max(most, node.cores);
	}
	std::erase_if(p_nodes, [most](const overlay_node &p_node) { return p_node.cores < most * LEAST_PART_OF_LARGEST; });
	return p_nodes;
}

bool fleet_overlay::_has_failed(const std::string &p_vm, instant p_now) {
	const instant since = _tried_since.try_emplace(p_vm, p_now).first->second;
	return p_now - since > TRY_TIME;
}

std::vector<const overlay_node *> fleet_overlay::_rank(const std::vector<const overlay_node *> &p_nodes, bool p_larger, double p_most) const {
	std::vector<std::pair<std::uint64_t, const overlay_node *>> order;
	for (const overlay_node *node : p_nodes) {
		const bool is_larger = node->cores >= p_most * LEAST_PART_OF_LARGEST;
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

void fleet_overlay::_walk(const std::vector<const overlay_node *> &p_ranked, const std::function<bool(const std::string &)> &p_is_heard, instant p_now, zone_view &r_view) {
	for (const overlay_node *node : p_ranked) {
		if (r_view.hubs.size() + r_view.tried.size() >= _hubs_per_zone) {
			return;
		}
		if (node->vm == _vm || p_is_heard(node->vm)) {
			_tried_since.erase(node->vm);
			r_view.hubs.push_back(node->vm);
		} else if (!_has_failed(node->vm, p_now)) {
			r_view.tried.push_back(node->vm);
		} else if (r_view.retried.size() < MOST_RETRIED) {
			r_view.retried.push_back(node->vm);
		}
	}
}

fleet_overlay::zone_view fleet_overlay::_view_zone(const std::vector<const overlay_node *> &p_nodes, const std::function<bool(const std::string &)> &p_is_heard, instant p_now) {
	const double most = get_most_cores(p_nodes);
	zone_view view;
	_walk(_rank(p_nodes, true, most), p_is_heard, p_now, view);
	if (!view.hubs.empty()) {
		return view;
	}
	// No larger node is heard: smaller ones stand in, and give way when a larger one is back.
	zone_view smaller;
	_walk(_rank(p_nodes, false, most), p_is_heard, p_now, smaller);
	view.hubs = std::move(smaller.hubs);
	view.tried.insert(view.tried.end(), smaller.tried.begin(), smaller.tried.end());
	view.retried.insert(view.retried.end(), smaller.retried.begin(), smaller.retried.end());
	return view;
}

overlay_plan fleet_overlay::plan(const std::vector<overlay_node> &p_nodes, const std::function<bool(const std::string &)> &p_is_heard, bool p_has_followers, instant p_now) {
	std::map<std::string, std::vector<const overlay_node *>> by_zone;
	for (const overlay_node &node : p_nodes) {
		by_zone[node.zone].push_back(&node);
	}
	std::erase_if(_tried_since, [&p_nodes](const auto &p_entry) {
		return std::none_of(p_nodes.begin(), p_nodes.end(), [&p_entry](const overlay_node &p_node) { return p_node.vm == p_entry.first; });
	});
	_hubs_per_zone = std::max(LEAST_HUBS_PER_ZONE, MOST_HUBS / std::max<std::size_t>(1, by_zone.size()));
	overlay_plan plan;
	const auto add_zone = [this, &plan](const zone_view &p_view) {
		plan.is_settled = plan.is_settled && p_view.tried.empty();
		plan.hubs.insert(plan.hubs.end(), p_view.hubs.begin(), p_view.hubs.end());
		for (const std::vector<std::string> *nodes : { &p_view.hubs, &p_view.tried, &p_view.retried }) {
			std::copy_if(nodes->begin(), nodes->end(), std::back_inserter(plan.wanted), [this](const std::string &p_vm) { return p_vm != _vm; });
		}
	};
	add_zone(_view_zone(by_zone[_zone], p_is_heard, p_now));
	plan.is_hub = p_has_followers || std::find(plan.hubs.begin(), plan.hubs.end(), _vm) != plan.hubs.end();
	if (!plan.is_hub) {
		return plan;
	}
	for (const auto &[zone, nodes] : by_zone) {
		if (zone != _zone) {
			add_zone(_view_zone(nodes, p_is_heard, p_now));
		}
	}
	return plan;
}

} // namespace calicoscale
