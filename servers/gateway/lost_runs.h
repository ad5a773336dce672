/*
 * calicoscale: lost_runs.h
 * Runs whose connection ended, until it is known whether their endpoint ended too.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOST_RUNS_H
#define LOST_RUNS_H

#include "core/time.h"
#include "servers/request/request_fingerprint.h"
#include "servers/routing/endpoint_identity.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace calicoscale {

/** What a new connection to an endpoint met. */
enum class probe_end {
	REFUSED, ///< Nobody listens there: its process has ended.
	ACCEPTED, ///< It is there: only connections ended.
	SILENT, ///< Nothing came back: it may have lost power, or the path to it is cut.
};

/** Name of an end, e.g. "refused". */
std::string_view get_name(probe_end p_end);

/** Runs that were at work at an endpoint when it ended. */
struct ended_endpoint {
	endpoint_identity endpoint;
	std::vector<request_fingerprint> runs;
	instant lost_at{}; ///< When the first of them was lost.
};

/**
 * A connection that broke says nothing about the request on it: resets, cuts and full endpoints break connections too. What
 * counts is a run that was lost at an endpoint that ended, so each loss waits here for what a new connection meets, and
 * where nothing comes back, for the endpoint's entry to go. Told the time with each call.
 */
class lost_runs {
	struct loss {
		std::vector<request_fingerprint> runs;
		instant lost_at{};
		bool is_probed = false; ///< A probe is under way.
	};

	std::map<endpoint_identity, loss> _losses;

public:
	/** A run was lost. @return whether its endpoint is to be probed now. */
	bool add(const endpoint_identity &p_endpoint, const request_fingerprint &p_run, instant p_now);

	/** A probe ended. @return the runs to blame; none while nothing is known, and none for good when the endpoint is there. */
	std::vector<request_fingerprint> on_probed(const endpoint_identity &p_endpoint, probe_end p_end);

	/** Endpoints whose entry went after runs were lost there. Forgets what stays unknown for longer than entries take to go. */
	std::vector<ended_endpoint> take_ended(const std::function<bool(const endpoint_identity &)> &p_is_listed, instant p_now);

	bool is_empty() const { return _losses.empty(); }
};

} // namespace calicoscale

#endif // LOST_RUNS_H
