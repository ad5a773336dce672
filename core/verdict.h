/*
 * calicoscale: verdict.h
 * Verdicts (whether a request may have run) and the reasons for them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERDICT_H
#define VERDICT_H

#include <string_view>

namespace calicoscale {

/** Whether work may have run. Ordered by how much may have run. */
enum class verdict {
	NOT_RUN, ///< No stage ran; a retry is safe.
	MAY_HAVE_RUN, ///< A stage ran or may have run; the outcome is unknown.
	COMPLETED, ///< A complete answer that matches its request was received.
};

/** Reason that accompanies a verdict. */
enum class reason {
	NONE,
	BAD_REQUEST,
	BAD_DEADLINE,
	UNAUTHORIZED,
	NOT_FOUND,
	TOO_LARGE,
	KEY_REQUIRED,
	KEY_MALFORMED,
	KEY_EXPIRED,
	KEY_IN_USE,
	CLAIM_UNAVAILABLE,
	ISSUER_GONE,
	CUSTOMER_RATE,
	CUSTOMER_CONCURRENCY,
	QUEUE_FULL,
	DEADLINE_UNREACHABLE,
	DEADLINE_PASSED,
	NO_ENDPOINT,
	CONNECT_FAILED,
	REFUSED_BUSY,
	REFUSED_LEAVING,
	REFUSED_INPUT,
	CONNECTION_LOST,
	TIMED_OUT,
	TRUNCATED,
	ENDPOINT_ERROR,
	WRONG_ECHO,
	CANCELLED,
	CALLER_DISCONNECTED,
	DRAINING,
	NOT_READY,
	CRASHES_ENDPOINTS, ///< Endpoints crashed while they ran the same request before.
	STREAM_UNKNOWN, ///< The stream can't be resumed because it isn't known which software version began it.
	STREAM_VERSION_GONE, ///< The stream can't be resumed because no endpoint of its software version is left.
	CONFIGURATION_UNCONFIRMED, ///< The known configuration lacks the route or the key, and a newer one may contain it.
};

struct outcome {
	verdict what = verdict::NOT_RUN;
	reason why = reason::NONE;
	bool operator==(const outcome &p_other) const = default;
};

/** Name of a verdict as callers see it, e.g. "not_run". */
std::string_view get_name(verdict p_verdict);

/** Name of a reason as callers see it, e.g. "deadline_passed". */
std::string_view get_name(reason p_reason);

/** Returns the reason with a name; NONE when no reason has that name. */
reason find_reason(std::string_view p_name);

/** HTTP status that reports a reason to a caller. */
int get_http_status(reason p_reason);

/**
 * Combines the verdicts of all attempts of a request that did not complete: the request is NOT_RUN only if every attempt at every
 * stage was.
 */
class verdict_tally {
	bool _may_have_run = false;

public:
	/** Adds the verdict of one attempt. A completed attempt counts as having run. */
	void add(verdict p_attempt);

	/** Verdict to report if the request gives up now. */
	verdict get_verdict() const { return _may_have_run ? verdict::MAY_HAVE_RUN : verdict::NOT_RUN; }
};

} // namespace calicoscale

#endif // VERDICT_H
