/*
 * calicoscale: read_rank.cpp
 * Order in which the nodes of a zone read the store while no peer can send them the list.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/read_rank.h"

#include "core/digest.h"

#include <algorithm>
#include <set>

namespace calicoscale {

std::size_t find_read_rank(const std::string &p_vm, const std::vector<overlay_node> &p_zone_nodes) {
	std::set<std::string> larger;
	for (const overlay_node &node : select_large_nodes(p_zone_nodes)) {
		larger.insert(node.vm);
	}
	const auto get_key = [&larger](const std::string &p_node) { return std::pair(larger.contains(p_node), hash_bytes(p_node)); };
	const auto own = get_key(p_vm);
	return static_cast<std::size_t>(std::count_if(p_zone_nodes.begin(), p_zone_nodes.end(), [&get_key, &own](const overlay_node &p_node) { return get_key(p_node.vm) > own; }));
}

} // namespace calicoscale
