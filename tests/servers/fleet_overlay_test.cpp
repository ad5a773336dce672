/*
 * calicoscale: fleet_overlay_test.cpp
 * Selection of hubs, number of links per node, and behaviour when hubs fail.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/fleet_overlay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr double SMALL = 0.12;
constexpr double LARGE = 0.5;
/** One link to each other hub of a fleet of three zones, and as many further attempts. */
constexpr std::size_t MAX_LINKS_OF_A_HUB = 2 * 24;

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + milliseconds(p_milliseconds));
}

/** A simulated fleet whose nodes reach each other unless they are down or on different sides of a partition. */
class overlay_world {
	std::vector<overlay_node> _nodes;
	std::map<std::string, fleet_overlay> _overlays;
	std::set<std::string> _down;
	std::set<std::string> _partitioned; ///< Nodes on one side of a partition; they reach only each other.
	int _now = 0;

public:
	std::map<std::string, overlay_plan> plans;

	overlay_world(int p_count, int p_zones, int p_larger) {
		for (int i = 0; i < p_count; i++) {
			_nodes.push_back(overlay_node{ "n" + std::to_string(i), "z" + std::to_string(i % p_zones), i < p_larger ? LARGE : SMALL });
			_overlays.emplace(_nodes.back().vm, fleet_overlay(_nodes.back().vm, _nodes.back().zone));
		}
	}

	const std::vector<overlay_node> &get_nodes() const { return _nodes; }
	void set_down(const std::string &p_vm) { _down.insert(p_vm); }
	void set_partition(std::set<std::string> p_vms) { _partitioned = std::move(p_vms); }
	bool is_up(const std::string &p_vm) const { return !_down.contains(p_vm); }

	bool is_reached(const std::string &p_from, const std::string &p_to) const {
		return is_up(p_from) && is_up(p_to) && _partitioned.contains(p_from) == _partitioned.contains(p_to);
	}

	/** Lets each node plan every 200 ms; a node reached by a link that one side planned is responsive at the next step. */
	void run(int p_milliseconds) {
		for (const int end = _now + p_milliseconds; _now < end; _now += 200) {
			const std::map<std::string, overlay_plan> before = plans;
			for (const overlay_node &node : _nodes) {
				if (!is_up(node.vm)) {
					continue;
				}
				const auto is_responsive = [this, &before, &node](const std::string &p_vm) {
					const auto wants = [&before](const std::string &p_from, const std::string &p_to) {
						const auto found = before.find(p_from);
						return found != before.end() && std::find(found->second.wanted.begin(), found->second.wanted.end(), p_to) != found->second.wanted.end();
					};
					return is_reached(node.vm, p_vm) && (wants(node.vm, p_vm) || wants(p_vm, node.vm));
				};
				plans[node.vm] = _overlays.at(node.vm).plan(_nodes, is_responsive, false, at(_now));
			}
		}
	}

	/** Counts the running nodes that plan with a reachable hub which considers itself a hub. */
	std::size_t count_nodes_with_hub() const {
		return static_cast<std::size_t>(std::count_if(_nodes.begin(), _nodes.end(), [this](const overlay_node &p_node) {
			const auto plan = plans.find(p_node.vm);
			if (!is_up(p_node.vm) || plan == plans.end()) {
				return false;
			}
			return std::any_of(plan->second.hubs.begin(), plan->second.hubs.end(), [this, &p_node](const std::string &p_hub) {
				return is_reached(p_node.vm, p_hub) && plans.at(p_hub).is_hub;
			});
		}));
	}

	std::size_t count_up() const { return _nodes.size() - _down.size(); }

	std::size_t get_max_links(bool p_of_hubs) const {
		std::size_t max_links = 0;
		for (const auto &[vm, plan] : plans) {
			max_links = plan.is_hub == p_of_hubs && is_up(vm) ? std::max(max_links, plan.wanted.size()) : max_links;
		}
		return max_links;
	}

	std::size_t count_hubs() const {
		return static_cast<std::size_t>(std::count_if(plans.begin(), plans.end(), [this](const auto &p_entry) { return p_entry.second.is_hub && is_up(p_entry.first); }));
	}
};

} // namespace

TEST(fleet_overlay, a_small_fleet_is_a_full_mesh) {
	overlay_world world(9, 3, 0);
	world.run(1000);
	EXPECT_EQ(world.count_hubs(), 9U);
	for (const auto &[vm, plan] : world.plans) {
		EXPECT_EQ(plan.wanted.size(), 8U) << vm;
	}
}

TEST(fleet_overlay, links_of_a_node_do_not_grow_with_the_fleet) {
	// In a full mesh each node of a fleet of 1,000 would keep 999 links.
	for (const int nodes : { 30, 300, 1000 }) {
		overlay_world world(nodes, 3, 0);
		world.run(3000);
		EXPECT_LE(world.get_max_links(false), 8U) << nodes;
		EXPECT_LE(world.get_max_links(true), MAX_LINKS_OF_A_HUB) << nodes;
		EXPECT_LE(world.count_hubs(), 24U) << nodes;
		EXPECT_EQ(world.count_nodes_with_hub(), static_cast<std::size_t>(nodes));
	}
}

TEST(fleet_overlay, the_larger_nodes_of_a_zone_are_its_hubs) {
	overlay_world world(60, 3, 6);
	world.run(3000);
	EXPECT_EQ(world.count_hubs(), 6U);
	for (int i = 0; i < 6; i++) {
		EXPECT_TRUE(world.plans.at("n" + std::to_string(i)).is_hub) << i;
	}
}

TEST(fleet_overlay, smaller_nodes_stand_in_within_seconds_when_all_larger_ones_are_lost) {
	overlay_world world(60, 3, 6);
	world.run(3000);
	for (int i = 0; i < 6; i++) {
		world.set_down("n" + std::to_string(i));
	}
	world.run(1000);
	EXPECT_EQ(world.count_nodes_with_hub(), world.count_up()) << "no node waits for repeated attempts to reach the failed ones";
}

TEST(fleet_overlay, half_of_the_fleet_may_go_at_one_moment) {
	overlay_world world(300, 5, 15);
	world.run(3000);
	for (const overlay_node &node : world.get_nodes()) {
		if (std::stoi(node.vm.substr(1)) % 2 == 0) {
			world.set_down(node.vm);
		}
	}
	world.run(4000);
	EXPECT_EQ(world.count_nodes_with_hub(), world.count_up());
	EXPECT_GE(world.count_hubs(), 5U);
}

TEST(fleet_overlay, a_zone_that_is_cut_off_keeps_its_hubs_and_costs_the_others_few_attempts) {
	overlay_world world(300, 3, 0);
	world.run(3000);
	std::set<std::string> zone;
	for (const overlay_node &node : world.get_nodes()) {
		if (node.zone == "z1") {
			zone.insert(node.vm);
		}
	}
	world.set_partition(zone);
	world.run(20000);
	EXPECT_EQ(world.count_nodes_with_hub(), 300U);
	EXPECT_LE(world.get_max_links(true), MAX_LINKS_OF_A_HUB);
	world.set_partition({});
	world.run(2000);
	for (const auto &[vm, plan] : world.plans) {
		const auto is_of_partitioned_zone = [&zone](const std::string &p_hub) { return zone.contains(p_hub); };
		EXPECT_TRUE(!plan.is_hub || std::any_of(plan.hubs.begin(), plan.hubs.end(), is_of_partitioned_zone)) << vm;
	}
}

TEST(fleet_overlay, nodes_rely_on_whoever_relies_on_them) {
	fleet_overlay overlay("n1", "a");
	const std::vector<overlay_node> nodes{ { "n0", "a", LARGE }, { "n1", "a", SMALL }, { "n2", "b", LARGE } };
	const auto is_responsive = [](const std::string &) { return true; };
	EXPECT_FALSE(overlay.plan(nodes, is_responsive, false, at(0)).is_hub);
	const overlay_plan plan = overlay.plan(nodes, is_responsive, true, at(0));
	EXPECT_TRUE(plan.is_hub);
	EXPECT_NE(std::find(plan.wanted.begin(), plan.wanted.end(), "n2"), plan.wanted.end()) << "a hub links to those of other zones";
}

TEST(fleet_overlay, a_node_that_starts_is_settled_only_when_it_heard_all_that_may_be_hubs) {
	// Guards against a hub that has just started and reports only the few nodes it has contact with: its followers then considered
	// all other dispatchers failed.
	fleet_overlay overlay("n0", "a");
	std::set<std::string> responsive;
	const auto is_responsive = [&responsive](const std::string &p_vm) { return responsive.contains(p_vm); };
	const std::vector<overlay_node> nodes{ { "n0", "a", LARGE }, { "n1", "a", LARGE }, { "n2", "b", LARGE }, { "n3", "c", LARGE } };
	EXPECT_FALSE(overlay.plan(nodes, is_responsive, false, at(0)).is_settled);
	responsive = { "n1", "n2" };
	EXPECT_FALSE(overlay.plan(nodes, is_responsive, false, at(200)).is_settled);
	responsive = { "n1", "n2", "n3" };
	EXPECT_TRUE(overlay.plan(nodes, is_responsive, false, at(400)).is_settled);
	responsive = { "n1", "n2" };
	EXPECT_FALSE(overlay.plan(nodes, is_responsive, false, at(600)).is_settled);
	EXPECT_TRUE(overlay.plan(nodes, is_responsive, false, at(2000)).is_settled) << "a node that is unresponsive for a second is not waited for";
}

} // namespace calicoscale
