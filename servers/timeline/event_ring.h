/*
 * calicoscale: event_ring.h
 * Bounded record of what a process did.
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

/** Kinds of events. */
enum class event_kind {
	REQUEST_STARTED,
	REQUEST_FINISHED,
	STAGE_QUEUED,
	ATTEMPT_STARTED,
	ATTEMPT_ENDED,
	FIRST_TOKEN,
	PASSED_ON, ///< Handed to the node that owns its key.
	CONFIGURATION_IN_FORCE,
	CONFIGURATION_REJECTED,
	MEMBER_CHANGED,
	ENDPOINT_CHANGED,
	NODE_CHANGED, ///< Ready, draining, stopped.
	CLAIM_SETTLED,
};

/** Name of a kind, e.g. "attempt_started". */
std::string_view get_name(event_kind p_kind);

/** One event. */
struct timeline_event {
	hybrid_time at;
	event_kind kind = event_kind::NODE_CHANGED;
	std::string request; ///< Request id; empty for events of no request.
	std::string subject; ///< Endpoint, pool, member or version the event is about.
	std::string detail; ///< Verdict, reason or state.
	std::int64_t elapsed_microseconds = -1; ///< For ends: time since the start; -1 for none.
};

/** An event with the node it comes from. */
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

	/** Adds an event. */
	void add(timeline_event p_event);

	/** Events of a request, or all when the id is empty; at most so many of the newest. */
	std::vector<timeline_event> find(std::string_view p_request, std::size_t p_most) const;

	std::size_t get_size() const { return _events.size(); }
	std::uint64_t get_overwritten() const { return _overwritten; }
};

} // namespace calicoscale

#endif // EVENT_RING_H
