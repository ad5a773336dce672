/*
 * calicoscale: event_log.h
 * Structured log lines on standard output; bounded and non-blocking.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include "core/token_bucket.h"
#include "drivers/event_loop.h"

#include <string>
#include <string_view>

namespace calicoscale {

/** One line under construction: key=value pairs. */
class log_line {
	std::string _text;

public:
	explicit log_line(std::string_view p_event);
	log_line &add(std::string_view p_key, std::string_view p_value);
	log_line &add(std::string_view p_key, const char *p_value) { return add(p_key, std::string_view(p_value)); }
	log_line &add(std::string_view p_key, long long p_value);
	/** Adds a time in whole milliseconds. */
	log_line &add(std::string_view p_key, duration p_value) { return add(p_key, static_cast<long long>(p_value.count() / 1000)); }
	const std::string &get_text() const { return _text; }
};

/**
 * Writes lines in batches. Lines about requests are rate-limited. While standard output is not read and the buffer is
 * full, all lines are dropped and counted: logging must never block a request.
 */
class event_log {
	event_loop &_loop;
	std::string _buffer;
	token_bucket _request_lines;
	timer _flush_timer;
	instant _clock_written_at{};
	std::uint64_t _dropped = 0;
	std::uint64_t _dropped_reported = 0;

	void _append(const log_line &p_line);
	void _add(const log_line &p_line);
	void _flush();

public:
	explicit event_log(event_loop &p_loop);
	~event_log();

	/** Writes a line about a request; drops it above the rate limit. */
	void write_request(const log_line &p_line);

	/** Writes a line about the process or its view of other nodes. */
	void write(const log_line &p_line);

	std::uint64_t get_dropped() const { return _dropped; }
};

} // namespace calicoscale

#endif // EVENT_LOG_H
