/*
 * calicoscale: commitment_sync.h
 * Exchanges the commitments of nodes and the capacities of pools by heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMITMENT_SYNC_H
#define COMMITMENT_SYNC_H

#include "main/gateway/heartbeat_section.h"
#include "servers/gateway/commitment_table.h"

#include <functional>
#include <vector>

namespace calicoscale {

/** Nodes send their commitments to their hubs, hubs exchange sums, and followers receive the total of all nodes. */
class commitment_sync {
	commitment_table &_commitments;
	std::vector<pool_commitment> _own_reported; ///< This node's commitments as last sent to the hub that it follows.
	std::function<std::vector<pool_capacity>()> _get_capacities;

	void _write(heartbeat_peer p_peer, const heartbeat_sender &p_sender, heartbeat_message &r_message) const;
	void _read(const heartbeat_source &p_source, const heartbeat_message &p_message);

public:
	explicit commitment_sync(commitment_table &p_commitments) :
			_commitments(p_commitments) {}

	/** Sets the source of the capacities of the pools that this node dispatches. */
	void set_capacity_source(std::function<std::vector<pool_capacity>()> p_hook) { _get_capacities = std::move(p_hook); }

	/** Returns the hooks for the commitments in heartbeats. This object must outlive them. */
	heartbeat_section make_part();
};

} // namespace calicoscale

#endif // COMMITMENT_SYNC_H
