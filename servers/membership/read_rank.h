/*
 * calicoscale: read_rank.h
 * Order in which the nodes of a zone read the store while no peer can send them the list.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef READ_RANK_H
#define READ_RANK_H

#include "servers/membership/fleet_overlay.h"

#include <cstddef>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Returns the position of a node in the reading order of its zone, from 0: nodes with at least 0.6 of the largest node's cores come first,
 * then the others; each of the two classes is ordered by a hash, so that all nodes with the same view agree. Each position waits longer than the one before. Thus few nodes read
 * a long list from the store at once, however large the fleet is, and those that have read it send it to the others.
 */
std::size_t find_read_rank(const std::string &p_vm, const std::vector<overlay_node> &p_zone_nodes);

} // namespace calicoscale

#endif // READ_RANK_H
