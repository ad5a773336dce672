/*
 * calicoscale: store_cover.h
 * Which nodes read the store for others, and whether others do so for this one.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_COVER_H
#define STORE_COVER_H

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/**
 * The node of a zone that reads the store for the others, chosen by hashing names, so that nodes with the same view agree.
 * Views may differ: with two readers calls are wasted, with none each node reads for itself.
 */
std::string choose_reader(std::string_view p_zone, const std::vector<std::string> &p_nodes);

/**
 * Whether this node may leave the configuration to peers that follow it in the store. A follower says so in each heartbeat;
 * one that the store does not answer in time stops to say so.
 */
class store_cover {
	struct claim {
		bool follows = false;
		duration next_in = duration::zero(); ///< Between its heartbeats.
		std::uint64_t version = 0;
	};

	std::map<std::string, claim> _claims; ///< By peer.
	instant _behind_since{}; ///< Since when a follower has a higher version than this node.

public:
	/** A peer's heartbeat came. @return whether the peer has stopped to follow. */
	bool on_heartbeat(const std::string &p_peer, bool p_follows, duration p_next_in, std::uint64_t p_version);

	/**
	 * Whether a peer that is heard follows, beats often enough for its silence to be noticed, and has told its version.
	 * @param p_version in force here.
	 * @param p_is_heard whether a peer was heard just now.
	 */
	bool is_covered(std::uint64_t p_version, const std::function<bool(const std::string &)> &p_is_heard, instant p_now);
};

} // namespace calicoscale

#endif // STORE_COVER_H
