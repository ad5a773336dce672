/*
 * calicoscale: socket_end.h
 * How a TCP connection ends.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOCKET_END_H
#define SOCKET_END_H

#include <sys/socket.h>
#include <unistd.h>

namespace calicoscale {

/** Whether the peer reset it, or it broke; also after an orderly end of the peer's sending. */
inline bool has_socket_error(int p_socket) {
	int error = 0;
	socklen_t size = sizeof(error);
	return p_socket >= 0 && getsockopt(p_socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

inline void end_sending(int p_socket) {
	if (p_socket >= 0) {
		shutdown(p_socket, SHUT_WR);
	}
}

inline void close_socket(int p_socket) {
	if (p_socket >= 0) {
		close(p_socket);
	}
}

inline void reset_socket(int p_socket) {
	if (p_socket >= 0) {
		const linger at_once{ 1, 0 };
		setsockopt(p_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
		close(p_socket);
	}
}

} // namespace calicoscale

#endif // SOCKET_END_H
