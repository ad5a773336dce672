/*
 * calicoscale: socket_address.h
 * IPv4 addresses as the socket calls take and give them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOCKET_ADDRESS_H
#define SOCKET_ADDRESS_H

#include "servers/routing/endpoint_state.h"

#include <netinet/in.h>

namespace calicoscale {

/** The address for bind and connect. */
sockaddr_in make_socket_address(const network_address &p_address);

/** The address a listening socket was bound to; tells the port when 0 was asked for. */
network_address get_bound_address(int p_socket, const std::string &p_host);

} // namespace calicoscale

#endif // SOCKET_ADDRESS_H
