/*
 * calicoscale: raw_server.h
 * A server for tests that answers every request with the same configured bytes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include "drivers/event_loop.h"
#include "servers/routing/endpoint_state.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Answers each request with the same bytes, or with those that a hook returns, as soon as the blank line after its headers has arrived. */
class raw_server {
public:
	/** Gets the number of the connection, starting at 0, and the request; returns the bytes to send. */
	using responder = std::function<std::string(std::size_t, const std::string &)>;

	/** Stands for the value of the request's X-Attempt-Id in the bytes of an answer. */
	static constexpr std::string_view ATTEMPT_PLACEHOLDER = "$attempt";

	/** What the server does after it has sent the bytes. */
	enum class after {
		KEEP,
		CLOSE,
		RESET,
		END, ///< Closes the connection in an orderly way and stops listening, like a process that exits.
	};

private:
	event_loop &_loop;
	evconnlistener *_listener = nullptr;
	std::vector<bufferevent *> _streams;
	std::set<bufferevent *> _answered;
	network_address _address;
	std::string _answer;
	responder _responder;
	after _after = after::KEEP;

	std::string _make_answer(bufferevent *p_stream, const std::string &p_request) const {
		const auto connection = std::find(_streams.begin(), _streams.end(), p_stream);
		std::string answer = _responder ? _responder(static_cast<std::size_t>(connection - _streams.begin()), p_request) : _answer;
		for (std::size_t place = answer.find(ATTEMPT_PLACEHOLDER); place != std::string::npos; place = answer.find(ATTEMPT_PLACEHOLDER)) {
			answer.replace(place, ATTEMPT_PLACEHOLDER.size(), get_header(p_request, "X-Attempt-Id"));
		}
		return answer;
	}

	static void _on_accept(evconnlistener *, evutil_socket_t p_socket, sockaddr *, int, void *p_self) {
		raw_server &self = *static_cast<raw_server *>(p_self);
		bufferevent *stream = bufferevent_socket_new(self._loop.get_base(), p_socket, 0);
		bufferevent_setcb(stream, &raw_server::_on_readable, &raw_server::_on_written, nullptr, p_self);
		bufferevent_enable(stream, EV_READ | EV_WRITE);
		self._streams.push_back(stream);
	}

	static void _on_readable(bufferevent *p_stream, void *p_self) {
		raw_server &self = *static_cast<raw_server *>(p_self);
		evbuffer *input = bufferevent_get_input(p_stream);
		if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
			return;
		}
		std::string request(evbuffer_get_length(input), '\0');
		evbuffer_remove(input, request.data(), request.size());
		self._answered.insert(p_stream);
		const std::string answer = self._make_answer(p_stream, request);
		bufferevent_write(p_stream, answer.data(), answer.size());
		if (answer.empty()) {
			self._finish(p_stream);
		}
	}

	static void _on_written(bufferevent *p_stream, void *p_self) {
		raw_server &self = *static_cast<raw_server *>(p_self);
		// libevent also calls this when a connection is established and nothing has been written yet.
		if (self._answered.contains(p_stream)) {
			self._finish(p_stream);
		}
	}

	void _finish(bufferevent *p_stream) {
		if (_after == after::KEEP) {
			return;
		}
		const evutil_socket_t socket = bufferevent_getfd(p_stream);
		if (_after == after::END) {
			close();
		}
		if (_after == after::RESET) {
			const linger at_once{ 1, 0 };
			setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
		}
		bufferevent_disable(p_stream, EV_READ | EV_WRITE);
		bufferevent_setfd(p_stream, -1);
		evutil_closesocket(socket);
	}

public:
	explicit raw_server(event_loop &p_loop) :
			_loop(p_loop) {
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		_listener = evconnlistener_new_bind(p_loop.get_base(), &raw_server::_on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
		socklen_t size = sizeof(address);
		getsockname(evconnlistener_get_fd(_listener), reinterpret_cast<sockaddr *>(&address), &size);
		_address = network_address{ "127.0.0.1", ntohs(address.sin_port) };
	}

	~raw_server() {
		close();
		for (bufferevent *stream : _streams) {
			const evutil_socket_t socket = bufferevent_getfd(stream);
			bufferevent_free(stream);
			if (socket >= 0) {
				evutil_closesocket(socket);
			}
		}
	}

	raw_server(const raw_server &) = delete;
	raw_server &operator=(const raw_server &) = delete;

	void set_answer(std::string p_bytes, after p_after) {
		_answer = std::move(p_bytes);
		_after = p_after;
	}

	/** Chooses the bytes for each request from now on. Empty bytes are no answer. */
	void set_responder(responder p_responder) { _responder = std::move(p_responder); }

	/** Sends bytes on a connection, without a request. */
	void send(std::size_t p_connection, const std::string &p_bytes) { bufferevent_write(_streams.at(p_connection), p_bytes.data(), p_bytes.size()); }

	/** Returns the value of a request's header; empty when it has none. */
	static std::string get_header(const std::string &p_request, const std::string &p_name) {
		const std::string start = "\r\n" + p_name + ": ";
		const std::size_t found = p_request.find(start);
		if (found == std::string::npos) {
			return "";
		}
		const std::size_t value = found + start.size();
		return p_request.substr(value, p_request.find("\r\n", value) - value);
	}

	/** Closes all connections immediately, without running the event loop. */
	void close_connections() {
		_after = after::CLOSE;
		for (bufferevent *stream : _streams) {
			if (bufferevent_getfd(stream) >= 0) {
				_finish(stream);
			}
		}
	}

	/** Stops listening. */
	void close() {
		if (_listener != nullptr) {
			evconnlistener_free(_listener);
			_listener = nullptr;
		}
	}

	std::size_t count_accepted() const { return _streams.size(); }

	/** Returns how many of the accepted connections the other side has ended. */
	std::size_t count_ended_by_peer() const {
		return static_cast<std::size_t>(std::count_if(_streams.begin(), _streams.end(), [](bufferevent *p_stream) {
			pollfd state{ bufferevent_getfd(p_stream), POLLRDHUP, 0 };
			return poll(&state, 1, 0) > 0;
		}));
	}

	const network_address &get_address() const { return _address; }
};

} // namespace calicoscale

#endif // RAW_SERVER_H
