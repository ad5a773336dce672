/*
 * calicoscale: crash_guard.h
 * Finds out which requests were at work at endpoints that ended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_GUARD_H
#define CRASH_GUARD_H

#include "drivers/endpoint_probe.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/gateway_context.h"
#include "servers/gateway/lost_runs.h"

#include <string>
#include <vector>

namespace calicoscale {

/** A run whose connection ended before its answer was whole. */
struct lost_run {
	std::string attempt; ///< Id of its request, for logs.
	request_fingerprint fingerprint;
	endpoint_identity endpoint;
	network_address address;
};

/** Finds out whether an endpoint ended under the runs that were lost there. */
class crash_guard {
	gateway_context &_context;
	endpoint_follower &_endpoints;
	lost_runs _lost;
	endpoint_probe _probe;
	timer _look_timer; ///< For entries that go.

	void _on_probed(const endpoint_identity &p_endpoint, probe_end p_end, instant p_started);
	void _look();
	void _blame(const endpoint_identity &p_endpoint, const std::vector<request_fingerprint> &p_runs, std::string_view p_evidence);

public:
	crash_guard(gateway_context &p_context, endpoint_follower &p_endpoints);

	/** A run was lost at an endpoint that was to stay. */
	void on_run_lost(const lost_run &p_run);
};

} // namespace calicoscale

#endif // CRASH_GUARD_H
