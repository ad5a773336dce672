/*
 * calicoscale: socket_address.h
 * Conversion of IPv4 addresses for socket calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOCKET_ADDRESS_H
#define SOCKET_ADDRESS_H

#include "servers/routing/endpoint_state.h"

#include <netinet/in.h>

namespace calicoscale {

/** Returns the address in the form for bind() and connect(). */
sockaddr_in make_socket_address(const network_address &p_address);

/** Returns the host given and the port that the socket is bound to, which is the actual one when 0 was requested. */
network_address get_bound_address(int p_socket, const std::string &p_host);

} // namespace calicoscale

#endif // SOCKET_ADDRESS_H
