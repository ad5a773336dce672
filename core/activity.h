/*
 * calicoscale: activity.h
 * What an event loop can be busy with.
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

/** What a node's processor time is booked to. */
enum class activity : std::uint8_t {
	TIMERS, ///< Whatever else is due.
	POSTED, ///< Whatever else was posted.
	CALLERS, ///< Reading callers' requests, and what follows at once.
	ENDPOINT_ANSWERS, ///< Reading answers of endpoints, and what follows at once.
	LINK_READ, ///< Reading and checking what peers send.
	HEARTBEATS_RECEIVED,
	HEARTBEATS_SENT,
	WORK_MESSAGES, ///< Stage work that peers hand over, end or cancel.
	RESULT_MESSAGES, ///< Results that peers release or tell.
	PROMPT_MESSAGES,
	OTHER_MESSAGES,
	STAGE_SEARCH, ///< Choosing the next call of a stage pool.
	STAGE_SEND, ///< Writing calls to stage replicas.
	STAGE_ENDS, ///< Taking the ends of stage calls, and telling whose work it was.
	STAGE_RELEASES, ///< Telling stage replicas which results are needed no more.
	STAGE_TICK, ///< Late work, links, and results that have expired.
	LOG, ///< Writing the log.
	COUNT,
};

constexpr std::size_t ACTIVITY_COUNT = static_cast<std::size_t>(activity::COUNT);

/** Name of an activity, e.g. "stage_search". */
std::string_view get_name(activity p_activity);

} // namespace calicoscale

#endif // ACTIVITY_H
