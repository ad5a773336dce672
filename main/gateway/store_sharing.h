/*
 * calicoscale: store_sharing.h
 * Chooses the node of a zone that reads the store for the others, and sends them what it read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_SHARING_H
#define STORE_SHARING_H

#include "drivers/node_link.h"
#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "servers/membership/read_rank.h"
#include "servers/membership/store_coverage.h"

#include <functional>
#include <string>
#include <vector>

namespace calicoscale {

/** Callbacks from store_sharing to the fleet. */
struct store_sharing_hooks {
	std::function<bool(const std::string &)> is_responsive; ///< Whether there was recent contact with a node.
	std::function<bool(const std::string &)> is_in_own_zone;
	std::function<std::vector<std::string>()> get_followers; ///< Nodes that follow this one.
	std::function<void()> collect_updates; ///< Collects the pending updates of endpoints before a reader's delta is applied.
};

/**
 * One hub of a zone reads the store and sends what it read to the others. If nothing arrives from it, the other nodes of the zone
 * read in the order of find_read_position(), and each sends what it read, so that those after it need not read.
 */
class store_sharing {
	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	node_link &_link;
	const store_sharing_hooks _hooks;
	store_coverage _coverage;
	std::string _reader;
	instant _started_at{};
	std::size_t _known_nodes = 0; ///< Size of the last known set of nodes of this zone.
	instant _nodes_changed_at{}; ///< When that size last changed.

	void _publish_delta(const endpoint_delta &p_reading);
	/** Sends a delta of another node to the nodes that follow this one. */
	void _forward_delta(const endpoint_delta &p_reading, const std::string &p_from);
	void _on_delta_reported(const std::string &p_vm, const endpoint_delta &p_reading);
	/** Whether the settings name another node. */
	bool _has_peers() const;
	/**
	 * Whether this node has just started and may still find peers that read for it: while it has no links, or knows a part of
	 * its zone, it chooses itself as the reader.
	 */
	bool _is_discovering_peers(bool p_is_settled) const;

public:
	store_sharing(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, node_link &p_link, store_sharing_hooks p_hooks);

	/** Sets the nodes of this zone and the hubs among them, which determine the order in which they read while no peer sends the data. */
	void set_zone_nodes(const std::vector<overlay_node> &p_nodes, const std::vector<std::string> &p_hubs);

	/**
	 * Chooses the reader among the hubs of the zone. This node reads by itself if there are none.
	 * @param p_is_settled whether no known node of the zone that would be a hub is still being contacted for the first time.
	 */
	void set_hubs(const std::vector<std::string> &p_hubs, bool p_is_settled);

	/** Stops following the configuration in the store while responsive peers follow it, and resumes otherwise. */
	void update_cover();

	/** Records whether a peer follows the configuration in the store. */
	void on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message, std::uint64_t p_version);

	/** Returns the node that reads for the zone, which the others of the zone follow. */
	const std::string &get_reader() const { return _reader; }
	bool is_reader() const { return _reader == _context.settings.vm; }
};

} // namespace calicoscale

#endif // STORE_SHARING_H
