/*
 * calicoscale: node_names.h
 * Names and addresses of nodes in the store, by which nodes find each other without a seed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_NAMES_H
#define NODE_NAMES_H

#include "drivers/node_link.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/gateway_context.h"
#include "servers/membership/named_contacts.h"

#include <functional>
#include <vector>

namespace calicoscale {

/** What the names are used for at a moment. */
struct names_use {
	bool is_hub = false; ///< This node writes its name, as a node that finds one hub finds all nodes through it.
	bool seeks_parts = false; ///< This node seeks other parts of the fleet for the nodes that it knows.
	std::size_t known_nodes = 0; ///< Number of nodes that this node knows and that are not stopping.
};

/**
 * Writes this node's name and address to the store while it is a hub, and dials nodes that the store names: if this node has no link,
 * and if it seeks other parts of the fleet; see named_contacts.
 */
class node_names {
	gateway_context &_context;
	node_link &_link;
	const std::function<named_state(const named_node &)> _get_state;
	named_contacts _contacts;
	const instant _started_at;
	bool _is_written = false; ///< This node's name and address are in the store.
	instant _write_at{};
	instant _read_at{}; ///< When this node last read the names because it had no link.
	std::size_t _rounds = 0; ///< Reads without a link after which nodes were dialled.

	void _write();
	void _read();
	void _on_read(const store_answer &p_answer);
	void _dial_any(const std::vector<named_node> &p_names);
	void _dial_unknown(const std::vector<named_node> &p_names);

public:
	node_names(gateway_context &p_context, endpoint_follower &p_endpoints, node_link &p_link, std::function<named_state(const named_node &)> p_get_state);

	/** Writes and reads the names if it is time. Must be called with each round of heartbeats. */
	void use(const names_use &p_use);
};

} // namespace calicoscale

#endif // NODE_NAMES_H
