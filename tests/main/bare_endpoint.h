/*
 * calicoscale: bare_endpoint.h
 * An endpoint whose only connection is driven by the test itself, so that it can act while the event loop of the node does not run.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef BARE_ENDPOINT_H
#define BARE_ENDPOINT_H

#include "servers/routing/endpoint_state.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

namespace calicoscale {

/** Listens from construction, accepts one connection and never blocks. */
class bare_endpoint {
	int _listener;
	int _connection = -1;
	network_address _address;
	std::string _received;

public:
	bare_endpoint() :
			_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof(address);
		bind(_listener, reinterpret_cast<const sockaddr *>(&address), size);
		listen(_listener, 1);
		getsockname(_listener, reinterpret_cast<sockaddr *>(&address), &size);
		_address = network_address{ "127.0.0.1", ntohs(address.sin_port) };
	}

	~bare_endpoint() {
		close(_listener);
		if (_connection >= 0) {
			close(_connection);
		}
	}

	bare_endpoint(const bare_endpoint &) = delete;
	bare_endpoint &operator=(const bare_endpoint &) = delete;

	/** Reads the bytes that have arrived. @return whether the complete head of a request was received. */
	bool has_request() {
		if (_connection < 0) {
			_connection = accept4(_listener, nullptr, nullptr, SOCK_NONBLOCK);
		}
		std::array<char, 4096> buffer{};
		const ssize_t count = _connection < 0 ? 0 : recv(_connection, buffer.data(), buffer.size(), 0);
		if (count > 0) {
			_received.append(buffer.data(), static_cast<std::size_t>(count));
		}
		return _received.find("\r\n\r\n") != std::string::npos;
	}

	void answer(std::string_view p_bytes) { send(_connection, p_bytes.data(), p_bytes.size(), MSG_NOSIGNAL); }

	const network_address &get_address() const { return _address; }
};

} // namespace calicoscale

#endif // BARE_ENDPOINT_H
