/*
 * calicoscale: digest_feed.h
 * Which member digests each peer was sent.
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
 * Selects which members' digests to send to each peer: each member once, and again when one of its stable fields changes
 * (incarnation, zone, link address, cores, hub or leaving flag). The nodes of a fleet that starts learn of each other this way within
 * a few heartbeats, and nothing is sent while nothing changes.
 */
class digest_feed {
	struct entry {
		std::uint64_t number = 0; ///< Number of the newest change.
		std::uint64_t stable_hash = 0; ///< Hash of the stable fields.
	};

	std::map<std::string, entry> _entries; ///< By VM.
	std::map<std::string, std::uint64_t> _sent; ///< By peer: number up to which changes were sent.
	std::uint64_t _last_number = 0;

public:
	/** Records the current digest of a member. */
	void note(const member_digest &p_digest);

	/** Removes a member. */
	void forget(const std::string &p_vm) { _entries.erase(p_vm); }

	/** Resets what was sent to a peer, after its link was made anew or its role changed: it may lack any member. */
	void restart(const std::string &p_peer) { _sent.erase(p_peer); }

	/**
	 * Returns the members whose digests to send to a peer now and records them as sent. Their number is bounded; the remaining ones
	 * follow with the next calls.
	 * @param p_is_relevant whether the peer needs a member's digest.
	 */
	std::vector<std::string> take(const std::string &p_peer, const std::function<bool(const std::string &)> &p_is_relevant);
};

} // namespace calicoscale

#endif // DIGEST_FEED_H
