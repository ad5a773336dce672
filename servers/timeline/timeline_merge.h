/*
 * calicoscale: timeline_merge.h
 * Joins the events of many processes and writes them out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TIMELINE_MERGE_H
#define TIMELINE_MERGE_H

#include "servers/timeline/event_ring.h"

namespace calicoscale {

/** Ways to write a time line. */
enum class timeline_format {
	TABLE,
	JSON_LINES,
	TRACE, ///< Trace-event file for browser viewers.
};

/** Orders events by their hybrid time, then by node. */
void sort_events(std::vector<node_event> &r_events);

/** Writes events in order. */
std::string write_timeline(const std::vector<node_event> &p_events, timeline_format p_format);

} // namespace calicoscale

#endif // TIMELINE_MERGE_H
