/*
 * calicoscale: activity.h
 * Activities of an event loop, for accounting of its processor time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ACTIVITY_H
#define ACTIVITY_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace calicoscale {

/** Kinds of work to which work_meter attributes the processor time of a node. */
enum class activity : std::uint8_t {
	TIMERS, ///< Timers that no other activity covers.
	POSTED, ///< Posted callbacks that no other activity covers.
	CALLERS, ///< Reading requests of callers, and the processing that directly follows.
	ENDPOINT_ANSWERS, ///< Reading answers of endpoints, and the processing that directly follows.
	LINK_READ, ///< Reading and checking messages of peers.
	HEARTBEATS_RECEIVED,
	HEARTBEATS_SENT,
	WORK_MESSAGES, ///< Messages of peers that assign, complete or cancel stage work.
	RESULT_MESSAGES, ///< Messages of peers that release or report results.
	PROMPT_MESSAGES,
	OTHER_MESSAGES,
	STAGE_SEARCH, ///< Choosing the next call of a stage pool.
	STAGE_SEND, ///< Writing calls to stage replicas.
	STAGE_ENDS, ///< Processing completed stage calls, and notifying the owners of the work.
	STAGE_RELEASES, ///< Notifying stage replicas of results that are no longer needed.
	STAGE_TICK, ///< Periodic check for late work, links and expired results.
	LOG, ///< Writing the log.
	COUNT,
};

constexpr std::size_t ACTIVITY_COUNT = static_cast<std::size_t>(activity::COUNT);

/** Name of an activity, e.g. "stage_search". */
std::string_view get_name(activity p_activity);

} // namespace calicoscale

#endif // ACTIVITY_H
