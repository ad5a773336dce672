/*
 * calicoscale: heartbeat_section.h
 * One subject that nodes report to each other in their heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HEARTBEAT_SECTION_H
#define HEARTBEAT_SECTION_H

#include "drivers/node_link.h"

#include <functional>
#include <string>

namespace calicoscale {

/** Relation of the peer of a link to this node, which determines the content of a heartbeat. */
enum class heartbeat_peer {
	OTHER, ///< A peer that is linked for work only.
	HUB, ///< Another hub, or the hub that this node follows.
	FOLLOWER, ///< A node that follows this one, or is in a zone whose hub this node is.
};

/** Role of this node as the sender of a heartbeat. */
struct heartbeat_sender {
	bool is_hub = false;
	bool knows_hubs = false; ///< This node is a hub and has had contact with all other hubs, so that it may report totals of the fleet.
};

/** Sender of a received heartbeat. */
struct heartbeat_source {
	std::string vm;
	bool is_other_hub = false; ///< This node and the sender are both hubs.
	bool is_relied_on = false; ///< This node follows the sender.
};

/** Hooks that write and read the content of one subject in heartbeats. */
struct heartbeat_section {
	/** Called for OTHER first. What that call writes is also in the messages to HUB and FOLLOWER. */
	std::function<void(heartbeat_peer, const heartbeat_sender &, heartbeat_message &)> write;
	std::function<void(const heartbeat_source &, const heartbeat_message &)> read;
	std::function<void(const heartbeat_message &)> on_told_hub; ///< Called with the message that was sent to the hub that this node follows.
	std::function<void(const std::string &)> on_lost; ///< Called when a node has failed or disconnected.
	std::function<void()> on_hubs_known; ///< Called when this node has become a hub and has had contact with all other hubs.
};

} // namespace calicoscale

#endif // HEARTBEAT_SECTION_H
