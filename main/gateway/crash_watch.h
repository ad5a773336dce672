/*
 * calicoscale: crash_watch.h
 * Finds out which requests were at work at endpoints that ended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_WATCH_H
#define CRASH_WATCH_H

#include "drivers/endpoint_probe.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/gateway_context.h"
#include "servers/gateway/lost_runs.h"

#include <functional>
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
class crash_watch {
	gateway_context &_context;
	endpoint_follower &_endpoints;
	std::function<void(const ended_endpoint &)> _on_ended;
	lost_runs _lost;
	endpoint_probe _probe;
	timer _look_timer; ///< For entries that go.

	void _on_probed(const endpoint_identity &p_endpoint, probe_end p_end, instant p_lost_at);
	void _look();
	void _blame(const ended_endpoint &p_ended, std::string_view p_evidence);

public:
	/** @param p_on_ended gets each endpoint that ended with the runs that were lost there. */
	crash_watch(gateway_context &p_context, endpoint_follower &p_endpoints, std::function<void(const ended_endpoint &)> p_on_ended);

	/** A run was lost at an endpoint. One that leaves ends on purpose, and under nobody. */
	void on_run_lost(const lost_run &p_run);
};

} // namespace calicoscale

#endif // CRASH_WATCH_H
