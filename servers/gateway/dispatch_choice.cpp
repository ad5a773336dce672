/*
 * calicoscale: dispatch_choice.cpp
 * Which node gets the stage work of a pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/dispatch_choice.h"

#include "core/digest.h"

#include <cstdint>

namespace calicoscale {

namespace {

/** A link to the dispatcher of a pool is made in milliseconds; after this another node that is linked gets the work. */
constexpr duration LINK_WAIT = std::chrono::milliseconds(400);
/** Hubs meet and tell their zone who dispatches within some heartbeats; a node that is told of nobody for longer dispatches by itself. */
constexpr duration TOLD_WAIT = std::chrono::milliseconds(1000);

} // namespace

std::string choose_dispatcher(const std::string &p_pool, const dispatch_view &p_view, const std::function<bool(const std::string &)> &p_may_be) {
	std::string best = p_view.vm;
	std::uint64_t best_score = 0;
	for (const std::string &vm : p_view.nodes) {
		const std::uint64_t score = hash_bytes(p_pool + "/" + vm);
		if (score > best_score && p_may_be(vm)) {
			best = vm;
			best_score = score;
		}
	}
	return best;
}

std::optional<std::string> choose_work_node(const std::string &p_pool, const std::string &p_except, const dispatch_view &p_view, const dispatch_wait &p_wait) {
	if (p_view.nodes.empty() && p_view.is_told && p_wait.untold < TOLD_WAIT) {
		return std::nullopt;
	}
	if (p_wait.for_link > LINK_WAIT) {
		return choose_dispatcher(p_pool, p_view, p_view.is_linked);
	}
	return choose_dispatcher(p_pool, p_view, [&p_except](const std::string &p_vm) { return p_vm != p_except; });
}

} // namespace calicoscale
