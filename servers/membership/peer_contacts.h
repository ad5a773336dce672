/*
 * calicoscale: peer_contacts.h
 * When each peer was heard, when it is to be told something, and what it was told of endpoints.
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

/** An endpoint that leaves, or whose entry went. */
struct endpoint_news {
	endpoint_identity endpoint;
	bool is_gone = false; ///< Its entry went; else it leaves.
};

/**
 * Contacts with all peers. Nodes that dispatch pools and all others tell each other often; nodes that dispatch none depend
 * little on each other and talk seldom. Each peer is told each news once, and one that is linked anew what is recent.
 * Told the time with each call.
 */
class peer_contacts {
	struct contact {
		instant heard_at{};
		duration next_in = duration::zero(); ///< Between its heartbeats to this node, as it told.
		instant sent_at{};
		bool told_close = false; ///< It was told to expect the next heartbeat soon.
		instant wanted_at{}; ///< When it last said that it needs the link.
		instant relied_at{}; ///< When it last said that it relies on this node.
		std::uint64_t told_news = 0; ///< Number of the last news it was told.
	};

	struct numbered_news {
		std::uint64_t number = 0;
		endpoint_news news;
		instant told_until{};
	};

	std::map<std::string, contact> _contacts;
	std::deque<numbered_news> _news;
	std::uint64_t _next_news = 1;

	static duration _get_silence(const contact &p_contact);
	const contact *_find(const std::string &p_peer) const;

public:
	/** Between heartbeats to a peer. @param p_is_close one of the two dispatches pools. */
	static duration get_interval(bool p_is_close);

	/** A heartbeat came, and the next will after a time; zero when the peer did not tell. */
	void on_heard(const std::string &p_peer, duration p_next_in, instant p_now);

	/** Whether a peer was heard just now, given how often it beats. */
	bool is_heard(const std::string &p_peer, instant p_now) const;

	/** This node stood still: what it did not hear meanwhile is no silence of its peers. */
	void forgive(duration p_absence);

	/** Peers silent for so long that their links are not worth keeping. */
	std::vector<std::string> get_dead(instant p_now) const;

	/** A link to a peer is new: it may have missed everything. */
	void on_linked(const std::string &p_peer);

	/** A heartbeat said whether the peer needs this link, and whether it relies on this node to know the fleet. */
	void on_needs(const std::string &p_peer, bool p_wants_link, bool p_relies, instant p_now);

	/** Whether a peer needs the link to this node, as it said not long ago. */
	bool is_wanted(const std::string &p_peer, instant p_now) const;

	/** Whether a peer relies on this node, as it said not long ago. */
	bool is_relied_on(const std::string &p_peer, instant p_now) const;

	/** Peers that rely on this node. */
	std::vector<std::string> get_followers(instant p_now) const;

	/**
	 * Whether a heartbeat to a peer is due: for the time, for news, or as the next one will come later than the peer expects.
	 * @param p_tells_news the peer is told news.
	 */
	bool is_due(const std::string &p_peer, bool p_is_close, bool p_tells_news, instant p_now) const;

	/** A heartbeat goes out now. @return the news that belong into it. */
	std::vector<endpoint_news> on_sent(const std::string &p_peer, bool p_is_close, bool p_tells_news, instant p_now);

	/** Something to tell all peers. */
	void add_news(endpoint_news p_news, instant p_now);

	/** Forgets what is old, and what is not true any more. */
	void forget_news(const std::function<bool(const endpoint_news &)> &p_is_over, instant p_now);
};

} // namespace calicoscale

#endif // PEER_CONTACTS_H
