/*
 * calicoscale: store_coverage.h
 * Selects the node of a zone that reads the store for others, and decides whether this node may rely on others to read it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_COVERAGE_H
#define STORE_COVERAGE_H

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/**
 * Returns the node of a zone that reads the store for the others, chosen by hashing names, so that nodes with the same view agree.
 * When views differ, two readers only cost additional calls, and without a reader each node reads the store itself. Empty without nodes.
 */
std::string choose_reader(std::string_view p_zone, const std::vector<std::string> &p_nodes);

/**
 * Decides whether this node may leave it to peers to read the configuration from the store. A peer that follows the configuration in
 * the store reports so in each heartbeat, and ceases to when the store doesn't answer it in time.
 */
class store_coverage {
	struct peer_state {
		bool follows = false;
		duration next_in = duration::zero(); ///< Interval of its heartbeats; zero when it reports none.
		std::uint64_t version = 0;
	};

	std::map<std::string, peer_state> _peers; ///< By peer.
	instant _behind_since{}; ///< Since when a peer that follows the store has a higher version than this node; instant{} when none has.

public:
	/** A heartbeat of a peer was received. @return whether the peer has ceased to follow the store. */
	bool on_heartbeat(const std::string &p_peer, bool p_follows, duration p_next_heartbeat_in, std::uint64_t p_version);

	/**
	 * Whether a responsive peer follows the store and sends heartbeats often enough that its failure is noticed in time, and this node
	 * hasn't been behind such a peer's version for too long.
	 * @param p_version version in force on this node.
	 * @param p_is_responsive whether a peer is responsive.
	 */
	bool is_covered(std::uint64_t p_version, const std::function<bool(const std::string &)> &p_is_responsive, instant p_now);
};

} // namespace calicoscale

#endif // STORE_COVERAGE_H
