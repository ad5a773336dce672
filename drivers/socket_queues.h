/*
 * calicoscale: socket_queues.h
 * What waits at a socket: bytes or an end that this side has not read, and bytes the other side has not taken.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOCKET_QUEUES_H
#define SOCKET_QUEUES_H

#include <cstddef>
#include <optional>

namespace calicoscale {

/** Bytes that have arrived at a socket and that nobody has read; none also when the system does not tell. */
std::size_t get_unread_bytes(int p_socket);

/** Whether neither bytes nor an end nor an error of the other side wait to be read. */
bool is_quiet(int p_socket);

/** Whether the connection of a socket has come up. */
bool is_connected(int p_socket);

/** Bytes written to a socket that the other side has not acknowledged; empty when the system does not tell. */
std::optional<std::size_t> get_unacknowledged_bytes(int p_socket);

} // namespace calicoscale

#endif // SOCKET_QUEUES_H
