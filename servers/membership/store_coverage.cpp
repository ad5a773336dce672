/*
 * calicoscale: store_coverage.cpp
 * Selects the node of a zone that reads the store for others, and decides whether this node may rely on others to read it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/store_coverage.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** The failure of a peer, noticed after three heartbeats and some delay, must be noticed well within the time that a change may take to spread. */
constexpr duration MAX_HEARTBEAT_INTERVAL = std::chrono::milliseconds(250);
/** A newer version of a peer is requested at once and received within a round trip; one that isn't received in this time is read from the store. */
constexpr duration MAX_BEHIND_TIME = std::chrono::milliseconds(400);

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

bool store_coverage::on_heartbeat(const std::string &p_peer, bool p_follows, duration p_next_heartbeat_in, std::uint64_t p_version) {
	peer_state &entry = _peers[p_peer];
	const bool has_stopped = entry.follows && !p_follows;
	entry = peer_state{ p_follows, p_next_heartbeat_in, p_version };
	return has_stopped;
}

bool store_coverage::is_covered(std::uint64_t p_version, const std::function<bool(const std::string &)> &p_is_responsive, instant p_now) {
	bool is_followed = false;
	bool is_behind = false;
	for (const auto &[peer, entry] : _peers) {
		if (!entry.follows || entry.next_in == duration::zero() || entry.next_in > MAX_HEARTBEAT_INTERVAL || !p_is_responsive(peer)) {
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
	return p_now - _behind_since < MAX_BEHIND_TIME;
}

} // namespace calicoscale
