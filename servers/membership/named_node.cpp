/*
 * calicoscale: named_node.cpp
 * Selects the nodes named in the store that a node without links dials.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/named_node.h"

#include "core/digest.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace calicoscale {

namespace {

using scored_nodes = std::vector<std::pair<std::uint64_t, const named_node *>>;

void sort_by_score(scored_nodes &r_nodes) {
	std::sort(r_nodes.begin(), r_nodes.end(), [](const auto &p_a, const auto &p_b) { return std::pair(p_a.first, p_a.second->vm) < std::pair(p_b.first, p_b.second->vm); });
}

/** Merges two lists alternately, beginning with the first; what is left of the longer one follows. */
std::vector<const named_node *> alternate(const scored_nodes &p_first, const scored_nodes &p_second) {
	std::vector<const named_node *> merged;
	merged.reserve(p_first.size() + p_second.size());
	for (std::size_t i = 0; i < std::max(p_first.size(), p_second.size()); i++) {
		if (i < p_first.size()) {
			merged.push_back(p_first[i].second);
		}
		if (i < p_second.size()) {
			merged.push_back(p_second[i].second);
		}
	}
	return merged;
}

} // namespace

std::vector<named_node> choose_named_nodes(std::string_view p_vm, std::string_view p_zone, const std::vector<named_node> &p_nodes, std::size_t p_round) {
	const std::uint64_t own_hash = hash_bytes(p_vm);
	scored_nodes near;
	scored_nodes far;
	for (const named_node &node : p_nodes) {
		if (node.vm != p_vm) {
			scored_nodes &group = node.zone == p_zone ? near : far;
			group.emplace_back(hash_bytes(node.vm, own_hash), &node);
		}
	}
	sort_by_score(near);
	sort_by_score(far);
	const std::vector<const named_node *> order = alternate(near, far);
	std::vector<named_node> chosen;
	const std::size_t count = std::min(MAX_NAMED_DIALS, order.size());
	for (std::size_t i = 0; i < count; i++) {
		chosen.push_back(*order[(p_round * MAX_NAMED_DIALS + i) % order.size()]);
	}
	return chosen;
}

} // namespace calicoscale
