/*
 * calicoscale: connection_shedder.h
 * Decides which new connections an overloaded node closes with nothing read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONNECTION_SHEDDER_H
#define CONNECTION_SHEDDER_H

#include "core/time.h"

namespace calicoscale {

/**
 * A caller whose connection is closed with nothing read may send its request to another node at once. That helps while a node gets more
 * connections than its processor share can serve. Connections then go on waiting to be accepted, whereas a single stall of the process
 * delays only those that arrived during it. The caller of this class passes the current time.
 */
class connection_shedder {
	instant _late_since{}; ///< First late connection of the present overload.
	instant _late_at{}; ///< Most recent late connection; zero before the first.

public:
	/** Time for which a connection may wait to be accepted: a quarter of the time after which callers give one up. */
	static constexpr duration MAX_WAIT = std::chrono::milliseconds(250);
	/** Late connections that are further apart than this do not belong to the same overload. */
	static constexpr duration MAX_GAP = std::chrono::seconds(1);

	/** Whether to close a connection that has waited for a time. Must be called once for each new connection. */
	bool should_close(duration p_waited, instant p_now);

	/** Time for which connections have been late; valid after should_close() has returned true. */
	duration get_late_time(instant p_now) const { return p_now - _late_since; }
};

} // namespace calicoscale

#endif // CONNECTION_SHEDDER_H
