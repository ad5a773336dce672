/*
 * calicoscale: soak_connection.h
 * A caller's connection to a node, and how it ends.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_CONNECTION_H
#define SOAK_CONNECTION_H

#include "drivers/event_loop.h"
#include "drivers/http_reader.h"
#include "servers/routing/endpoint_state.h"
#include "tests/soak/promise_book.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace calicoscale {

/** What a connection tells its caller. Each is called from the loop; the connection may be destroyed in any but on_sent. */
struct soak_connection_hooks {
	std::function<void()> on_sent; ///< The request's last byte is with the kernel.
	std::function<void(const http_head &, const std::string &)> on_answer;
	/** It ended under a request; whether an answer had begun. */
	std::function<void(unanswered_end, bool)> on_broken;
	std::function<void()> on_closed; ///< It ended while no request was open.
	std::function<void(const std::string &)> on_surplus;
};

/** Carries one request after the other. */
class soak_connection {
	event_loop &_loop;
	soak_connection_hooks _hooks;
	bufferevent *_stream;
	http_reader _reader;
	std::string _body;
	timer _reset_timer;
	instant _closed_at{};
	bool _is_connected = false;
	bool _is_open_request = false;
	bool _is_whole_request = false;
	bool _told_sent = false;
	bool _is_over = false;

	static void _on_readable(bufferevent *, void *p_self);
	static void _on_drained(bufferevent *, void *p_self);
	static void _on_event(bufferevent *, short p_what, void *p_self);
	void _read();
	void _take_answer();
	void _on_end(bool p_is_reset);
	void _break(unanswered_end p_end);
	void _watch_for_reset();

public:
	/** A request that crossed the end of its connection unread is reset at the latest when the node closes for good; far longer than any node waits. */
	static constexpr duration RESET_WAIT = std::chrono::seconds(8);

	soak_connection(event_loop &p_loop, const network_address &p_to, soak_connection_hooks p_hooks);
	/** Closes it in good order. */
	~soak_connection();
	soak_connection(const soak_connection &) = delete;
	soak_connection &operator=(const soak_connection &) = delete;

	/** Sends part of a request; the first part begins it. */
	void send(std::string_view p_bytes, bool p_is_last);

	/** Calls no hook any more. */
	void abandon();

	bool is_open_request() const { return _is_open_request; }
	/** What has come of the body of the answer to the open request. */
	const std::string &get_body() const { return _body; }
	/** The node ended it under the request, and no reset told yet that the request was not read. */
	bool is_closed() const { return _closed_at != instant(); }
};

} // namespace calicoscale

#endif // SOAK_CONNECTION_H
