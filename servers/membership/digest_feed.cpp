/*
 * calicoscale: digest_feed.cpp
 * Which members each peer was told of.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/digest_feed.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** About 6 KB a heartbeat: a link of 10 Mbit/s carries it in 5 ms. */
constexpr std::size_t MOST_TOLD = 64;

std::uint64_t hash_lasting(const member_digest &p_digest) {
	const std::uint64_t flags = (p_digest.hub ? 1U : 0U) + (p_digest.leaving ? 2U : 0U);
	return hash_bytes(p_digest.zone + " " + to_string(p_digest.link) + " " + std::to_string(p_digest.cores), p_digest.incarnation * 4 + flags);
}

} // namespace

void digest_feed::note(const member_digest &p_digest) {
	const std::uint64_t digest = hash_lasting(p_digest);
	entry &known = _entries[p_digest.vm];
	if (known.number != 0 && known.digest == digest) {
		return;
	}
	known = entry{ ++_last_number, digest };
}

std::vector<std::string> digest_feed::take(const std::string &p_peer, const std::function<bool(const std::string &)> &p_is_of_use) {
	std::uint64_t &told = _told[p_peer];
	if (told == _last_number) {
		return {};
	}
	std::vector<std::pair<std::uint64_t, std::string>> news;
	for (const auto &[vm, known] : _entries) {
		if (known.number > told && vm != p_peer && p_is_of_use(vm)) {
			news.emplace_back(known.number, vm);
		}
	}
	std::sort(news.begin(), news.end());
	const bool has_more = news.size() > MOST_TOLD;
	news.resize(std::min(news.size(), MOST_TOLD));
	told = has_more ? news.back().first : _last_number;
	std::vector<std::string> members;
	members.reserve(news.size());
	for (const auto &[number, vm] : news) {
		members.push_back(vm);
	}
	return members;
}

} // namespace calicoscale
