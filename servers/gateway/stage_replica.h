/*
 * calicoscale: stage_replica.h
 * State of one stage replica as known to the dispatcher of its pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_REPLICA_H
#define STAGE_REPLICA_H

#include "servers/load/replica_slowdown.h"
#include "servers/routing/endpoint_state.h"

namespace calicoscale {

/** State of one stage replica as known to the dispatcher of its pool. */
struct stage_replica {
	endpoint_listing listing;
	bool listed = true; ///< It may get work.
	bool replaced = false; ///< It restarted; the later incarnation has its own entry.
	int calls = 0; ///< Number of running calls.
	instant free_at{}; ///< Time at which the running call is expected to end.
	instant blocked_until{};
	int failures = 0; ///< Number of consecutive failed calls.
	replica_slowdown pace;
};

} // namespace calicoscale

#endif // STAGE_REPLICA_H
