/*
 * calicoscale: read_order.h
 * Order and pace in which nodes read the store when nobody reads it for them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef READ_ORDER_H
#define READ_ORDER_H

#include "core/time.h"
#include "servers/membership/fleet_overlay.h"

#include <cstddef>
#include <string>
#include <vector>

namespace calicoscale {

/** Rates at which the store serves all nodes together, as the settings state them. */
struct store_rates {
	double reads_per_second = 2000.0;
	double bytes_per_second = 20e6; ///< Of all reads of one topic.
};

/**
 * Returns the position of a node in the order in which the nodes of its zone read the store while the ones before it report
 * nothing: the reader has position 0, then come the other hubs, which have links to all nodes of the zone, then the nodes
 * that are no hubs. Nodes with the same view agree on the order.
 * @param p_zone_hubs responsive hubs of the zone.
 * @param p_zone_nodes all known nodes of the zone.
 */
std::size_t find_read_position(const std::string &p_vm, const std::string &p_zone, const std::vector<std::string> &p_zone_hubs, const std::vector<overlay_node> &p_zone_nodes);

/**
 * Returns the interval between the reads of two successive nodes of a zone at which the reads of all zones together take at
 * most half of the store's rates. The other half remains for the nodes that read for others.
 * @param p_zones number of zones in which nodes may read at the same time.
 * @param p_bytes size of the answer to one read.
 */
duration get_read_step(const store_rates &p_rates, std::size_t p_zones, double p_bytes);

} // namespace calicoscale

#endif // READ_ORDER_H
