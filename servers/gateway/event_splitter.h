/*
 * calicoscale: event_splitter.h
 * Cuts a stream of events into whole events, so that a break never leaves half of one.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVENT_SPLITTER_H
#define EVENT_SPLITTER_H

#include <string>
#include <string_view>

namespace calicoscale {

/** Takes the bytes of a text/event-stream and hands out whole events. */
class event_splitter {
	std::string _pending;
	std::string _last_id;

	void _note_id(std::string_view p_event);

public:
	/** Takes bytes in and returns those of all events that are whole now. */
	std::string take(std::string_view p_bytes);

	/** Forgets the beginning of an event whose rest will not come. */
	void drop_partial() { _pending.clear(); }

	/** Takes what is left when the stream ended in good order. */
	std::string take_rest();

	/** Id of the last whole event; empty before the first. */
	const std::string &get_last_id() const { return _last_id; }
	bool has_partial() const { return !_pending.empty(); }
	std::size_t get_held_bytes() const { return _pending.size(); }
};

} // namespace calicoscale

#endif // EVENT_SPLITTER_H
