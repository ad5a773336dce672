/*
 * calicoscale: event_ring.h
 * Bounded list of the events of a process.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVENT_RING_H
#define EVENT_RING_H

#include "core/hybrid_clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

enum class event_kind {
	REQUEST_STARTED,
	REQUEST_FINISHED,
	STAGE_QUEUED,
	ATTEMPT_STARTED,
	ATTEMPT_ENDED,
	FIRST_TOKEN,
	PASSED_ON, ///< Forwarded to the node that owns its key.
	CONFIGURATION_IN_FORCE,
	CONFIGURATION_REJECTED,
	MEMBER_CHANGED,
	ENDPOINT_CHANGED,
	NODE_CHANGED, ///< The node became ready, draining or stopped.
	CLAIM_SETTLED,
};

/** Name of a kind, e.g. "attempt_started". */
std::string_view get_name(event_kind p_kind);

struct timeline_event {
	hybrid_time at;
	event_kind kind = event_kind::NODE_CHANGED;
	std::string request; ///< Request id; empty for events of no request.
	std::string subject; ///< Endpoint, pool, member or version that the event concerns.
	std::string detail; ///< Verdict, reason or state.
	std::int64_t elapsed_microseconds = -1; ///< For events that end something: time since its start; -1 for none.
};

/** An event with the node that it comes from. */
struct node_event {
	std::string node;
	std::uint64_t incarnation = 0;
	timeline_event event;
};

/** Ring of the newest events; the oldest are overwritten. */
class event_ring {
	std::deque<timeline_event> _events;
	std::size_t _capacity;
	std::uint64_t _overwritten = 0;

public:
	explicit event_ring(std::size_t p_capacity);

	void add(timeline_event p_event);

	/** Returns the newest events of a request, or of all if the id is empty, at most p_max_events; oldest first. */
	std::vector<timeline_event> find(std::string_view p_request, std::size_t p_max_events) const;

	std::size_t get_size() const { return _events.size(); }
	std::uint64_t get_overwritten() const { return _overwritten; }
};

} // namespace calicoscale

#endif // EVENT_RING_H
