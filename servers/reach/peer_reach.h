/*
 * calicoscale: peer_reach.h
 * Which nodes can carry out exchanges with the endpoints of a service for this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PEER_REACH_H
#define PEER_REACH_H

#include "core/random_source.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** A linked node that supports forwarding. */
struct forwarding_peer {
	std::string vm;
	bool is_own_zone = false;
};

/**
 * Stores which services peers report as unreachable, and chooses the peer to which an exchange is forwarded. A peer that reports nothing
 * may be chosen: an exchange that it cannot carry out is reported as not sent. The state grows with the number of linked peers. The
 * caller passes the current time.
 */
class peer_reach {
	struct peer_state {
		std::set<std::string> unreached; ///< Services that the peer reported as unreachable.
		instant reported_at{};
		instant declined_until{}; ///< It had no capacity; nothing is forwarded to it before this time.
		std::size_t open = 0; ///< Exchanges of this node that it carries out.
	};

	std::map<std::string, peer_state> _peers;

	bool _reaches(const std::string &p_peer, const std::string &p_service) const;
	std::size_t _get_open(const std::string &p_peer) const;

public:
	/** Time for which nothing is forwarded to a peer that declined an exchange for lack of capacity. */
	static constexpr duration DECLINED_TIME = std::chrono::milliseconds(250);

	/** Stores the services that a peer reports as unreachable from it. */
	void set_unreached(const std::string &p_peer, const std::vector<std::string> &p_services, instant p_now);

	/** Removes a peer that has failed or is not linked any more. */
	void remove(const std::string &p_peer) { _peers.erase(p_peer); }

	void on_forwarded(const std::string &p_peer) { _peers[p_peer].open++; }
	void on_ended(const std::string &p_peer);
	void on_declined(const std::string &p_peer, instant p_now);

	/** Whether a peer may reach a service, whether it has capacity or not. */
	bool is_reached_by_any(const std::string &p_service, const std::vector<forwarding_peer> &p_peers) const;

	/** Whether choose() would return a peer. */
	bool can_choose(const std::string &p_service, const std::vector<forwarding_peer> &p_peers, instant p_now) const;

	/** Returns the peer with the fewest exchanges of this node, of the own zone first; empty if none may reach the service or has capacity. */
	std::optional<std::string> choose(const std::string &p_service, const std::vector<forwarding_peer> &p_peers, random_source &r_random, instant p_now) const;

	/** Time since the newest report of any peer; empty if there was none. */
	std::optional<duration> get_newest_report_age(instant p_now) const;
};

} // namespace calicoscale

#endif // PEER_REACH_H
