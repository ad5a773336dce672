/*
 * calicoscale: event_splitter.h
 * Cuts a stream of events into whole events, so that a break never leaves half of one.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVENT_SPLITTER_H
#define EVENT_SPLITTER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace calicoscale {

/**
 * Takes the bytes of a text/event-stream and hands out whole events, unchanged. A line ends with LF, CR LF or CR, in any mixture; an
 * event ends with an empty line.
 */
class event_splitter {
	std::size_t _most_held;
	std::string _held; ///< Of the event that is not whole yet.
	std::size_t _line_start = 0; ///< Of the current line, in what is held.
	bool _is_at_start = true; ///< Nothing but a part of a byte order mark has come.
	bool _has_handed_out = false; ///< Of this stream, before it was taken up elsewhere too.
	bool _drops_mark = false; ///< One in the middle of what goes out would be read as part of a field.
	bool _is_after_return = false; ///< A line feed that comes next belongs to the line end before it.
	bool _has_field = false; ///< The event has a whole line that is no comment.
	bool _has_lost_line_start = false; ///< The current line's beginning was handed out.
	bool _has_handed_part = false; ///< Of the event that is not whole yet.
	std::optional<std::string> _next_id;
	std::string _last_id;
	std::size_t _events = 0;

	/** False while what came may be the beginning of a byte order mark. */
	bool _pass_mark();
	/** Takes a line without its end; true if it ends an event. */
	bool _take_line(std::string_view p_line);
	void _end_event();

public:
	/** Bytes of an event that are held back until it is whole; of a larger one the beginning is handed out. */
	static constexpr std::size_t MOST_HELD = 1024UL * 1024;

	explicit event_splitter(std::size_t p_most_held = MOST_HELD) :
			_most_held(p_most_held) {}

	/** Takes bytes in and returns those of all events that are whole now. */
	std::string take(std::string_view p_bytes);

	/** Whether the stream would be broken off if it ended here: half an event or half a line has come. */
	bool is_inside_event() const;

	/** Takes what is left of a stream that did not end inside an event, such as comments. */
	std::string take_rest();

	/** Forgets what is held, as another endpoint goes on behind the last whole event. */
	void restart();

	/** Whether part of an event went out whose rest has not come. */
	bool has_handed_part() const { return _has_handed_part; }

	/** Id of the last whole event, as the standard of event streams defines it; empty before the first. */
	const std::string &get_last_id() const { return _last_id; }

	std::size_t get_event_count() const { return _events; }
	std::size_t get_held_bytes() const { return _held.size(); }
};

} // namespace calicoscale

#endif // EVENT_SPLITTER_H
