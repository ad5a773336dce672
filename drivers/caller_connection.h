/*
 * calicoscale: caller_connection.h
 * One connection of a caller: reads its requests one at a time and closes after the idle limit.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include "drivers/caller_connection_end.h"
#include "drivers/caller_exchange.h"
#include "drivers/event_loop.h"
#include "drivers/http_reader.h"
#include "servers/load/write_budget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace calicoscale {

/** Limits that a server applies to its callers. */
struct caller_server_limits {
	std::size_t header_bytes = 16 * 1024;
	std::size_t body_bytes = 4 * 1024 * 1024;
	duration header_timeout = std::chrono::seconds(3); ///< For the head of a request, from its first byte.
	duration idle_timeout = std::chrono::seconds(15);
};

class caller_connection;

/** A caller that reads its answer too slowly or not at all. */
struct slow_reader {
	std::size_t untaken = 0; ///< Bytes buffered for this caller.
	duration since = duration::zero(); ///< Time since it last accepted bytes.
	std::size_t held = 0; ///< Bytes buffered for all callers.
};

/** State that all connections of a server share: limits, hooks and counters. */
struct caller_connection_shared {
	caller_server_limits limits;
	bool is_closing = false; ///< Each further answer closes its connection.
	std::function<void(const std::shared_ptr<caller_exchange> &)> on_request;
	std::function<void(const post_close_input &)> on_post_close_input; ///< May be empty.
	std::function<void(const slow_reader &)> on_slow_reader; ///< Called when a connection is closed because its caller does not read. May be empty.
	write_budget writes; ///< Shared by all connections.
	std::function<void(caller_connection &)> on_closed; ///< The connection must not be freed inside it.
	std::size_t open_requests = 0;
	std::size_t rejected = 0; ///< Requests refused as malformed or over a limit.
	std::map<connection_end, std::size_t> ended;
};

/**
 * One connection. Handles one request at a time; the next is read after the answer has been written.
 *
 *     READING -> ANSWERING -> READING ...            finish() without an end
 *                ANSWERING -> LINGERING -> closed    finish() with an end, or a refused request from READING
 *     READING -> ENDED -> closed                     close_without_reading(): no answer is pending, and nothing more is read
 *
 * From any phase the caller, close() or reset() may close the connection immediately.
 */
class caller_connection {
	enum class phase {
		READING,
		ANSWERING,
		LINGERING, ///< The last answer has been or is being written; input is read and discarded.
		ENDED, ///< Ended with no answer pending; input is not read.
	};

	caller_connection_shared &_shared;
	bufferevent *_stream;
	http_reader _reader;
	phase _phase = phase::READING;
	std::shared_ptr<caller_exchange> _exchange;
	std::string _body;
	instant _idle_since;
	duration _promised_idle_limit; ///< The limit that was in force at the last answer, or when the connection was opened.
	instant _request_since{};
	connection_end _end = connection_end::IDLE_TIMEOUT; ///< Valid once this side has ended the connection.
	instant _ended_at{};
	instant _written_at{}; ///< When the output became empty after the end.
	std::size_t _request_count = 0;
	instant _output_progress_at{}; ///< When the socket last accepted output, or output was added to an empty buffer.
	bool _is_full = false; ///< The source of the answer has been paused.
	bool _has_left_server = false;
	bool _too_large = false;
	bool _is_open_request = false;

	static void _on_readable(bufferevent *p_stream, void *p_self);
	static void _on_drained(bufferevent *p_stream, void *p_self);
	static void _on_event(bufferevent *p_stream, short p_what, void *p_self);
	static void _on_output(evbuffer *p_output, const evbuffer_cb_info *p_info, void *p_self);
	void _on_head(const http_head &p_head);
	void _on_body(std::string_view p_bytes);

	/** Reads the available input up to the end of one request. */
	void _read();
	void _check_reader();
	void _deliver_request();
	void _reject(int p_status);
	void _release_request();
	/** Removes this connection from the server's counters; the server's state is not used afterwards. */
	void _leave_server();

	/** Reports bytes that arrived after this side ended the connection. */
	void _report_post_close_input(std::size_t p_bytes, bool p_was_read);
	void _record_end(connection_end p_end);

	/** Sends the remaining output, then waits for the caller to close. */
	void _linger(connection_end p_end);
	bool _has_ended() const { return _phase == phase::LINGERING || _phase == phase::ENDED; }

	/** Continues an end once all output is written; closing earlier would truncate the answer. */
	void _continue_end();

	/** Whether an ended connection can be closed without destroying an answer. Callers that read nothing are closed by the stall limit instead. */
	bool _may_close(instant p_now) const;
	bool _is_all_written() const;
	std::size_t _get_unsent_bytes() const;

	/** Whether the caller has accepted no output for longer than the stall limit. */
	bool _is_stalled(instant p_now) const;
	/** Pauses or resumes the source of the answer, by the write budget. */
	void _update_flow();

	/** Whether the caller's system has acknowledged the whole output, so that a reset cannot destroy it. */
	bool _is_all_acknowledged() const;

	/** Whether unread bytes wait in the socket: after a process stall the loop runs timers before it reads sockets. */
	bool _has_unread_bytes() const;

	/** Returns the time limit for reading the request: that of the head, plus the idle limit once the head is complete. */
	duration _get_reading_limit() const;

	/** Whether the request has exceeded its reading limit and no unread bytes, which may complete it, wait in the socket. */
	bool _is_too_slow(instant p_now) const;

public:
	/** @param p_stream ownership is transferred. @param p_shared must outlive the connection. */
	caller_connection(caller_connection_shared &p_shared, bufferevent *p_stream);
	~caller_connection();
	caller_connection(const caller_connection &) = delete;
	caller_connection &operator=(const caller_connection &) = delete;

	/** Closes the connection; calls the disconnect hook of a request in progress. */
	void close();

	/** Sets whether any close of the socket, also by the exit of the process, resets the connection and drops unsent bytes. */
	void set_reset_on_close(bool p_resets);

	/** Resets the connection, so that the caller cannot take a partial answer for a complete one. */
	void reset();

	/**
	 * Ends a connection with no answer pending. A request that arrives after the end is not read but reset, so that its caller
	 * knows that it did not run. If it were read before the close, the caller could not tell it from one that failed while running.
	 */
	void close_without_reading(connection_end p_end);

	/** Completes an answer. @param p_end why the connection ends with it; if empty, the next request is read. */
	void finish(std::optional<connection_end> p_end);

	void write(std::string_view p_bytes);

	/** Whether more is buffered for the caller than its share of the write budget. */
	bool is_full() const { return _is_full; }

	/** Enforces the time limits; called periodically with the current time. */
	void sweep(instant p_now);

	/** Fixes the current idle limit for this connection, also if it is lowered later. @return seconds for the Keep-Alive header. */
	std::int64_t announce_idle_limit();

	/** Whether no answer is pending and no request waits to be read. */
	bool is_idle() const;

	/** How long the connection has been without a request. */
	duration get_idle_time(instant p_now) const { return p_now - _idle_since; }

	/** Whether each further answer closes its connection. */
	bool is_closing() const { return _shared.is_closing; }
};

} // namespace calicoscale

#endif // CALLER_CONNECTION_H
