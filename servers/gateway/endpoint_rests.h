/*
 * calicoscale: endpoint_rests.h
 * Endpoints that asked this node for rest, and until when.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_RESTS_H
#define ENDPOINT_RESTS_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <algorithm>
#include <map>

namespace calicoscale {

/**
 * An endpoint that turns a request away may name a time in which it wants nothing from the node that sent it. Other nodes are
 * not meant, and it may serve them; so they are not told. The later end counts when it asks more than once.
 */
class endpoint_rests {
	std::map<endpoint_identity, instant> _until;

public:
	/** An endpoint asked for rest. */
	void add(const endpoint_identity &p_endpoint, duration p_rest, instant p_now) {
		instant &until = _until[p_endpoint];
		until = std::max(until, p_now + p_rest);
	}

	/** How much longer an endpoint rests; zero when it does not. */
	duration get_left(const endpoint_identity &p_endpoint, instant p_now) const {
		const auto found = _until.find(p_endpoint);
		return found == _until.end() ? duration::zero() : std::max(duration::zero(), found->second - p_now);
	}

	/** Forgets those that have rested. */
	void forget_old(instant p_now) {
		std::erase_if(_until, [p_now](const auto &p_entry) { return p_entry.second <= p_now; });
	}

	/** How many endpoints rest; those that have rested since the last forget_old() included. */
	std::size_t count() const { return _until.size(); }
};

} // namespace calicoscale

#endif // ENDPOINT_RESTS_H
