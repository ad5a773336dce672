/*
 * calicoscale: caller_server.h
 * Serves callers over HTTP/1.1: reads complete requests and streams answers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_SERVER_H
#define CALLER_SERVER_H

#include "drivers/caller_connection.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct evconnlistener;

namespace calicoscale {

/** A listening server. Handles one request at a time on a connection; the next is read after the answer has been written. */
class caller_server {
	event_loop &_loop;
	caller_connection_shared _shared;
	struct event_deleter {
		void operator()(event *p_event) const;
	};

	evconnlistener *_listener = nullptr;
	std::unique_ptr<event, event_deleter> _accept_event; ///< Fires while connections wait to be accepted.
	std::function<bool(duration)> _should_shed; ///< May be empty.
	network_address _address;
	std::vector<std::unique_ptr<caller_connection>> _connections;
	timer _sweep_timer;

	static void _on_acceptable(int p_socket, short p_what, void *p_self);
	/** Accepts a pending connection; -1 if there is none. */
	int _accept_next();
	void _open(int p_socket);
	/** Closes a connection with nothing read, so that its caller knows that its request did not run. */
	void _shed(int p_socket);
	void _sweep();
	/** Accepts pending connections: closing the listener would reset them. */
	void _accept_waiting();
	void _drop(caller_connection &p_connection);

public:
	/**
	 * Starts to listen.
	 * @throws std::runtime_error when the address cannot be bound.
	 */
	caller_server(event_loop &p_loop, const network_address &p_address, const caller_server_limits &p_limits, std::function<void(const std::shared_ptr<caller_exchange> &)> p_handler);
	~caller_server();
	caller_server(const caller_server &) = delete;
	caller_server &operator=(const caller_server &) = delete;

	/** Sets the limits, for open connections too; the header limit takes effect with a connection's next request. */
	void set_limits(const caller_server_limits &p_limits) { _shared.limits = p_limits; }

	/** Makes each further answer close its connection, with "Connection: close". */
	void announce_close() { _shared.is_closing = true; }

	/** Closes connections that have been idle for at least this long. Input that arrives after the close is not read but reset. */
	void close_idle(duration p_min_idle);

	/** Stops listening after accepting the connections already pending; closes connections without a request. */
	void stop_listening();

	/** Sets a hook that receives input which arrived after this side ended a connection. */
	void set_on_post_close_input(std::function<void(const post_close_input &)> p_hook) { _shared.on_post_close_input = std::move(p_hook); }

	/**
	 * Accepts connections only while no other socket is ready, one at a time, so that requests that have been read are served first.
	 * @param p_hook decides, by the time for which a connection has waited since its last bytes arrived, whether it is closed with nothing read.
	 */
	void accept_last(std::function<bool(duration)> p_hook);

	/** Sets a hook that is called when a connection is reset because its caller does not read its answer. */
	void set_on_slow_reader(std::function<void(const slow_reader &)> p_hook) { _shared.on_slow_reader = std::move(p_hook); }

	/** Sets the limit on output buffered for all callers together, in bytes. */
	void set_write_budget(std::size_t p_bytes) { _shared.writes = write_budget(p_bytes); }

	/** Number of bytes buffered for all callers. */
	std::size_t get_buffered_bytes() const { return _shared.writes.get_buffered_bytes(); }

	/** Number of connections that this side ended, by cause. */
	const std::map<connection_end, std::size_t> &get_ended() const { return _shared.ended; }

	const network_address &get_address() const { return _address; }
	std::size_t get_open_requests() const { return _shared.open_requests; }
	std::size_t get_connection_count() const { return _connections.size(); }
	/** Number of requests rejected as malformed or over a limit. */
	std::size_t get_rejected() const { return _shared.rejected; }
};

} // namespace calicoscale

#endif // CALLER_SERVER_H
