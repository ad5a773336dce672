/*
 * calicoscale: mechanism.cpp
 * Mechanisms of the gateway's decisions that can be switched off one by one, to measure their effect.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/mechanism.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<mechanism>, static_cast<std::size_t>(mechanism::COUNT)> MECHANISM_NAMES{ {
		{ mechanism::SHARED_DISPATCH, "shared_dispatch" },
		{ mechanism::REQUESTED_LISTS, "asked_lists" },
		{ mechanism::POOL_SHARDS, "pool_shards" },
		{ mechanism::DISPATCH_BY_SIZE, "dispatch_by_size" },
		{ mechanism::HOLD_AT_START, "hold_at_start" },
		{ mechanism::REPORTED_RESULTS, "told_results" },
		{ mechanism::LOST_RESULTS, "lost_results" },
		{ mechanism::ADMISSION, "admission" },
		{ mechanism::MEASURED_CAPACITY, "measured_capacity" },
		{ mechanism::PREDICTED_RETURN, "predicted_return" },
		{ mechanism::STAGE_DUE_TIMES, "stage_due_times" },
		{ mechanism::PRIORITY_ORDER, "priority_order" },
		{ mechanism::LATE_WORK_LAST, "late_last" },
		{ mechanism::REPLICA_ZONE, "replica_zone" },
		{ mechanism::REPLICA_SLOWNESS, "replica_slowness" },
		{ mechanism::REPORTED_SLOWDOWN, "told_pace" },
		{ mechanism::RESULT_CAPACITY, "room" },
		{ mechanism::REPEATED_CALLS, "repeated_calls" },
		{ mechanism::OVERDUE_CALLS, "overdue_calls" },
		{ mechanism::ENGINE_WAIT, "engine_wait" },
		{ mechanism::ENGINE_SLOWNESS, "engine_slowness" },
		{ mechanism::ENGINE_CACHE, "engine_cache" },
		{ mechanism::SHARED_PART_PRICE, "shared_part_price" },
		{ mechanism::PROMPTS_TOLD, "prompts_told" },
		{ mechanism::ENGINE_RANKS, "engine_ranks" },
		{ mechanism::ENGINE_IN_FLIGHT, "engine_in_flight" },
		{ mechanism::REGIONS, "regions" },
		{ mechanism::ENGINE_ZONE, "engine_zone" },
		{ mechanism::COLD_RANKS, "cold_ranks" },
		{ mechanism::EJECTION, "ejection" },
		{ mechanism::REPEATS, "repeats" },
		{ mechanism::STORE_READERS, "store_readers" },
		{ mechanism::NAMED_CONTACTS, "named_contacts" },
		{ mechanism::ZONE_SILENCE, "zone_silence" },
		{ mechanism::CONNECTION_SHEDDING, "connection_shedding" },
} };

} // namespace

std::string_view get_name(mechanism p_mechanism) {
	return find_name(MECHANISM_NAMES, p_mechanism);
}

std::optional<mechanism> find_mechanism(std::string_view p_name) {
	return find_value(MECHANISM_NAMES, p_name);
}

} // namespace calicoscale
