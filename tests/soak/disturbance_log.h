/*
 * calicoscale: disturbance_log.h
 * What the soak did to whom, and what that excuses.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DISTURBANCE_LOG_H
#define DISTURBANCE_LOG_H

#include "core/time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace calicoscale {

/** What is done to a node, an endpoint or the store. */
enum class disturbance {
	NODE_KILLED, ///< From the kill until its new process has started.
	NODE_STOPPING, ///< From SIGTERM until its new process has started.
	NODE_STILL, ///< Its process stood still.
	STORE_LINK, ///< Its link to the store was harmed.
	PEER_LINK, ///< The links that peers open to it were harmed.
	CALLER_LINK, ///< The link of its callers that come through a proxy was harmed.
	STORE, ///< The store was away or silent, or forgot.
	ENDPOINT_LINK, ///< The link to an endpoint was harmed.
	ENDPOINT_GONE, ///< An endpoint crashed or ended, until it is back.
	ENDPOINT_FAULTY, ///< An endpoint answers badly.
	ENDPOINT_HOLDS_BACK, ///< An endpoint names a limit or asks for rest.
	ENDPOINT_VARIES_ENDS, ///< An endpoint ends some of its streams inside an event.
	DRIVER_HELD_UP, ///< The soak itself did not run for a while, so its times mean nothing.
	DRIVER_SLOW, ///< A turn of the soak took so long that a request may miss its deadline in the soak alone.
	COUNT,
};

std::string_view get_name(disturbance p_value);

/** What must hold. */
enum class promise {
	ANSWERED, ///< A request that was read ends in an answer, or in a close that tells it was not.
	WHOLE, ///< An answer that began ends whole.
	OWN_ANSWER, ///< An answer is the one to this request, unchanged.
	UNCHANGED, ///< Endpoints get what callers sent, and nothing else.
	AT_MOST_ONCE, ///< What is not repeatable runs once at most.
	REFUSED_IS_NOT_RUN, ///< 408, 421, 429 and 503 are given only if nothing runs, then or later.
	ADMITTED, ///< What every configuration allows is not turned away.
	IN_TIME, ///< A request ends shortly after its deadline at the latest.
	CONFIGURATION_IN_FORCE, ///< A version is in force within its bound.
	CONFIGURATION_STAYS, ///< A version that was in force is not followed by an older one.
	LEAVING_IS_LEFT, ///< An endpoint that leaves gets no new work after the bound.
	RETURNED_IS_USED, ///< An endpoint that starts again under its name gets work.
	LIMIT_IS_KEPT, ///< An endpoint gets what it names, and half as much again and five, from all nodes that it told.
	WORD_OF_LEAVING_IS_KEPT, ///< An endpoint that says in its answers that it leaves gets no new work from those it told.
	REST_IS_GIVEN, ///< An endpoint that asks a node for rest gets two requests of it at most meanwhile.
	STOPS_IN_TIME, ///< A process ends within its grace.
	STAYS_UP, ///< A process does not end by itself.
	SERVES_AGAIN, ///< Requests are served once all is well again.
	ONE_VERSION, ///< A stream holds events of one software version, in one answer and over the attempts of its caller.
	FLEET_IS_ONE, ///< In the end each node counts all that run as live, within some seconds.
	STREAMS_GO_ON, ///< Streams that callers resume go on at least half as often as new ones begin.
	COUNT,
};

std::string_view get_name(promise p_value);

/** Whom a check is about; what is not named cannot excuse it. */
struct check_scope {
	std::size_t node = NOBODY;
	bool is_proxied = false; ///< The request came through the node's caller proxy.
	std::vector<std::size_t> endpoints;
	instant from{};
	instant to{};

	static constexpr std::size_t NOBODY = static_cast<std::size_t>(-1);
};

/** Keeps what was done, and tells whether that excuses a broken promise. */
class disturbance_log {
	struct record {
		disturbance kind = disturbance::COUNT;
		std::size_t subject = 0;
		instant begin{};
		instant end{};
	};

	std::vector<record> _records;

public:
	static constexpr instant OPEN = instant::max();

	void begin(disturbance p_kind, std::size_t p_subject, instant p_now);
	/** Ends all that is open of this kind and subject. */
	void end(disturbance p_kind, std::size_t p_subject, instant p_now);
	/** Something that lasted. */
	void note(disturbance p_kind, std::size_t p_subject, instant p_begin, instant p_end);

	/** How often something of the kind was noted, and how long it lasted at most. */
	std::pair<std::size_t, duration> get_longest(disturbance p_kind) const;

	/** Whether any of the kind touched the span. */
	bool has(disturbance p_kind, std::size_t p_subject, instant p_from, instant p_to) const;

	/** The excuse from the table that was shown to hold; empty if none. */
	std::string find_excuse(promise p_promise, const check_scope &p_scope) const;
};

} // namespace calicoscale

#endif // DISTURBANCE_LOG_H
