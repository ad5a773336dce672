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
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** Answers each request with the same bytes as soon as the blank line after its headers has arrived. */
class raw_server {
public:
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
	after _after = after::KEEP;

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
		evbuffer_drain(input, evbuffer_get_length(input));
		self._answered.insert(p_stream);
		bufferevent_write(p_stream, self._answer.data(), self._answer.size());
		if (self._answer.empty()) {
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
