/*
 * calicoscale: timeline_merge.h
 * Sorts the events of many processes and formats them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TIMELINE_MERGE_H
#define TIMELINE_MERGE_H

#include "servers/timeline/event_ring.h"

namespace calicoscale {

/** Output formats of a timeline. */
enum class timeline_format {
	TABLE,
	JSON_LINES,
	TRACE, ///< JSON file of trace events, for trace viewers of browsers.
};

/** Sorts events by their hybrid time, then by node. */
void sort_events(std::vector<node_event> &r_events);

/** Formats events, in the order given. */
std::string write_timeline(const std::vector<node_event> &p_events, timeline_format p_format);

} // namespace calicoscale

#endif // TIMELINE_MERGE_H
