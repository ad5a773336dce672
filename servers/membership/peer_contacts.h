/*
 * calicoscale: peer_contacts.h
 * Last contact with each peer, schedule of heartbeats to it, and the endpoint updates sent to it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PEER_CONTACTS_H
#define PEER_CONTACTS_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Update about an endpoint that leaves or whose entry was removed. */
struct endpoint_update {
	endpoint_identity endpoint;
	bool is_gone = false; ///< True: its entry was removed; false: it leaves.
};

/**
 * Contacts with all peers. Heartbeats are sent at a short interval if one of the two nodes dispatches pools; nodes that dispatch none
 * depend little on each other and use a longer interval. Each peer is sent each update once, and after its link was made anew all
 * updates that haven't expired. The caller passes the current time.
 */
class peer_contacts {
	struct contact {
		instant last_contact_at{};
		duration next_in = duration::zero(); ///< Interval of its heartbeats to this node, as it reported.
		instant sent_at{};
		bool announced_short_interval = false; ///< The last heartbeat to it announced the short interval.
		instant link_needed_at{}; ///< When it last reported that it needs the link.
		instant followed_at{}; ///< When it last reported that it follows this node.
		std::uint64_t sent_update_number = 0; ///< Number of the last update sent to it.
	};

	struct numbered_update {
		std::uint64_t number = 0;
		endpoint_update update;
		instant expires_at{};
	};

	std::map<std::string, contact> _contacts;
	std::deque<numbered_update> _updates;
	std::uint64_t _next_update_number = 1;

	static duration _get_silence(const contact &p_contact);
	const contact *_find(const std::string &p_peer) const;

public:
	/** Interval of heartbeats to a peer. @param p_at_short_interval whether one of the two nodes dispatches pools. */
	static duration get_interval(bool p_at_short_interval);

	/** A heartbeat was received. @param p_next_heartbeat_in time until the next one as reported by the peer; zero when it reported none. */
	void on_contact(const std::string &p_peer, duration p_next_heartbeat_in, instant p_now);

	/** Whether a peer is responsive: its last heartbeat is recent, given its interval. */
	bool is_responsive(const std::string &p_peer, instant p_now) const;

	/** Extends all deadlines by a stall of this process, in which it couldn't receive heartbeats of its peers. */
	void extend_deadlines(duration p_stall);

	/** Returns the peers that have been silent for so long that their links are to be closed. */
	std::vector<std::string> get_silent_peers(instant p_now) const;

	/** A link to a peer was established. The peer may have missed all updates, so all are sent again. */
	void on_linked(const std::string &p_peer);

	/** A heartbeat reported whether the peer needs this link, and whether it follows this node to know the fleet. */
	void on_needs_reported(const std::string &p_peer, bool p_needs_link, bool p_follows, instant p_now);

	/** Whether a peer recently reported that it needs the link to this node. */
	bool is_wanted(const std::string &p_peer, instant p_now) const;

	/** Whether a peer recently reported that it follows this node. */
	bool is_relied_on(const std::string &p_peer, instant p_now) const;

	/** Returns the peers that follow this node. */
	std::vector<std::string> get_followers(instant p_now) const;

	/**
	 * Whether a heartbeat to a peer is due: because its interval has passed, because there are updates, or because the last one
	 * announced a shorter interval than the one that applies from now on.
	 * @param p_receives_updates whether the peer is sent updates.
	 */
	bool is_due(const std::string &p_peer, bool p_at_short_interval, bool p_receives_updates, instant p_now) const;

	/** Records that a heartbeat is sent now. @return the updates to include in it. */
	std::vector<endpoint_update> on_sent(const std::string &p_peer, bool p_at_short_interval, bool p_receives_updates, instant p_now);

	/** Adds an update to be sent to all peers. */
	void add_update(endpoint_update p_update, instant p_now);

	/** Removes updates that have expired or are no longer true. */
	void expire_updates(const std::function<bool(const endpoint_update &)> &p_is_obsolete, instant p_now);
};

} // namespace calicoscale

#endif // PEER_CONTACTS_H
