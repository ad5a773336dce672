/*
 * calicoscale: caller_server.h
 * Serves callers over HTTP/1.1: whole requests in, answers out as they come.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_SERVER_H
#define CALLER_SERVER_H

#include "drivers/event_loop.h"
#include "drivers/http_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace calicoscale {

/** Limits of a server towards its callers. */
struct caller_server_limits {
	std::size_t header_bytes = 16 * 1024;
	std::size_t body_bytes = 4 * 1024 * 1024;
	duration header_timeout = std::chrono::seconds(3); ///< For the head of a request, from its first byte.
	duration idle_timeout = std::chrono::seconds(15);
};

/** Why this side ended a connection of a caller. */
enum class connection_end {
	RESTED, ///< Without a request for longer than the limit.
	STOPPING, ///< Without a request while the server stops.
	LAST_ANSWER, ///< Behind an answer that said so.
	REJECTED, ///< Behind the refusal of what is malformed, too large or too slow.
	BROKEN_OFF, ///< An answer that cannot become whole.
};

/** Name of an end, e.g. "rested". */
std::string_view get_name(connection_end p_end);

/** Bytes of a caller that came when this side had ended the connection, and that nobody answers. */
struct crossed_end {
	connection_end end = connection_end::RESTED;
	duration since_end = duration::zero(); ///< From the end to these bytes, as this side read them.
	duration rested = duration::zero(); ///< Without a request, until the end.
	std::size_t bytes = 0;
};

class caller_server;

/** One request and the way to answer it. It outlives its connection: what is sent then goes nowhere. */
class caller_exchange {
	friend class caller_server;

	caller_server *_server = nullptr;
	void *_connection = nullptr; ///< Set while the connection stands.
	std::function<void()> _on_gone;
	bool _started = false;
	bool _ended = false;
	bool _chunked = false;
	bool _without_body = false;

	void _write_head(int p_status, const std::vector<http_header> &p_headers, std::optional<std::size_t> p_length);
	void _finish_answer();

public:
	http_head head;
	std::string body;
	instant received_at{}; ///< When the first byte came.
	duration rested = duration::zero(); ///< Since the connection's previous answer, or since it was opened.
	std::size_t earlier = 0; ///< Requests that the connection carried before.

	/** Calls the hook when the caller goes away before the answer is complete. */
	void set_on_gone(std::function<void()> p_hook) { _on_gone = std::move(p_hook); }

	/** Answers at once. */
	void reply(int p_status, const std::vector<http_header> &p_headers, std::string_view p_body);

	/** Begins an answer whose length is not known. */
	void start(int p_status, const std::vector<http_header> &p_headers);
	void send(std::string_view p_bytes);
	void end();

	/** Breaks an answer off, so that the caller cannot take it for whole. */
	void abort();

	bool is_gone() const { return _connection == nullptr; }
	bool has_started() const { return _started; }
	bool has_ended() const { return _ended; }
};

/** A listening server. One request at a time on a connection; the next is read when its answer is out. */
class caller_server {
	friend class caller_exchange;
	class connection;

	event_loop &_loop;
	caller_server_limits _limits;
	std::function<void(std::shared_ptr<caller_exchange>)> _handler;
	evconnlistener *_listener = nullptr;
	network_address _address;
	std::vector<std::unique_ptr<connection>> _connections;
	timer _sweep_timer;
	bool _closing = false;
	std::size_t _open_requests = 0;
	std::size_t _rejected = 0;
	std::map<connection_end, std::size_t> _ended;
	std::function<void(const crossed_end &)> _on_crossed;

	static void _on_accept(evconnlistener *p_listener, int p_socket, sockaddr *p_from, int p_size, void *p_self);
	void _sweep();
	void _drop(connection *p_connection);

public:
	/**
	 * Listens at once.
	 * @throws std::runtime_error when the address cannot be bound.
	 */
	caller_server(event_loop &p_loop, const network_address &p_address, const caller_server_limits &p_limits, std::function<void(std::shared_ptr<caller_exchange>)> p_handler);
	~caller_server();
	caller_server(const caller_server &) = delete;
	caller_server &operator=(const caller_server &) = delete;

	/** Puts limits in force for requests that begin from now on. */
	void set_limits(const caller_server_limits &p_limits) { _limits = p_limits; }

	/** Answers from now on tell the caller that the connection ends with them. */
	void announce_close() { _closing = true; }

	/** Closes connections that have rested for so long without a request. What crosses the close is not read but reset. */
	void close_idle(duration p_rest);

	/** Stops accepting connections; those that carry no request are closed. */
	void stop_listening();

	/** Sets what is told of callers' bytes that crossed an end of this side. */
	void set_on_crossed(std::function<void(const crossed_end &)> p_hook) { _on_crossed = std::move(p_hook); }

	/** Connections that this side ended, by cause. */
	const std::map<connection_end, std::size_t> &get_ended() const { return _ended; }

	const network_address &get_address() const { return _address; }
	std::size_t get_open_requests() const { return _open_requests; }
	std::size_t get_connection_count() const { return _connections.size(); }
	/** Requests refused as malformed or over a limit. */
	std::size_t get_rejected() const { return _rejected; }
};

/** Reason phrase of a status. */
std::string_view get_reason_phrase(int p_status);

} // namespace calicoscale

#endif // CALLER_SERVER_H
