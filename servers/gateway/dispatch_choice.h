/*
 * calicoscale: dispatch_choice.h
 * Which node gets the stage work of a pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DISPATCH_CHOICE_H
#define DISPATCH_CHOICE_H

#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** What a node knows of those that dispatch. */
struct dispatch_view {
	std::string vm; ///< This node.
	std::vector<std::string> nodes; ///< Those that dispatch, as far as they are known.
	bool is_told = false; ///< This node is no hub: another node tells it who dispatches.
	std::function<bool(const std::string &)> is_linked; ///< A link to a node stands.
};

/** Of the nodes that dispatch the one that dispatches a pool, the same for all that know the same nodes; this node when none may be. */
std::string choose_dispatcher(const std::string &p_pool, const dispatch_view &p_view, const std::function<bool(const std::string &)> &p_may_be);

/** How long work could not be handed over so far. */
struct dispatch_wait {
	duration untold = duration::zero(); ///< Since when this node knows nobody that dispatches, whatever the work.
	duration for_link = duration::zero(); ///< Since when the work waits for the link to its node.
};

/**
 * Node that gets work of a pool, or none while nobody that dispatches is known.
 * @param p_except a node that does not get it, as it was lost with it; empty for none.
 */
std::optional<std::string> choose_work_node(const std::string &p_pool, const std::string &p_except, const dispatch_view &p_view, const dispatch_wait &p_wait);

} // namespace calicoscale

#endif // DISPATCH_CHOICE_H
