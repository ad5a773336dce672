/*
 * calicoscale: endpoint_backoffs.h
 * Back-off times that endpoints requested from this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_BACKOFFS_H
#define ENDPOINT_BACKOFFS_H

#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <algorithm>
#include <map>

namespace calicoscale {

/**
 * An endpoint that rejects a request may specify a time in which the node that sent it must send nothing more: its back-off.
 * The back-off doesn't apply to other nodes, which the endpoint may still serve, so it isn't reported to them. When an endpoint
 * requests several, the latest end applies.
 */
class endpoint_backoffs {
	std::map<endpoint_identity, instant> _until;

public:
	/** Adds a back-off that an endpoint requested. */
	void add(const endpoint_identity &p_endpoint, duration p_backoff, instant p_now) {
		instant &until = _until[p_endpoint];
		until = std::max(until, p_now + p_backoff);
	}

	/** Returns the remaining back-off of an endpoint; zero when it has none. */
	duration get_left(const endpoint_identity &p_endpoint, instant p_now) const {
		const auto found = _until.find(p_endpoint);
		return found == _until.end() ? duration::zero() : std::max(duration::zero(), found->second - p_now);
	}

	/** Removes back-offs that have ended. */
	void forget_old(instant p_now) {
		std::erase_if(_until, [p_now](const auto &p_entry) { return p_entry.second <= p_now; });
	}

	/** Returns the number of stored back-offs, including those that have ended since the last forget_old(). */
	std::size_t count() const { return _until.size(); }
};

} // namespace calicoscale

#endif // ENDPOINT_BACKOFFS_H
