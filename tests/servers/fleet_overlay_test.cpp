/*
 * calicoscale: fleet_overlay_test.cpp
 * Who is a hub, how many links a node keeps, and what happens when hubs go.
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
/** Each other hub of a fleet of three zones, and as many attempts again. */
constexpr std::size_t MOST_LINKS_OF_A_HUB = 2 * 24;

instant at(int p_milliseconds) {
	return instant(std::chrono::seconds(1000) + milliseconds(p_milliseconds));
}

/** A fleet whose nodes reach each other unless they are down or in different parts. */
class overlay_world {
	std::vector<overlay_node> _nodes;
	std::map<std::string, fleet_overlay> _overlays;
	std::set<std::string> _down;
	std::set<std::string> _cut_off; ///< Nodes that only reach each other.
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
	void set_cut_off(std::set<std::string> p_vms) { _cut_off = std::move(p_vms); }
	bool is_up(const std::string &p_vm) const { return !_down.contains(p_vm); }

	bool is_reached(const std::string &p_from, const std::string &p_to) const {
		return is_up(p_from) && is_up(p_to) && _cut_off.contains(p_from) == _cut_off.contains(p_to);
	}

	/** Lets nodes plan each 200 ms; a link that both can make is heard at the next step. */
	void run(int p_milliseconds) {
		for (const int end = _now + p_milliseconds; _now < end; _now += 200) {
			const std::map<std::string, overlay_plan> before = plans;
			for (const overlay_node &node : _nodes) {
				if (!is_up(node.vm)) {
					continue;
				}
				const auto is_heard = [this, &before, &node](const std::string &p_vm) {
					const auto wants = [&before](const std::string &p_from, const std::string &p_to) {
						const auto found = before.find(p_from);
						return found != before.end() && std::find(found->second.wanted.begin(), found->second.wanted.end(), p_to) != found->second.wanted.end();
					};
					return is_reached(node.vm, p_vm) && (wants(node.vm, p_vm) || wants(p_vm, node.vm));
				};
				plans[node.vm] = _overlays.at(node.vm).plan(_nodes, is_heard, false, at(_now));
			}
		}
	}

	/** Of the nodes that are up, those that hear a hub of their zone that is up and knows itself to be one. */
	std::size_t count_served() const {
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

	std::size_t get_most_links(bool p_of_hubs) const {
		std::size_t most = 0;
		for (const auto &[vm, plan] : plans) {
			most = plan.is_hub == p_of_hubs && is_up(vm) ? std::max(most, plan.wanted.size()) : most;
		}
		return most;
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
	// With a link from each node to each other a node of 1,000 would keep 999.
	for (const int nodes : { 30, 300, 1000 }) {
		overlay_world world(nodes, 3, 0);
		world.run(3000);
		EXPECT_LE(world.get_most_links(false), 8U) << nodes;
		EXPECT_LE(world.get_most_links(true), MOST_LINKS_OF_A_HUB) << nodes;
		EXPECT_LE(world.count_hubs(), 24U) << nodes;
		EXPECT_EQ(world.count_served(), static_cast<std::size_t>(nodes));
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
	EXPECT_EQ(world.count_served(), world.count_up()) << "nobody waits until the lost ones have been tried for long";
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
	EXPECT_EQ(world.count_served(), world.count_up());
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
	world.set_cut_off(zone);
	world.run(20000);
	EXPECT_EQ(world.count_served(), 300U);
	EXPECT_LE(world.get_most_links(true), MOST_LINKS_OF_A_HUB);
	world.set_cut_off({});
	world.run(2000);
	for (const auto &[vm, plan] : world.plans) {
		const auto is_of_cut_zone = [&zone](const std::string &p_hub) { return zone.contains(p_hub); };
		EXPECT_TRUE(!plan.is_hub || std::any_of(plan.hubs.begin(), plan.hubs.end(), is_of_cut_zone)) << vm;
	}
}

TEST(fleet_overlay, nodes_rely_on_whoever_relies_on_them) {
	fleet_overlay overlay("n1", "a");
	const std::vector<overlay_node> nodes{ { "n0", "a", LARGE }, { "n1", "a", SMALL }, { "n2", "b", LARGE } };
	const auto is_heard = [](const std::string &) { return true; };
	EXPECT_FALSE(overlay.plan(nodes, is_heard, false, at(0)).is_hub);
	const overlay_plan plan = overlay.plan(nodes, is_heard, true, at(0));
	EXPECT_TRUE(plan.is_hub);
	EXPECT_NE(std::find(plan.wanted.begin(), plan.wanted.end(), "n2"), plan.wanted.end()) << "a hub links to those of other zones";
}

TEST(fleet_overlay, a_node_that_starts_is_settled_only_when_it_heard_all_that_may_be_hubs) {
	// It told its zone of the few it had heard, and each neighbour took all other dispatchers for lost.
	fleet_overlay overlay("n0", "a");
	std::set<std::string> heard;
	const auto is_heard = [&heard](const std::string &p_vm) { return heard.contains(p_vm); };
	const std::vector<overlay_node> nodes{ { "n0", "a", LARGE }, { "n1", "a", LARGE }, { "n2", "b", LARGE }, { "n3", "c", LARGE } };
	EXPECT_FALSE(overlay.plan(nodes, is_heard, false, at(0)).is_settled);
	heard = { "n1", "n2" };
	EXPECT_FALSE(overlay.plan(nodes, is_heard, false, at(200)).is_settled);
	heard = { "n1", "n2", "n3" };
	EXPECT_TRUE(overlay.plan(nodes, is_heard, false, at(400)).is_settled);
	heard = { "n1", "n2" };
	EXPECT_FALSE(overlay.plan(nodes, is_heard, false, at(600)).is_settled);
	EXPECT_TRUE(overlay.plan(nodes, is_heard, false, at(2000)).is_settled) << "a node that does not answer for a second is not waited for";
}

} // namespace calicoscale
