/*
 * calicoscale: endpoint_notice.h
 * Information about the endpoint itself that an endpoint's answer carries.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_NOTICE_H
#define ENDPOINT_NOTICE_H

#include "core/time.h"

#include <optional>

namespace calicoscale {

/** Whether an answer advertises a limit on the request rate that its endpoint accepts from all nodes together. */
enum class limit_statement {
	NONE, ///< Advertises no limit.
	ADVERTISED,
	UNREADABLE, ///< The limit isn't a number of requests per second, so whether there is a limit remains unknown.
};

/** Current load of an endpoint as reported with its answer. */
struct reported_load {
	unsigned running = 0; ///< Requests being executed.
	unsigned waiting = 0; ///< Requests queued at the endpoint.
	unsigned slots = 0; ///< Requests that can be executed concurrently.
	double pace = 1.0; ///< Slowdown factor: processing time divided by the typical one.
	bool operator==(const reported_load &p_other) const = default;
};

/** Information about the endpoint itself that an answer carries, independent of the request's outcome. */
struct endpoint_notice {
	duration cold_left = duration::zero(); ///< Remaining time until the endpoint is warm; zero if not reported.
	limit_statement limit = limit_statement::NONE;
	double rate_limit = 0.0; ///< Requests per second if limit is NAMED; not negative.
	std::optional<reported_load> load; ///< Empty if none is reported or its format is unknown.
	bool is_leaving = false; ///< This incarnation of the endpoint will shut down soon.
	duration rest = duration::zero(); ///< Back-off during which the rejected node must not send to this endpoint; zero if not reported.
};

} // namespace calicoscale

#endif // ENDPOINT_NOTICE_H
