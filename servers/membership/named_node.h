/*
 * calicoscale: named_node.h
 * Selects the nodes named in the store that a node without links dials.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NAMED_NODE_H
#define NAMED_NODE_H

#include "servers/routing/endpoint_state.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** A node as its record in the store names it. */
struct named_node {
	std::string vm;
	network_address address;
	std::string zone; ///< Empty when the record does not tell it.
};

/** Maximum number of named nodes that a node dials at a time. One that answers suffices, and most of the named nodes run. */
constexpr std::size_t MAX_NAMED_DIALS = 8;

/**
 * Returns the nodes to dial, at most MAX_NAMED_DIALS. Nodes of the own zone alternate with the others, own zone first, so that
 * records of a zone that is gone do not keep a node from the rest of the fleet. Both are ordered by a hash of the two names, so
 * that different nodes dial different ones.
 * @param p_vm name of this node, which is not returned.
 * @param p_round how many choices were made before; successive rounds return different nodes until all were returned.
 */
std::vector<named_node> choose_named_nodes(std::string_view p_vm, std::string_view p_zone, const std::vector<named_node> &p_nodes, std::size_t p_round);

} // namespace calicoscale

#endif // NAMED_NODE_H
