/*
 * calicoscale: endpoint_group.cpp
 * Endpoints of one pool that match one selector, split by zone, with a consistent-hashing ring for affinity.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/endpoint_group.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr int POINTS_PER_ENDPOINT = 16;
/** Ring points that an affinity look-up visits at most. */
constexpr int MAX_RING_STEPS = 24;

} // namespace

endpoint_group::endpoint_group(const std::vector<endpoint_state *> &p_members, const std::string &p_zone) :
		_all(p_members) {
	for (endpoint_state *member : p_members) {
		if (member->listing.zone == p_zone) {
			_local.push_back(member);
		} else {
			_remote.push_back(member);
		}
	}
}

void endpoint_group::_build_ring() const {
	const std::vector<endpoint_state *> &members = _local.empty() ? _remote : _local;
	_ring.reserve(members.size() * POINTS_PER_ENDPOINT);
	for (endpoint_state *member : members) {
		for (int i = 0; i < POINTS_PER_ENDPOINT; i++) {
			// The index is part of the hashed text: as a hash seed it would map short, similar names to the same points.
			const std::uint64_t position = hash_bytes(member->listing.vm + "/" + std::to_string(i));
			_ring.push_back(ring_point{ position, member });
		}
	}
	std::sort(_ring.begin(), _ring.end(), [](const ring_point &p_left, const ring_point &p_right) {
		return p_left.position < p_right.position;
	});
}

endpoint_state *endpoint_group::find_by_affinity(std::uint64_t p_key, const std::function<bool(const endpoint_state &)> &p_accepts) const {
	if (_all.empty()) {
		return nullptr;
	}
	if (_ring.empty()) {
		_build_ring();
	}
	const auto first = std::lower_bound(_ring.begin(), _ring.end(), p_key, [](const ring_point &p_point, std::uint64_t p_value) {
		return p_point.position < p_value;
	});
	const std::size_t start = static_cast<std::size_t>(first - _ring.begin());
	const std::size_t steps = std::min<std::size_t>(_ring.size(), MAX_RING_STEPS);
	const endpoint_state *rejected = nullptr;
	for (std::size_t i = 0; i < steps; i++) {
		endpoint_state *candidate = _ring[(start + i) % _ring.size()].endpoint;
		if (candidate == rejected) {
			continue;
		}
		if (p_accepts(*candidate)) {
			return candidate;
		}
		rejected = candidate;
	}
	return nullptr;
}

} // namespace calicoscale
