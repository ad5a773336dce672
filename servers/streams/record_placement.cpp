/*
 * calicoscale: record_placement.cpp
 * Selects the nodes that store the record of a stream.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/record_placement.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace calicoscale {

namespace {

constexpr std::size_t COPIES = 3;
constexpr std::size_t COPIES_IN_ZONE = 2;
constexpr std::size_t SOURCES_IN_ZONE = COPIES_IN_ZONE + 1;

std::vector<record_node> rank_nodes(const stream_key &p_key, const std::vector<record_node> &p_nodes) {
	std::vector<std::pair<std::uint64_t, const record_node *>> ranked;
	ranked.reserve(p_nodes.size());
	for (const record_node &node : p_nodes) {
		ranked.emplace_back(hash_bytes(node.vm, p_key.digest.low), &node);
	}
	std::sort(ranked.begin(), ranked.end(), [](const auto &p_left, const auto &p_right) { return p_left.first != p_right.first ? p_left.first > p_right.first : p_left.second->vm < p_right.second->vm; });
	std::vector<record_node> nodes;
	nodes.reserve(ranked.size());
	for (const auto &[rank, node] : ranked) {
		nodes.push_back(*node);
	}
	return nodes;
}

/** Adds the first nodes that p_accepts accepts, at most p_count. */
void add_first(const std::vector<record_node> &p_ranked, std::size_t p_count, const std::function<bool(const record_node &)> &p_accepts, std::vector<std::string> &r_names) {
	std::size_t added = 0;
	for (auto node = p_ranked.begin(); node != p_ranked.end() && added < p_count; ++node) {
		if (p_accepts(*node) && std::find(r_names.begin(), r_names.end(), node->vm) == r_names.end()) {
			r_names.push_back(node->vm);
			added++;
		}
	}
}

} // namespace

std::vector<std::string> choose_holders(const stream_key &p_key, const std::vector<record_node> &p_nodes, const std::string &p_zone) {
	const std::vector<record_node> ranked = rank_nodes(p_key, p_nodes);
	std::vector<std::string> names;
	add_first(
			ranked, COPIES_IN_ZONE, [&p_zone](const record_node &p_node) { return p_node.zone == p_zone; }, names);
	add_first(
			ranked, COPIES - names.size(), [&p_zone](const record_node &p_node) { return p_node.zone != p_zone; }, names);
	add_first(
			ranked, COPIES - names.size(), [](const record_node &) { return true; }, names);
	return names;
}

std::vector<std::string> choose_sources(const stream_key &p_key, const std::vector<record_node> &p_nodes, const std::string &p_zone) {
	const std::vector<record_node> ranked = rank_nodes(p_key, p_nodes);
	std::vector<std::string> names;
	add_first(
			ranked, SOURCES_IN_ZONE, [&p_zone](const record_node &p_node) { return p_node.zone == p_zone; }, names);
	if (ranked.empty()) {
		return names;
	}
	// The remote copy of a writer is at the first node outside its zone: the first of all, or the first of another zone than that one's.
	const record_node &first = ranked.front();
	add_first(
			ranked, 1, [&first](const record_node &p_node) { return p_node.vm == first.vm; }, names);
	const auto other = std::find_if(ranked.begin(), ranked.end(), [&first](const record_node &p_node) { return p_node.zone != first.zone; });
	if (other != ranked.end()) {
		add_first(
				ranked, 1, [&other](const record_node &p_node) { return p_node.vm == other->vm; }, names);
	}
	return names;
}

} // namespace calicoscale
