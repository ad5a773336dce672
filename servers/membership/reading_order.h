/*
 * calicoscale: reading_order.h
 * In which order the nodes of a zone read the store while no peer can tell them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef READING_ORDER_H
#define READING_ORDER_H

#include "servers/membership/fleet_overlay.h"

#include <cstddef>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Place of a node among those of its zone: the larger ones first, by a hash within each, the same for all that know the same
 * nodes. Each place waits longer than the one before, so that few read a long list from the store at once, however large the
 * fleet is, and whoever read it tells the others.
 */
std::size_t find_reading_place(const std::string &p_vm, const std::vector<overlay_node> &p_zone_nodes);

} // namespace calicoscale

#endif // READING_ORDER_H
