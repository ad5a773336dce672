/*
 * calicoscale: activity.cpp
 * Activities of an event loop, for accounting of its processor time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/activity.h"

#include "core/enum_names.h"

namespace calicoscale {

namespace {

constexpr std::array<enum_name<activity>, ACTIVITY_COUNT> ACTIVITY_NAMES{ {
		{ activity::TIMERS, "timers" },
		{ activity::POSTED, "posted" },
		{ activity::CALLERS, "callers" },
		{ activity::ENDPOINT_ANSWERS, "endpoint_answers" },
		{ activity::LINK_READ, "link_read" },
		{ activity::HEARTBEATS_RECEIVED, "heartbeats_received" },
		{ activity::HEARTBEATS_SENT, "heartbeats_sent" },
		{ activity::WORK_MESSAGES, "work_messages" },
		{ activity::RESULT_MESSAGES, "result_messages" },
		{ activity::PROMPT_MESSAGES, "prompt_messages" },
		{ activity::OTHER_MESSAGES, "other_messages" },
		{ activity::STAGE_SEARCH, "stage_search" },
		{ activity::STAGE_SEND, "stage_send" },
		{ activity::STAGE_ENDS, "stage_ends" },
		{ activity::STAGE_RELEASES, "stage_releases" },
		{ activity::STAGE_TICK, "stage_tick" },
		{ activity::LOG, "log" },
} };

} // namespace

std::string_view get_name(activity p_activity) {
	return find_name(ACTIVITY_NAMES, p_activity);
}

} // namespace calicoscale
