/*
 * calicoscale: part_fleet.h
 * A fleet in parts in virtual time, whose nodes find each other by the names in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PART_FLEET_H
#define PART_FLEET_H

#include "core/random_source.h"
#include "servers/membership/digest_feed.h"
#include "servers/membership/fleet_overlay.h"
#include "servers/membership/named_contacts.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** Which nodes of a part_fleet read the names in the store. */
enum class seek_policy {
	NODES_WITHOUT_LINKS,
	FIRST_DISPATCHERS, ///< Of each part, besides.
};

/** What a play of a part_fleet showed. */
struct part_fleet_result {
	std::optional<duration> joined_after; ///< Time until all hubs knew all nodes and every node had a link to such a hub; empty if never.
	std::size_t reads = 0; ///< Reads of the names.
	std::size_t most_dials = 0; ///< Most dials of one node after a read.
	std::size_t most_digests = 0; ///< Most digests that one node received in a second, after the parts had linked themselves.
};

/**
 * Plays parts of a fleet of five zones, each linked in itself, whose settings name no common node. The nodes decide by
 * fleet_overlay, digest_feed and named_contacts; the simulation replaces the links, the heartbeats and the store. All act every 200 ms,
 * and a link is up one step after one side has dialled.
 */
class part_fleet {
	struct node {
		overlay_node own;
		fleet_overlay overlay;
		overlay_plan plan;
		std::size_t planned_nodes = 0; ///< Known nodes when the links were last planned.
		std::size_t planned_links = 0; ///< Links at that time.
		digest_feed feed;
		named_contacts contacts;
		std::vector<overlay_node> known; ///< Including itself.
		std::map<std::string, bool> known_names; ///< With whether the node was a hub when it was last noted.
		std::set<std::string> links;
		std::map<std::string, std::size_t> complete; ///< By peer: number of known nodes when there was nothing more to send.
		std::size_t received = 0; ///< Digests in the current second.

		explicit node(const overlay_node &p_own);
	};

	const seek_policy _policy;
	std::map<std::string, node> _nodes;
	std::set<std::string> _names; ///< Written to the store.
	std::set<std::pair<std::string, std::string>> _dialled; ///< Links that are up in the next step.
	random_source _random;
	instant _now;
	part_fleet_result _result;

	void _step();
	void _learn(node &r_node, const overlay_node &p_other);
	void _connect();
	void _plan(node &r_node);
	void _seek(node &r_node);
	void _send_digests(node &r_node);
	bool _is_starting() const;
	/** Returns the most digests that a node received since the last call. */
	std::size_t _take_most_digests();
	bool _is_hub(const std::string &p_vm) const { return _nodes.at(p_vm).plan.is_hub; }
	bool _is_joined() const;

public:
	/** @param p_parts into which the nodes fall by turns. */
	part_fleet(std::size_t p_nodes, std::size_t p_parts, seek_policy p_policy);

	/** Plays until this time after the start, or until the parts are joined and have settled. */
	part_fleet_result play(duration p_time);

	/** Plays until the parts have linked themselves and returns the most digests that a node received in a second. */
	std::size_t play_start();

	/** Lets the joined fleet run and returns the number of reads in this time. */
	std::size_t count_reads(duration p_time);
};

} // namespace calicoscale

#endif // PART_FLEET_H
