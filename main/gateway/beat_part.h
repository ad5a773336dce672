/*
 * calicoscale: beat_part.h
 * Something that nodes tell each other with their heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef BEAT_PART_H
#define BEAT_PART_H

#include "drivers/node_link.h"

#include <functional>
#include <string>

namespace calicoscale {

/** How the other end of a link stands to this node, as far as what is told depends on it. */
enum class beat_peer {
	OTHER, ///< A link for work.
	HUB, ///< Another hub, or the one that this node relies on.
	FOLLOWER, ///< It relies on this node, or is of a zone whose hub this node is.
};

/** What this node is, as it tells something. */
struct beat_sender {
	bool is_hub = false;
	bool knows_hubs = false; ///< A hub that has heard all others, so that it may tell sums of the fleet.
};

/** From whom a heartbeat came. */
struct beat_source {
	std::string vm;
	bool is_other_hub = false; ///< Both ends are hubs.
	bool is_relied_on = false; ///< This node relies on it.
};

/** The hooks of one matter; what a heartbeat tells of it is written and read there. */
struct beat_part {
	/** Called for OTHER first; what that wrote is in the messages to the two others, too. */
	std::function<void(beat_peer, const beat_sender &, heartbeat_message &)> write;
	std::function<void(const beat_source &, const heartbeat_message &)> read;
	std::function<void(const heartbeat_message &)> on_told_hub; ///< The hub that this node relies on was sent this.
	std::function<void(const std::string &)> on_lost; ///< A node was lost.
	std::function<void()> on_hubs_known; ///< This node became a hub and has heard all others.
};

} // namespace calicoscale

#endif // BEAT_PART_H
