/*
 * calicoscale: digest_feed.h
 * Which members each peer was told of.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DIGEST_FEED_H
#define DIGEST_FEED_H

#include "servers/membership/member_table.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Tells each peer of each member once, and again when what lasts of it changes: its life, its place, its size, its role.
 * A fleet that starts learns of all its nodes this way within a few heartbeats, and costs nothing while nothing changes.
 */
class digest_feed {
	struct entry {
		std::uint64_t number = 0; ///< Of the newest change.
		std::uint64_t digest = 0; ///< Of what lasts.
	};

	std::map<std::string, entry> _entries; ///< By VM.
	std::map<std::string, std::uint64_t> _told; ///< Number up to which a peer was told.
	std::uint64_t _last_number = 0;

public:
	/** Takes note of a member as it is known now. */
	void note(const member_digest &p_digest);

	/** Forgets a member. */
	void forget(const std::string &p_vm) { _entries.erase(p_vm); }

	/** The link to a peer is new, or its role is: it may lack anything. */
	void restart(const std::string &p_peer) { _told.erase(p_peer); }

	/**
	 * Members to tell a peer of now, a bounded number; the rest follows with the next calls.
	 * @param p_is_of_use whether the peer needs to know a member.
	 */
	std::vector<std::string> take(const std::string &p_peer, const std::function<bool(const std::string &)> &p_is_of_use);
};

} // namespace calicoscale

#endif // DIGEST_FEED_H
