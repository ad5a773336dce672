/*
 * calicoscale: store_cover.cpp
 * Which nodes read the store for others, and whether others do so for this one.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/store_cover.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** A follower's silence must be noticed well within the time that a change may take: three beats and some delay. */
constexpr duration LONGEST_BEAT = std::chrono::milliseconds(250);
/** A follower's version is asked for at once and told within a round trip; one that does not come is read from the store. */
constexpr duration LONGEST_BEHIND = std::chrono::milliseconds(400);

} // namespace

std::string choose_reader(std::string_view p_zone, const std::vector<std::string> &p_nodes) {
	std::string best;
	std::uint64_t best_score = 0;
	for (const std::string &node : p_nodes) {
		const std::uint64_t score = hash_bytes(node, hash_bytes(p_zone));
		if (best.empty() || score > best_score) {
			best = node;
			best_score = score;
		}
	}
	return best;
}

bool store_cover::on_heartbeat(const std::string &p_peer, bool p_follows, duration p_next_in, std::uint64_t p_version) {
	claim &entry = _claims[p_peer];
	const bool has_stopped = entry.follows && !p_follows;
	entry = claim{ p_follows, p_next_in, p_version };
	return has_stopped;
}

bool store_cover::is_covered(std::uint64_t p_version, const std::function<bool(const std::string &)> &p_is_heard, instant p_now) {
	bool is_followed = false;
	bool is_behind = false;
	for (const auto &[peer, entry] : _claims) {
		if (!entry.follows || entry.next_in == duration::zero() || entry.next_in > LONGEST_BEAT || !p_is_heard(peer)) {
			continue;
		}
		is_followed = true;
		is_behind = is_behind || entry.version > p_version;
	}
	if (!is_behind) {
		_behind_since = instant{};
		return is_followed;
	}
	if (_behind_since == instant{}) {
		_behind_since = p_now;
	}
	return p_now - _behind_since < LONGEST_BEHIND;
}

} // namespace calicoscale
