/*
 * calicoscale: interrupted_runs.h
 * Runs with an unknown outcome, whose connection was closed, until it is known whether their endpoint crashed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef INTERRUPTED_RUNS_H
#define INTERRUPTED_RUNS_H

#include "core/time.h"
#include "servers/request/request_fingerprint.h"
#include "servers/routing/endpoint_identity.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Result of a probe: an attempt to connect to an endpoint. */
enum class probe_end {
	REFUSED, ///< No process listens at the address: the endpoint has exited.
	ACCEPTED, ///< The endpoint is running: only connections were closed.
	SILENT, ///< No response: the VM may have failed, or the network path to it is interrupted.
};

/** Returns the name of a result, e.g. "refused". */
std::string_view get_name(probe_end p_end);

/** An endpoint that crashed, with the runs it was working on. */
struct crashed_endpoint {
	endpoint_identity endpoint;
	std::vector<request_fingerprint> runs;
	instant lost_at{}; ///< When the connection of the first of these runs was closed.
};

/**
 * A closed connection says nothing about the request on it: resets, network interruptions and overloaded endpoints close
 * connections as well. Only runs at an endpoint that crashed are evidence. So each run is stored here until a probe of its
 * endpoint has a result, or, when the probe gets no response, until the endpoint's entry is removed. The caller passes the
 * current time.
 */
class interrupted_runs {
	struct unresolved_runs {
		std::vector<request_fingerprint> runs;
		instant lost_at{};
		bool is_probed = false; ///< Whether a probe is running.
	};

	std::map<endpoint_identity, unresolved_runs> _unresolved;

public:
	/** Adds a run whose connection was closed. @return whether the caller is to probe the endpoint now. */
	bool add(const endpoint_identity &p_endpoint, const request_fingerprint &p_run, instant p_now);

	/**
	 * Applies the result of a probe.
	 * @return the runs that may have crashed the endpoint. Empty when there was no response, in which case the runs stay stored,
	 * and when the endpoint is running, in which case they are removed.
	 */
	std::vector<request_fingerprint> on_probed(const endpoint_identity &p_endpoint, probe_end p_end);

	/** Returns endpoints with stored runs whose entry was removed. Drops runs that stay undecided for longer than an entry needs to expire. */
	std::vector<crashed_endpoint> take_ended(const std::function<bool(const endpoint_identity &)> &p_is_listed, instant p_now);

	bool is_empty() const { return _unresolved.empty(); }
};

} // namespace calicoscale

#endif // INTERRUPTED_RUNS_H
