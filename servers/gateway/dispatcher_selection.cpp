/*
 * calicoscale: dispatcher_selection.cpp
 * Selection of the node that stage work of a pool is sent to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/dispatcher_selection.h"

#include "core/digest.h"

#include <cstdint>

namespace calicoscale {

namespace {

/** A link to a dispatcher is normally established within milliseconds; after this time a node with a link gets the item. */
constexpr duration LINK_WAIT = std::chrono::milliseconds(400);
/**
 * Hubs find each other and send the dispatching nodes to their zone within some heartbeats; a node that receives no list for
 * longer dispatches by itself.
 */
constexpr duration DISPATCHER_LIST_WAIT = std::chrono::milliseconds(1000);

} // namespace

std::string choose_dispatcher(const std::string &p_pool, const dispatch_view &p_view, const std::function<bool(const std::string &)> &p_is_eligible) {
	std::string best = p_view.vm;
	std::uint64_t best_score = 0;
	for (const std::string &vm : p_view.nodes) {
		const std::uint64_t score = hash_bytes(p_pool + "/" + vm);
		if (score > best_score && p_is_eligible(vm)) {
			best = vm;
			best_score = score;
		}
	}
	return best;
}

std::optional<std::string> choose_work_node(const std::string &p_pool, const std::string &p_except, const dispatch_view &p_view, const dispatch_wait &p_wait) {
	if (p_view.nodes.empty() && p_view.is_follower && p_wait.untold < DISPATCHER_LIST_WAIT) {
		return std::nullopt;
	}
	if (p_wait.for_link > LINK_WAIT) {
		return choose_dispatcher(p_pool, p_view, p_view.is_linked);
	}
	return choose_dispatcher(p_pool, p_view, [&p_except](const std::string &p_vm) { return p_vm != p_except; });
}

} // namespace calicoscale
