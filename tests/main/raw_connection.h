/*
 * calicoscale: raw_connection.h
 * A TCP connection without a client library, for tests that send arbitrary bytes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RAW_CONNECTION_H
#define RAW_CONNECTION_H

#include "servers/routing/endpoint_state.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

namespace calicoscale {

/** Connects in the constructor, which may block; the other functions do not block. */
class raw_connection {
	int _socket;
	std::string _received;
	bool _closed = false;
	bool _reset = false;

	/** Returns whether the socket has a pending error: recv() reports only the orderly close, even if a reset followed it. */
	bool has_error() const {
		int error = 0;
		socklen_t size = sizeof(error);
		return getsockopt(_socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
	}

public:
	explicit raw_connection(const network_address &p_to) :
			_socket(socket(AF_INET, SOCK_STREAM, 0)) {
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(p_to.port);
		inet_pton(AF_INET, p_to.host.c_str(), &address.sin_addr);
		connect(_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
		fcntl(_socket, F_SETFL, O_NONBLOCK);
	}

	~raw_connection() { close(_socket); }
	raw_connection(const raw_connection &) = delete;
	raw_connection &operator=(const raw_connection &) = delete;

	void send_bytes(std::string_view p_bytes) {
		if (send(_socket, p_bytes.data(), p_bytes.size(), MSG_NOSIGNAL) < 0) {
			_closed = true;
			_reset = _reset || errno == ECONNRESET || errno == EPIPE;
		}
	}
	void close_sending() { shutdown(_socket, SHUT_WR); }

	/** Reads all bytes that have arrived, and records a close or reset. */
	void poll() {
		std::array<char, 4096> buffer{};
		while (true) {
			const ssize_t count = recv(_socket, buffer.data(), buffer.size(), 0);
			if (count > 0) {
				_received.append(buffer.data(), static_cast<std::size_t>(count));
				continue;
			}
			_reset = _reset || (count < 0 && errno == ECONNRESET) || has_error();
			_closed = _closed || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
			return;
		}
	}

	const std::string &get_received() const { return _received; }
	bool is_closed() const { return _closed; }
	/** Returns whether the peer reset the connection, as it does when it closes with unread bytes from this side. */
	bool is_reset() const { return _reset; }
};

} // namespace calicoscale

#endif // RAW_CONNECTION_H
