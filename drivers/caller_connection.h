/*
 * calicoscale: caller_connection.h
 * One connection of a caller: reads its requests one after the other and ends when it has rested.
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

/** Limits of a server towards its callers. */
struct caller_server_limits {
	std::size_t header_bytes = 16 * 1024;
	std::size_t body_bytes = 4 * 1024 * 1024;
	duration header_timeout = std::chrono::seconds(3); ///< For the head of a request, from its first byte.
	duration idle_timeout = std::chrono::seconds(15);
};

class caller_connection;

/** A caller that did not take its answer. */
struct slow_reader {
	std::size_t untaken = 0; ///< Bytes that wait for it.
	duration since = duration::zero(); ///< Since it took some.
	std::size_t held = 0; ///< Bytes that wait for all callers.
};

/** What all connections of a server share: what holds for them, whom they tell, and what is counted. */
struct caller_connection_shared {
	caller_server_limits limits;
	bool is_closing = false; ///< Answers from now on end their connections.
	std::function<void(const std::shared_ptr<caller_exchange> &)> on_request;
	std::function<void(const post_close_input &)> on_post_close_input; ///< May be empty.
	std::function<void(const slow_reader &)> on_slow_reader; ///< A connection is ended as its caller takes nothing. May be empty.
	write_budget writes; ///< Of all connections.
	std::function<void(caller_connection &)> on_closed; ///< The connection must not be freed inside it.
	std::size_t open_requests = 0;
	std::size_t rejected = 0; ///< Requests refused as malformed or over a limit.
	std::map<connection_end, std::size_t> ended;
};

/**
 * One connection. One request at a time; the next is read when its answer is out.
 *
 *     READING -> ANSWERING -> READING ...            finish() without an end
 *                ANSWERING -> LINGERING -> closed    finish() with an end, or a refused request from READING
 *     READING -> ENDED -> closed                     close_without_reading(): nothing is owed, and nothing more is read
 *
 * Any of them may be closed at once: by the caller, by close() and by reset().
 */
class caller_connection {
	enum class phase {
		READING,
		ANSWERING,
		LINGERING, ///< The last answer is out or on its way; what comes in is thrown away.
		ENDED, ///< Ended without owing an answer; what comes in is not read.
	};

	caller_connection_shared &_shared;
	bufferevent *_stream;
	http_reader _reader;
	phase _phase = phase::READING;
	std::shared_ptr<caller_exchange> _exchange;
	std::string _body;
	instant _idle_since;
	duration _promised_rest; ///< The limit that was in force at the last answer, or when the connection was opened.
	instant _request_since{};
	connection_end _end = connection_end::IDLE_TIMEOUT; ///< Counts once this side ended the connection.
	instant _ended_at{};
	instant _written_at{}; ///< When all was written, after the end.
	std::size_t _handed_over = 0;
	instant _taken_at{}; ///< When the caller's side last took some of what waits for it.
	bool _is_full = false; ///< Its source was told to wait.
	bool _has_left_server = false;
	bool _too_large = false;
	bool _is_open_request = false;

	static void _on_readable(bufferevent *p_stream, void *p_self);
	static void _on_drained(bufferevent *p_stream, void *p_self);
	static void _on_event(bufferevent *p_stream, short p_what, void *p_self);
	static void _on_output(evbuffer *p_output, const evbuffer_cb_info *p_info, void *p_self);
	void _on_head(const http_head &p_head);
	void _on_body(std::string_view p_bytes);

	/** Reads what is there as far as one request goes. */
	void _read();
	void _check_reader();
	void _hand_over();
	void _reject(int p_status);
	void _forget_request();
	/** Ends what the server counts of it; nothing of the server is used from then on. */
	void _leave_server();

	/** Tells of bytes that came behind this side's end. */
	void _note_crossed(std::size_t p_bytes, bool p_was_read);
	void _note_end(connection_end p_end);

	/** Sends what is left, then waits for the caller to close. */
	void _linger(connection_end p_end);
	bool _has_ended() const { return _phase == phase::LINGERING || _phase == phase::ENDED; }

	/** Goes on with an end once all is written; before that nothing may cut the answer. */
	void _continue_end();

	/** Whether an ended connection can be closed without destroying an answer. A caller that takes nothing ends by itself. */
	bool _may_close(instant p_now) const;
	bool _is_all_written() const;
	std::size_t _get_untaken() const;

	/** Whether the caller has taken nothing for so long that what waits for it is not kept any longer. */
	bool _is_stalled(instant p_now) const;
	/** Tells the source to wait or to go on. */
	void _tell_flow();

	/** Whether the caller's system has all that was answered, so that a reset cannot destroy it. */
	bool _is_all_taken() const;

	/** Whether bytes of the caller wait to be read: a loop that was held up runs timers before it reads sockets. */
	bool _has_waiting_bytes() const;

	/** A head has its own limit; a body may take as long as a connection may rest besides. */
	duration _get_reading_limit() const;

	/** Whether a request cannot be read in time: what waits in the socket may be the rest of it. */
	bool _is_too_slow(instant p_now) const;

public:
	/** @param p_stream owned from now on. @param p_shared must outlive the connection. */
	caller_connection(caller_connection_shared &p_shared, bufferevent *p_stream);
	~caller_connection();
	caller_connection(const caller_connection &) = delete;
	caller_connection &operator=(const caller_connection &) = delete;

	/** Drops the connection; a request at work is told that its caller is gone. */
	void close();

	/** Whether the connection is reset however it is closed, with the process too. Bytes that were not taken are lost then. */
	void set_reset_on_close(bool p_resets);

	/** Drops the connection so that the caller cannot take what came for whole. */
	void reset();

	/**
	 * Ends a connection that owes no answer. A request that crosses the end is never read but reset, so that its caller knows
	 * that it did not run: one that was read and then closed upon looks like one that was lost at work.
	 */
	void close_without_reading(connection_end p_end);

	/** The answer is out. @param p_end why the connection ends with it; reads the next request without one. */
	void finish(std::optional<connection_end> p_end);

	void write(std::string_view p_bytes);

	/** Whether more waits for the caller than its share. */
	bool is_full() const { return _is_full; }

	/** Ends what takes too long. */
	void sweep(instant p_now);

	/** Promises the caller the idle limit in force, also if it is lowered later. @return seconds to tell. */
	std::int64_t announce_idle_limit();

	/** Whether the connection owes no answer and no request waits to be read. */
	bool is_idle() const;

	/** How long the connection has been without a request. */
	duration get_idle_time(instant p_now) const { return p_now - _idle_since; }

	/** Whether answers from now on end their connections. */
	bool is_closing() const { return _shared.is_closing; }
};

} // namespace calicoscale

#endif // CALLER_CONNECTION_H
