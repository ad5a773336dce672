/*
 * calicoscale: socket_queues.h
 * State of a socket's queues: unread input and unacknowledged output.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOCKET_QUEUES_H
#define SOCKET_QUEUES_H

#include "core/time.h"

#include <cstddef>
#include <optional>

namespace calicoscale {

/** Number of received bytes that have not been read; 0 also when the system call fails. */
std::size_t get_unread_bytes(int p_socket);

/** Time since a socket received its last bytes, or was connected if there were none; zero also when the system call fails. */
duration get_input_age(int p_socket);

/** Whether no input, close or error of the other side is pending. */
bool is_quiet(int p_socket);

/** Whether the connection of a socket is established. */
bool is_connected(int p_socket);

/** Bytes written to a socket that the other side has not acknowledged; empty when the system call fails. */
std::optional<std::size_t> get_unacknowledged_bytes(int p_socket);

} // namespace calicoscale

#endif // SOCKET_QUEUES_H
