/*
 * calicoscale: standin_server.cpp
 * A listening address that faults can close and open again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_server.h"

#include "drivers/socket_address.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace calicoscale {

standin_server::standin_server(event_loop &p_loop, const network_address &p_address, std::function<void(std::unique_ptr<http_exchange>)> p_handler) :
		_loop(p_loop), _address(p_address), _handler(std::move(p_handler)) {
	set_open(true);
}

void standin_server::set_open(bool p_open) {
	if (!p_open) {
		// Freed from the loop: a handler of this server may be on the stack.
		std::shared_ptr<http_server> closed = std::move(_server);
		if (closed) {
			closed->stop_listening();
			_loop.post([closed] {});
			_hold_port();
		}
		return;
	}
	if (!_server) {
		http_server_limits limits;
		limits.body_bytes = 8 * 1024 * 1024;
		_server = std::make_unique<http_server>(_loop, _address, limits, _handler);
		_address = _server->get_address();
		_port_holder.reset();
	}
}

void standin_server::_hold_port() {
	const int socket_handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	_port_holder = std::unique_ptr<int, std::function<void(int *)>>(new int(socket_handle), [](int *p_handle) {
		close(*p_handle);
		delete p_handle;
	});
	// Lets the server listen here again before the holder is closed.
	const int reuse = 1;
	setsockopt(socket_handle, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	const sockaddr_in address = make_socket_address(_address);
	if (bind(socket_handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
		throw std::runtime_error("cannot hold the port of " + to_string(_address));
	}
}

} // namespace calicoscale
