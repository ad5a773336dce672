/*
 * calicoscale: event_splitter.h
 * Splits an event stream into complete events, so that an interruption never leaves a partial event.
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
 * Receives the bytes of a text/event-stream and returns complete events, unchanged. A line ends with LF, CR LF or CR, in any
 * mixture; an event ends with an empty line.
 */
class event_splitter {
	std::size_t _max_buffered;
	std::string _buffer; ///< Bytes of the event that isn't complete yet.
	std::size_t _line_start = 0; ///< Start of the current line in the buffer.
	bool _is_at_start = true; ///< Nothing but a part of a byte order mark has been received.
	bool _has_returned_bytes = false; ///< Whether any byte of the stream was returned, also before a restart().
	bool _drops_mark = false; ///< Whether to remove a byte order mark: in the middle of the output it would be read as part of a field.
	bool _is_after_return = false; ///< A line feed that follows belongs to the previous line end.
	bool _has_field = false; ///< The event has a complete line that is not a comment.
	bool _has_returned_line_start = false; ///< The beginning of the current line was returned already.
	bool _has_returned_part = false; ///< A part of the incomplete event was returned already.
	std::optional<std::string> _next_id;
	std::string _last_id;
	std::size_t _events = 0;

	/** Handles a byte order mark at the start. Returns false while the received bytes may be the beginning of one. */
	bool _check_mark();
	/** Processes a line without its line end. Returns whether it ends an event. */
	bool _process_line(std::string_view p_line);
	void _end_event();

public:
	/** Bytes of an incomplete event that are buffered; the beginning of a larger event is returned before it is complete. */
	static constexpr std::size_t MAX_BUFFERED_BYTES = 1024UL * 1024;

	explicit event_splitter(std::size_t p_max_buffered = MAX_BUFFERED_BYTES) :
			_max_buffered(p_max_buffered) {}

	/** Adds received bytes and returns those of all events that are complete now. */
	std::string take(std::string_view p_bytes);

	/** Returns whether the stream would be truncated if it ended here, with an incomplete event or line. */
	bool is_inside_event() const;

	/** Returns and clears the remaining bytes, such as comments, of a stream that did not end inside an event. */
	std::string take_remainder();

	/** Discards the buffered bytes, because another endpoint resumes the stream after the last complete event. */
	void restart();

	/** Returns whether a part of an event was returned whose remainder has not been received. */
	bool has_returned_part() const { return _has_returned_part; }

	/** Returns the id of the last complete event, as the event stream standard defines it; empty before the first. */
	const std::string &get_last_id() const { return _last_id; }

	std::size_t get_event_count() const { return _events; }
	std::size_t get_buffered_bytes() const { return _buffer.size(); }
};

} // namespace calicoscale

#endif // EVENT_SPLITTER_H
