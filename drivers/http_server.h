/*
 * calicoscale: http_server.h
 * HTTP server by evhttp, with stricter limits than its defaults.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "drivers/event_loop.h"
#include "drivers/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;
struct evhttp_connection;

namespace calicoscale {

/** One request at a server and the way to answer it. If it is destroyed unanswered, the answer is 500. */
class http_exchange {
	evhttp_request *_request;
	evhttp_connection *_connection;
	std::shared_ptr<std::set<http_exchange *>> _siblings; ///< Open exchanges of the server.
	std::function<void()> _on_disconnect;
	bool _gone = false;
	bool _streaming = false;
	bool _answered = false;

	static void _on_closed(evhttp_connection *p_connection, void *p_self);
	void _add_headers(const std::string &p_content_type, const std::vector<http_header> &p_headers);
	void _forget_connection();

public:
	/** @param p_siblings exchanges of the same server; this one adds and removes itself. */
	http_exchange(evhttp_request *p_request, std::shared_ptr<std::set<http_exchange *>> p_siblings);
	~http_exchange();
	http_exchange(const http_exchange &) = delete;
	http_exchange &operator=(const http_exchange &) = delete;

	bool is_post() const;
	bool is_get() const;

	/** Path without the query, not decoded. */
	std::string get_path() const;

	/** Value of a query parameter, decoded; empty when absent. */
	std::optional<std::string> find_parameter(std::string_view p_name) const;

	/** Value of a header; empty when absent. */
	std::optional<std::string> find_header(std::string_view p_name) const;

	/** Number of occurrences of a header in the request. */
	std::size_t count_header(std::string_view p_name) const;

	/** Removes and returns the body. */
	std::string take_body();

	/** Sets a hook that is called when the caller disconnects before the answer is complete. */
	void set_on_disconnect(std::function<void()> p_hook) { _on_disconnect = std::move(p_hook); }

	/** Sends a complete answer. */
	void reply(int p_status, const std::string &p_content_type, const std::string &p_body, const std::vector<http_header> &p_headers = {});

	/** Starts an answer in parts. */
	void start_stream(int p_status, const std::string &p_content_type, const std::vector<http_header> &p_headers = {});
	void send_part(std::string_view p_bytes);
	/** Ends an answer in parts. */
	void end_stream();
	/** Aborts an answer in parts: the caller sees it as truncated, never as complete. */
	void break_stream();

	/** Called before the server is destroyed, and the request with it; nothing can be sent afterwards. */
	void detach();

	bool is_gone() const { return _gone; }
	bool is_streaming() const { return _streaming; }
};

/** Limits of a server. */
struct http_server_limits {
	std::size_t header_bytes = 16 * 1024;
	std::size_t body_bytes = 1024 * 1024;
	int idle_seconds = 60;
};

/** A listening server. */
class http_server {
	struct server_deleter {
		void operator()(evhttp *p_server) const;
	};

	std::unique_ptr<evhttp, server_deleter> _server;
	std::function<void(std::unique_ptr<http_exchange> p_exchange)> _handler;
	std::shared_ptr<std::set<http_exchange *>> _open;
	evhttp_bound_socket *_socket = nullptr;
	network_address _address;

	static void _on_request(evhttp_request *p_request, void *p_self);

public:
	/**
	 * Starts to listen.
	 * @throws std::runtime_error when the address cannot be bound.
	 */
	http_server(event_loop &p_loop, const network_address &p_address, const http_server_limits &p_limits, std::function<void(std::unique_ptr<http_exchange>)> p_handler);

	~http_server();
	http_server(const http_server &) = delete;
	http_server &operator=(const http_server &) = delete;

	/** The bound address; contains the actual port when 0 was requested. */
	const network_address &get_address() const { return _address; }

	/** Stops accepting connections; open ones continue. */
	void stop_listening();
};

} // namespace calicoscale

#endif // HTTP_SERVER_H
