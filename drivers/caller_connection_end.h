/*
 * calicoscale: caller_connection_end.h
 * Why a server ended a caller's connection, and what crossed the end.
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
	IDLE_TIMEOUT, ///< Without a request for longer than the limit.
	STOPPING, ///< Without a request while the server stops.
	LAST_ANSWER, ///< Behind an answer that said so.
	REJECTED, ///< Behind the refusal of what is malformed, too large or too slow.
	BROKEN_OFF, ///< An answer that cannot become whole.
	STALLED, ///< The caller did not take its answer.
};

/** Name of an end, e.g. "rested". */
std::string_view get_name(connection_end p_end);

/** Bytes of a caller that came when this side had ended the connection, and that nobody answers. */
struct post_close_input {
	connection_end end = connection_end::IDLE_TIMEOUT;
	duration since_end = duration::zero(); ///< From the end until this side noticed these bytes.
	duration rested = duration::zero(); ///< Without a request, until the end.
	std::size_t bytes = 0;
	bool was_read = false; ///< Read and thrown away; else reset, so that the caller knows that nobody read them.
};

} // namespace calicoscale

#endif // CALLER_CONNECTION_END_H
