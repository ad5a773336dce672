/*
 * calicoscale: socket_address.cpp
 * Conversion of IPv4 addresses for socket calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace calicoscale {

sockaddr_in make_socket_address(const network_address &p_address) {
	sockaddr_in result{};
	result.sin_family = AF_INET;
	result.sin_port = htons(p_address.port);
	inet_pton(AF_INET, p_address.host.c_str(), &result.sin_addr);
	return result;
}

network_address get_bound_address(int p_socket, const std::string &p_host) {
	sockaddr_in bound{};
	socklen_t size = sizeof(bound);
	getsockname(p_socket, reinterpret_cast<sockaddr *>(&bound), &size);
	return network_address{ p_host, ntohs(bound.sin_port) };
}

} // namespace calicoscale
