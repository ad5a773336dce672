/*
 * calicoscale: socket_queues.cpp
 * State of a socket's queues: unread input and unacknowledged output.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/socket_queues.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace calicoscale {

std::size_t get_unread_bytes(int p_socket) {
	int count = 0;
	return ioctl(p_socket, FIONREAD, &count) == 0 && count > 0 ? static_cast<std::size_t>(count) : 0;
}

duration get_input_age(int p_socket) {
	tcp_info info{};
	socklen_t size = sizeof(info);
	const bool is_known = getsockopt(p_socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
	return is_known ? std::chrono::milliseconds(info.tcpi_last_data_recv) : duration::zero();
}

bool is_quiet(int p_socket) {
	pollfd entry{ p_socket, POLLIN | POLLRDHUP, 0 };
	return poll(&entry, 1, 0) == 0;
}

bool is_connected(int p_socket) {
	pollfd entry{ p_socket, POLLOUT, 0 };
	return poll(&entry, 1, 0) == 1 && (entry.revents & (POLLERR | POLLHUP)) == 0 && (entry.revents & POLLOUT) != 0;
}

std::optional<std::size_t> get_unacknowledged_bytes(int p_socket) {
	int count = 0;
	if (ioctl(p_socket, SIOCOUTQ, &count) != 0 || count < 0) {
		return std::nullopt;
	}
	return static_cast<std::size_t>(count);
}

} // namespace calicoscale
