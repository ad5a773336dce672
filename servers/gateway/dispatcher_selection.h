/*
 * calicoscale: dispatcher_selection.h
 * Selection of the node that stage work of a pool is sent to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DISPATCHER_SELECTION_H
#define DISPATCHER_SELECTION_H

#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** A node's current view of the dispatching nodes. */
struct dispatch_view {
	std::string vm; ///< VM of this node.
	std::vector<std::string> nodes; ///< Known dispatching nodes.
	bool is_follower = false; ///< This node is a follower: its hub reports which nodes dispatch.
	std::function<bool(const std::string &)> is_linked; ///< Returns whether a link to a node is established.
};

/**
 * Returns the dispatcher of a pool: by rendezvous hashing, the same for all nodes with the same list of dispatching nodes.
 * Returns this node when no node is eligible.
 */
std::string choose_dispatcher(const std::string &p_pool, const dispatch_view &p_view, const std::function<bool(const std::string &)> &p_is_eligible);

/** How long a work item has been waiting to be sent to a dispatcher. */
struct dispatch_wait {
	duration untold = duration::zero(); ///< Time since this node last knew a dispatching node, whatever the item.
	duration for_link = duration::zero(); ///< Time for which the item has waited for the link to its node.
};

/**
 * Returns the node that gets a work item of a pool, or nothing while a follower waits to learn which nodes dispatch.
 * @param p_except node to skip, because it failed while it had the item; empty for none.
 */
std::optional<std::string> choose_work_node(const std::string &p_pool, const std::string &p_except, const dispatch_view &p_view, const dispatch_wait &p_wait);

} // namespace calicoscale

#endif // DISPATCHER_SELECTION_H
