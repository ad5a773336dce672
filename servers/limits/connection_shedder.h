/*
 * calicoscale: connection_shedder.h
 * Decides which new connections an overloaded node closes without reading their first request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONNECTION_SHEDDER_H
#define CONNECTION_SHEDDER_H

#include "core/time.h"

namespace calicoscale {

/**
 * A caller whose connection is closed with its request unread may send the request to another node at once. That helps while the node
 * gets more requests than its processor share can read, which is when first requests go on waiting unread: a single stall of the process
 * delays only those that arrived during it. The caller of this class passes the current time.
 */
class connection_shedder {
	instant _late_since{}; ///< First late request of the present series.
	instant _late_at{}; ///< Most recent late request; zero before the first.

public:
	/** Time for which a first request may wait unread. Callers allow a connection a few times this time. */
	static constexpr duration MAX_WAIT = std::chrono::milliseconds(250);
	/** Late requests that are further apart than this do not belong to the same overload. */
	static constexpr duration MAX_GAP = std::chrono::seconds(1);

	/** Whether to close a connection whose first request has waited unread for a time. Must be called once for each new connection. */
	bool should_close(duration p_waited, instant p_now);

	/** Time since which requests have been late. */
	duration get_late_time(instant p_now) const { return p_now - _late_since; }
};

} // namespace calicoscale

#endif // CONNECTION_SHEDDER_H
