/*
 * calicoscale: socket_queues.cpp
 * What waits at a socket: bytes or an end that this side has not read, and bytes the other side has not taken.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/socket_queues.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace calicoscale {

std::size_t get_unread_bytes(int p_socket) {
	int count = 0;
	return ioctl(p_socket, FIONREAD, &count) == 0 && count > 0 ? static_cast<std::size_t>(count) : 0;
}

bool is_quiet(int p_socket) {
	pollfd look{ p_socket, POLLIN | POLLRDHUP, 0 };
	return poll(&look, 1, 0) == 0;
}

bool is_connected(int p_socket) {
	pollfd look{ p_socket, POLLOUT, 0 };
	return poll(&look, 1, 0) == 1 && (look.revents & (POLLERR | POLLHUP)) == 0 && (look.revents & POLLOUT) != 0;
}

std::optional<std::size_t> get_unacknowledged_bytes(int p_socket) {
	int count = 0;
	if (ioctl(p_socket, SIOCOUTQ, &count) != 0 || count < 0) {
		return std::nullopt;
	}
	return static_cast<std::size_t>(count);
}

} // namespace calicoscale
