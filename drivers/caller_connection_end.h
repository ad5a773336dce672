/*
 * calicoscale: caller_connection_end.h
 * Why a server ended a caller's connection, and input that arrived after the end.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_CONNECTION_END_H
#define CALLER_CONNECTION_END_H

#include "core/time.h"

#include <cstddef>
#include <string_view>

namespace calicoscale {

/** Why this side ended a connection of a caller. */
enum class connection_end {
	IDLE_TIMEOUT, ///< Idle for longer than the limit.
	STOPPING, ///< Idle while the server stops.
	LAST_ANSWER, ///< After an answer with "Connection: close".
	REJECTED, ///< After rejecting a request that was malformed, too large or too slow.
	BROKEN_OFF, ///< The answer could not be completed.
	STALLED, ///< The caller did not read its answer.
	OVERLOADED, ///< The connection waited too long to be accepted; nothing of it was read.
};

/** Name of an end, e.g. "rested". */
std::string_view get_name(connection_end p_end);

/** Bytes of a caller that arrived after this side had ended the connection, and that get no answer. */
struct post_close_input {
	connection_end end = connection_end::IDLE_TIMEOUT;
	duration since_end = duration::zero(); ///< From the end until this side noticed these bytes.
	duration rested = duration::zero(); ///< Idle time of the connection before the end.
	std::size_t bytes = 0;
	bool was_read = false; ///< Read and discarded; otherwise reset, so that the caller knows that they were not read.
};

} // namespace calicoscale

#endif // CALLER_CONNECTION_END_H
