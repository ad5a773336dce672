/*
 * calicoscale: store_sharing.h
 * Which node of a zone reads the store for the others, and what it tells them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_SHARING_H
#define STORE_SHARING_H

#include "drivers/node_link.h"
#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "servers/membership/reading_order.h"
#include "servers/membership/store_cover.h"

#include <functional>
#include <string>
#include <vector>

namespace calicoscale {

/** What the sharing of the store asks of the fleet. */
struct store_sharing_hooks {
	std::function<bool(const std::string &)> is_heard; ///< A node answered just now.
	std::function<bool(const std::string &)> is_in_own_zone;
	std::function<void()> collect_news; ///< Takes the news of endpoints so far, before what a reader told is taken in.
};

/** One hub of a zone reads the store; the others are told, and read by themselves only when nobody tells. */
class store_sharing {
	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	node_link &_link;
	const store_sharing_hooks _hooks;
	store_cover _cover;
	std::string _reader;
	instant _started_at{};
	bool _is_named = false; ///< This node's name is in the store.
	instant _named_at{};
	instant _read_names_at{};

	void _tell_reading(const endpoint_reading &p_reading);
	void _on_reading_told(const std::string &p_vm, const endpoint_reading &p_reading);
	/** Whether this node has just started and may still find those that read for it: alone, it takes itself for the reader. */
	bool _is_meeting_peers() const;
	void _write_name();
	void _read_names();

public:
	store_sharing(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, node_link &p_link, store_sharing_hooks p_hooks);

	/** Sets the nodes of this zone, for the order in which they read the endpoints while nobody tells them. */
	void set_zone_nodes(const std::vector<overlay_node> &p_nodes);

	/** Chooses the reader among the hubs of the zone; this node reads by itself when there are none. */
	void set_hubs(const std::vector<std::string> &p_hubs);

	/** Leaves the configuration to peers that follow it, or takes it up. */
	void update_cover();

	/** Writes this node's name if it is a hub, and reads those of others when nobody is linked. */
	void use_names(bool p_is_hub);

	/** A peer said whether it follows the configuration in the store. */
	void on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message, std::uint64_t p_version);

	/** The node that reads for the zone; the others of the zone rely on it. */
	const std::string &get_reader() const { return _reader; }
	bool is_reader() const { return _reader == _context.settings.vm; }
};

} // namespace calicoscale

#endif // STORE_SHARING_H
