/*
 * calicoscale: crash_watch.h
 * Finds out which requests were running at endpoints that crashed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_WATCH_H
#define CRASH_WATCH_H

#include "drivers/endpoint_probe.h"
#include "main/gateway/endpoint_exchanges.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/gateway_context.h"
#include "servers/gateway/interrupted_runs.h"

#include <functional>
#include <string>
#include <vector>

namespace calicoscale {

/** A run whose connection ended before the answer was complete, so that its outcome is unknown. */
struct interrupted_run {
	std::string attempt; ///< Id of its request, for logs.
	request_fingerprint fingerprint;
	endpoint_identity endpoint;
	network_address address;
	std::string service;
	std::vector<request_fingerprint> parts; ///< Parts of its prompt but the last.
};

/** Probes endpoints with interrupted runs, and watches the list of endpoints, to find out whether the endpoint crashed. */
class crash_watch {
	gateway_context &_context;
	endpoint_follower &_endpoints;
	endpoint_exchanges &_exchanges;
	std::function<void(const crashed_endpoint &)> _on_crashed;
	interrupted_runs _interrupted;
	endpoint_probe _probe;
	timer _list_check_timer; ///< Checks whether endpoints with interrupted runs are still listed.

	void _on_probed(const interrupted_run &p_run, probe_end p_end, instant p_interrupted_at);
	void _check_list();
	void _report_crashed(const crashed_endpoint &p_crashed, std::string_view p_evidence);

public:
	/** @param p_on_crashed receives each endpoint that crashed, with the runs interrupted there. */
	crash_watch(gateway_context &p_context, endpoint_follower &p_endpoints, endpoint_exchanges &p_exchanges, std::function<void(const crashed_endpoint &)> p_on_crashed);

	/** Records an interrupted run. Ignores endpoints that are leaving: they exit on purpose, and no request is the cause. */
	void on_run_interrupted(const interrupted_run &p_run);
};

} // namespace calicoscale

#endif // CRASH_WATCH_H
