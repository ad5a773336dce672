/*
 * calicoscale: stage_replica.h
 * One replica of a stage pool as the dispatcher of the pool knows it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_REPLICA_H
#define STAGE_REPLICA_H

#include "servers/load/replica_pace.h"
#include "servers/routing/endpoint_state.h"

namespace calicoscale {

/** One replica of a stage pool as the dispatcher of the pool knows it. */
struct stage_replica {
	endpoint_listing listing;
	bool listed = true; ///< It may get work.
	bool replaced = false; ///< It started again, which is another replica here.
	int calls = 0; ///< At work there.
	instant free_at{}; ///< When the call at work is expected to end.
	instant blocked_until{};
	int failures = 0; ///< Of calls in a row.
	replica_pace pace;
};

} // namespace calicoscale

#endif // STAGE_REPLICA_H
