/*
 * calicoscale: caller_server.h
 * Serves callers over HTTP/1.1: whole requests in, answers out as they come.
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

struct evconnlistener;
struct sockaddr;

namespace calicoscale {

/** A listening server. One request at a time on a connection; the next is read when its answer is out. */
class caller_server {
	event_loop &_loop;
	caller_connection_shared _shared;
	evconnlistener *_listener = nullptr;
	network_address _address;
	std::vector<std::unique_ptr<caller_connection>> _connections;
	timer _sweep_timer;

	static void _on_accept(evconnlistener *p_listener, int p_socket, sockaddr *p_from, int p_size, void *p_self);
	void _sweep();
	/** Takes connections that wait to be accepted: closing the listener would reset them. */
	void _accept_waiting();
	void _drop(caller_connection &p_connection);

public:
	/**
	 * Listens at once.
	 * @throws std::runtime_error when the address cannot be bound.
	 */
	caller_server(event_loop &p_loop, const network_address &p_address, const caller_server_limits &p_limits, std::function<void(const std::shared_ptr<caller_exchange> &)> p_handler);
	~caller_server();
	caller_server(const caller_server &) = delete;
	caller_server &operator=(const caller_server &) = delete;

	/** Puts limits in force for requests that begin from now on. */
	void set_limits(const caller_server_limits &p_limits) { _shared.limits = p_limits; }

	/** Answers from now on tell the caller that the connection ends with them. */
	void announce_close() { _shared.is_closing = true; }

	/** Closes connections that have rested for so long without a request. What crosses the close is not read but reset. */
	void close_idle(duration p_rest);

	/** Stops accepting connections, but for those that wait for it already; those that carry no request are closed. */
	void stop_listening();

	/** Sets what is told of callers' bytes that crossed an end of this side. */
	void set_on_post_close_input(std::function<void(const post_close_input &)> p_hook) { _shared.on_post_close_input = std::move(p_hook); }

	/** Sets what is told of callers that did not take their answers. */
	void set_on_slow_reader(std::function<void(const slow_reader &)> p_hook) { _shared.on_slow_reader = std::move(p_hook); }

	/** Sets how much may wait to be written to all callers together, in bytes. */
	void set_write_budget(std::size_t p_bytes) { _shared.writes = write_budget(p_bytes); }

	/** Bytes that wait to be written to callers. */
	std::size_t get_buffered_bytes() const { return _shared.writes.get_buffered_bytes(); }

	/** Connections that this side ended, by cause. */
	const std::map<connection_end, std::size_t> &get_ended() const { return _shared.ended; }

	const network_address &get_address() const { return _address; }
	std::size_t get_open_requests() const { return _shared.open_requests; }
	std::size_t get_connection_count() const { return _connections.size(); }
	/** Requests refused as malformed or over a limit. */
	std::size_t get_rejected() const { return _shared.rejected; }
};

} // namespace calicoscale

#endif // CALLER_SERVER_H
