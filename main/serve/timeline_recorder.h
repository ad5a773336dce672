/*
 * calicoscale: timeline_recorder.h
 * Records a process's events with its hybrid clock.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TIMELINE_RECORDER_H
#define TIMELINE_RECORDER_H

#include "servers/timeline/event_ring.h"

namespace calicoscale {

/** The event ring of this process and the clock that stamps its events. */
class timeline_recorder {
	hybrid_clock _clock;
	event_ring _ring;

public:
	explicit timeline_recorder(std::size_t p_capacity);

	/** Records an event with the current time. A negative `p_elapsed` means that no duration is recorded. */
	void add(event_kind p_kind, const std::string &p_request, const std::string &p_subject, const std::string &p_detail, duration p_elapsed = duration(-1));

	/** Advances the hybrid clock and returns the time to send with a message. */
	hybrid_time stamp();

	/** Advances the hybrid clock past the time of a received message. */
	void observe(const hybrid_time &p_time);

	const event_ring &get_ring() const { return _ring; }
};

} // namespace calicoscale

#endif // TIMELINE_RECORDER_H
