/*
 * calicoscale: caller_server.cpp
 * Serves callers over HTTP/1.1: reads complete requests and streams answers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/caller_server.h"

#include "drivers/socket_address.h"
#include "drivers/socket_queues.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace calicoscale {

namespace {

constexpr duration SWEEP_INTERVAL = std::chrono::milliseconds(500);
constexpr int BACKLOG = 1024;

} // namespace

caller_server::caller_server(event_loop &p_loop, const network_address &p_address, const caller_server_limits &p_limits, std::function<void(const std::shared_ptr<caller_exchange> &)> p_handler) :
		_loop(p_loop), _sweep_timer(p_loop, [this] { _sweep(); }) {
	_shared.limits = p_limits;
	_shared.on_request = std::move(p_handler);
	_shared.on_closed = [this](caller_connection &p_connection) { _drop(p_connection); };
	const sockaddr_in address = make_socket_address(p_address);
	const unsigned int flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_DISABLED;
	_listener = evconnlistener_new_bind(p_loop.get_base(), nullptr, nullptr, flags, BACKLOG, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
	if (_listener == nullptr) {
		throw std::runtime_error("cannot listen at " + to_string(p_address));
	}
	_address = get_bound_address(evconnlistener_get_fd(_listener), p_address.host);
	_accept_event.reset(event_new(p_loop.get_base(), evconnlistener_get_fd(_listener), EV_READ | EV_PERSIST, &caller_server::_on_acceptable, this));
	event_add(_accept_event.get(), nullptr);
	_sweep_timer.set(SWEEP_INTERVAL);
}

caller_server::~caller_server() {
	_accept_event.reset();
	if (_listener != nullptr) {
		evconnlistener_free(_listener);
	}
}

void caller_server::event_deleter::operator()(event *p_event) const {
	event_free(p_event);
}

void caller_server::accept_last(std::function<bool(duration)> p_hook) {
	_should_shed = std::move(p_hook);
	event_del(_accept_event.get());
	event_priority_set(_accept_event.get(), event_loop::LAST_PRIORITY);
	event_add(_accept_event.get(), nullptr);
}

void caller_server::_on_acceptable(int, short, void *p_self) {
	caller_server &self = *static_cast<caller_server *>(p_self);
	const int accepted = self._accept_next();
	if (accepted < 0) {
		return;
	}
	if (self._should_shed && self._should_shed(get_input_age(accepted))) {
		self._shed(accepted);
	} else {
		self._open(accepted);
	}
}

int caller_server::_accept_next() {
	return accept4(evconnlistener_get_fd(_listener), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

void caller_server::_open(int p_socket) {
	bufferevent *stream = bufferevent_socket_new(_loop.get_base(), p_socket, BEV_OPT_CLOSE_ON_FREE);
	_connections.push_back(std::make_unique<caller_connection>(_shared, stream));
}

void caller_server::_shed(int p_socket) {
	const linger at_once{ 1, 0 };
	setsockopt(p_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(p_socket);
	_shared.ended[connection_end::OVERLOADED]++;
}

void caller_server::_drop(caller_connection &p_connection) {
	const auto found = std::find_if(_connections.begin(), _connections.end(), [&p_connection](const std::unique_ptr<caller_connection> &p_entry) {
		return p_entry.get() == &p_connection;
	});
	if (found == _connections.end()) {
		return;
	}
	// Freed in a later turn of the loop, because this may run inside one of the connection's own callbacks.
	std::shared_ptr<caller_connection> removed = std::move(*found);
	_connections.erase(found);
	_loop.post([removed] {});
}

void caller_server::_sweep() {
	const instant now = event_loop::now();
	for (std::size_t i = _connections.size(); i > 0; i--) {
		_connections[i - 1]->sweep(now);
	}
	_sweep_timer.set(SWEEP_INTERVAL);
}

void caller_server::_accept_waiting() {
	for (int accepted = _accept_next(); accepted >= 0; accepted = _accept_next()) {
		_open(accepted);
	}
}

void caller_server::stop_listening() {
	announce_close();
	close_idle(duration::zero());
	if (_listener != nullptr) {
		_accept_waiting();
		_accept_event.reset();
		evconnlistener_free(_listener);
		_listener = nullptr;
	}
}

void caller_server::close_idle(duration p_min_idle) {
	const instant now = event_loop::now();
	// Iterates backwards, because a connection that closes immediately is removed from the list. An idle one has no request, so no disconnect hook runs.
	for (std::size_t i = _connections.size(); i > 0; i--) {
		caller_connection &entry = *_connections[i - 1];
		if (entry.get_idle_time(now) >= p_min_idle && entry.is_idle()) {
			entry.close_without_reading(connection_end::STOPPING);
		}
	}
}

} // namespace calicoscale
