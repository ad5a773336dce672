/*
 * calicoscale: commitment_exchange.h
 * Tells what nodes have admitted, and what pools are worth, with heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMITMENT_EXCHANGE_H
#define COMMITMENT_EXCHANGE_H

#include "main/gateway/beat_part.h"
#include "servers/gateway/commitment_table.h"

#include <functional>
#include <vector>

namespace calicoscale {

/** Sums go from nodes to their hubs, among hubs, and back as those of all nodes. */
class commitment_exchange {
	commitment_table &_commitments;
	std::vector<pool_commitment> _own_told; ///< What the hub that this node relies on was told of its own.
	std::function<std::vector<pool_capacity>()> _get_capacities;

	void _write(beat_peer p_peer, const beat_sender &p_sender, heartbeat_message &r_message) const;
	void _read(const beat_source &p_source, const heartbeat_message &p_message);

public:
	explicit commitment_exchange(commitment_table &p_commitments) :
			_commitments(p_commitments) {}

	/** Sets what tells the capacities of the pools this node dispatches. */
	void set_capacity_source(std::function<std::vector<pool_capacity>()> p_hook) { _get_capacities = std::move(p_hook); }

	/** Its part in heartbeats; this must outlive it. */
	beat_part make_part();
};

} // namespace calicoscale

#endif // COMMITMENT_EXCHANGE_H
