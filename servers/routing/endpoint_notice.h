/*
 * calicoscale: endpoint_notice.h
 * What an endpoint's answer says about the endpoint itself.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_NOTICE_H
#define ENDPOINT_NOTICE_H

#include "core/time.h"

#include <optional>

namespace calicoscale {

/** What an answer says of the rate that its endpoint takes from all nodes together. */
enum class limit_statement {
	NONE, ///< Names no limit.
	NAMED,
	UNREADABLE, ///< Names one that is no number of requests a second; says neither that there is a limit nor that there is none.
};

/** What an answer says of the load of its endpoint, as it is right now. */
struct told_load {
	unsigned running = 0; ///< Requests at work.
	unsigned waiting = 0;
	unsigned slots = 0; ///< Requests that can be at work at once.
	double pace = 1.0; ///< How long work takes, over what is usual.
	bool operator==(const told_load &p_other) const = default;
};

/** What an endpoint's answer says about the endpoint itself, whatever became of the request. */
struct endpoint_notice {
	duration cold_left = duration::zero(); ///< How much longer the endpoint is cold; zero when it does not say.
	limit_statement limit = limit_statement::NONE;
	double rate_limit = 0.0; ///< Requests a second, if one is named; not negative.
	std::optional<told_load> load; ///< Empty when it tells none, or in a form that is not known.
	bool is_leaving = false; ///< This start of the endpoint ends in a while.
	duration rest = duration::zero(); ///< For so long it wants nothing from the node that it turned away; zero when it does not say.
};

} // namespace calicoscale

#endif // ENDPOINT_NOTICE_H
