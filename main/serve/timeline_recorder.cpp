/*
 * calicoscale: timeline_recorder.cpp
 * Records a process's events with its hybrid clock.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/timeline_recorder.h"

#include "drivers/event_loop.h"

namespace calicoscale {

timeline_recorder::timeline_recorder(std::size_t p_capacity) :
		_ring(p_capacity) {
}

void timeline_recorder::add(event_kind p_kind, const std::string &p_request, const std::string &p_subject, const std::string &p_detail, duration p_elapsed) {
	const std::int64_t elapsed = p_elapsed < duration::zero() ? -1 : p_elapsed.count();
	_ring.add(timeline_event{ stamp(), p_kind, p_request, p_subject, p_detail, elapsed });
}

hybrid_time timeline_recorder::stamp() {
	return _clock.tick(event_loop::wall());
}

void timeline_recorder::observe(const hybrid_time &p_time) {
	_clock.observe(p_time, event_loop::wall());
}

} // namespace calicoscale
