/*
 * calicoscale: digest_feed.cpp
 * Which member digests each peer was sent.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/digest_feed.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** About 6 KB per heartbeat, which a link of 10 Mbit/s carries in 5 ms. */
constexpr std::size_t MAX_DIGESTS_PER_CALL = 64;

std::uint64_t hash_stable_fields(const member_digest &p_digest) {
	const std::uint64_t flags = (p_digest.hub ? 1U : 0U) + (p_digest.leaving ? 2U : 0U);
	return hash_bytes(p_digest.zone + " " + to_string(p_digest.link) + " " + std::to_string(p_digest.cores), p_digest.incarnation * 4 + flags);
}

} // namespace

void digest_feed::note(const member_digest &p_digest) {
	const std::uint64_t stable_hash = hash_stable_fields(p_digest);
	entry &known = _entries[p_digest.vm];
	if (known.number != 0 && known.stable_hash == stable_hash) {
		return;
	}
	known = entry{ ++_last_number, stable_hash };
}

std::vector<std::string> digest_feed::take(const std::string &p_peer, const std::function<bool(const std::string &)> &p_is_relevant) {
	std::uint64_t &sent_up_to = _sent[p_peer];
	if (sent_up_to == _last_number) {
		return {};
	}
	std::vector<std::pair<std::uint64_t, std::string>> changed;
	for (const auto &[vm, known] : _entries) {
		if (known.number > sent_up_to && vm != p_peer && p_is_relevant(vm)) {
			changed.emplace_back(known.number, vm);
		}
	}
	std::sort(changed.begin(), changed.end());
	const bool has_more = changed.size() > MAX_DIGESTS_PER_CALL;
	changed.resize(std::min(changed.size(), MAX_DIGESTS_PER_CALL));
	sent_up_to = has_more ? changed.back().first : _last_number;
	std::vector<std::string> members;
	members.reserve(changed.size());
	for (const auto &[number, vm] : changed) {
		members.push_back(vm);
	}
	return members;
}

} // namespace calicoscale
