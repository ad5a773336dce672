/*
 * calicoscale: http_client.h
 * HTTP calls by evhttp; a failure tells whether any byte was handed to the socket.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "drivers/event_loop.h"
#include "servers/routing/endpoint_state.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** One header of a call or an answer. */
struct http_header {
	std::string name;
	std::string value;
};

/** Whether a header (name compared case-insensitively) occurs several times with different values, so that it is undefined which of them holds. */
bool is_contradictory(const std::vector<http_header> &p_headers, std::string_view p_name);

/** One call. */
struct http_call {
	network_address to;
	bool is_post = false;
	std::string path;
	std::vector<http_header> headers;
	std::string body;
	duration timeout = std::chrono::seconds(5); ///< Longest time without progress on the connection.
	bool fresh_connection = false; ///< Never reuse a kept-alive connection, which the peer may close during the call.
	std::size_t largest_answer = 8 * 1024 * 1024;
};

/** How a call failed. */
enum class http_failure {
	NONE,
	CONNECT_FAILED, ///< No byte was handed to a connected socket.
	LOST, ///< The connection failed before the answer was complete.
	TIMED_OUT,
	MALFORMED, ///< The bytes received are not a valid answer; the call may have run.
};

/** Identity of a call within its client. */
using call_id = std::uint64_t;

/** Outcome of a call. */
struct http_result {
	call_id call = 0;
	http_failure failure = http_failure::NONE;
	int status = 0;
	std::vector<http_header> headers;
	std::string body;
	bool has_length = false; ///< The answer had a length or was chunked, so that it is known to be complete.
	bool is_first_on_connection = false; ///< The connection carried no call before, so that the answer belongs to this one.

	/** Returns the value of a header (name compared case-insensitively); empty when absent. */
	std::string find_header(std::string_view p_name) const;
};

/** Hooks of a call. Either may be empty. */
struct http_hooks {
	std::function<void(std::string_view p_chunk)> on_chunk; ///< Receives parts of a 200 answer's body as they arrive; the body in the result then stays empty.
	std::function<void(const http_result &p_result)> on_end; ///< Called exactly once, unless the call is cancelled.
};

/** Makes calls and keeps idle connections. A connection carries one call at a time; nothing is pipelined or re-sent. */
class http_client {
	class call_state;
	struct idle_connection;

	event_loop &_loop;
	std::map<call_id, std::unique_ptr<call_state>> _calls;
	std::map<std::string, std::vector<idle_connection>> _idle;
	std::weak_ptr<call_state> _ended; ///< The call whose on_end hook was called last.
	call_id _next_id = 1;
	std::uint64_t _bytes_sent = 0;
	std::uint64_t _bytes_received = 0;

	void _end(call_id p_id, http_result p_result, bool p_keep);
	/** Ends a call whose answer is not valid, and closes its connection. */
	void _refuse(call_id p_id);

public:
	explicit http_client(event_loop &p_loop);
	~http_client();
	http_client(const http_client &) = delete;
	http_client &operator=(const http_client &) = delete;

	call_id start(const http_call &p_call, http_hooks p_hooks);

	/** Cancels a call: closes its connection; its hooks are not called afterwards. */
	void cancel(call_id p_id);

	/** Closes the connection of a call that has ended just now, as its answer belongs to another call. To be called by its on_end hook. */
	void discard_connection(call_id p_id);

	/** Closes connections that have exceeded the idle limit. To be called periodically. */
	void drop_old_connections();

	std::size_t get_open_count() const { return _calls.size(); }
	std::uint64_t get_bytes_sent() const { return _bytes_sent; }
	std::uint64_t get_bytes_received() const { return _bytes_received; }
};

} // namespace calicoscale

#endif // HTTP_CLIENT_H
