/*
 * calicoscale: configuration.cpp
 * Typed data of a configuration.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/configuration/configuration.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<stage_kind>, 5> KIND_NAMES{ {
		{ stage_kind::ENCODE, "encode" },
		{ stage_kind::RETRIEVE, "retrieve" },
		{ stage_kind::RERANK, "rerank" },
		{ stage_kind::GENERATE, "generate" },
		{ stage_kind::CALL, "call" },
} };

constexpr std::array<enum_name<priority_class>, PRIORITY_COUNT> PRIORITY_NAMES{ {
		{ priority_class::HIGH, "high" },
		{ priority_class::NORMAL, "normal" },
		{ priority_class::LOW, "low" },
} };

template <typename item_type>
const item_type *find_named(const std::vector<item_type> &p_items, std::string_view p_name) {
	const auto found = std::find_if(p_items.begin(), p_items.end(), [p_name](const item_type &p_item) {
		return p_item.name == p_name;
	});
	return found == p_items.end() ? nullptr : &*found;
}

} // namespace

std::string_view get_name(stage_kind p_kind) {
	return find_name(KIND_NAMES, p_kind);
}

std::optional<stage_kind> find_stage_kind(std::string_view p_name) {
	return find_value(KIND_NAMES, p_name);
}

std::string_view get_name(priority_class p_priority) {
	return find_name(PRIORITY_NAMES, p_priority);
}

std::optional<priority_class> find_priority(std::string_view p_name) {
	return find_value(PRIORITY_NAMES, p_name);
}

bool pipeline_settings::has_unrepeatable_stage() const {
	return std::any_of(stages.begin(), stages.end(), [](const stage_settings &p_stage) {
		return !p_stage.repeatable;
	});
}

const customer_settings *configuration::find_customer(std::string_view p_name) const {
	return find_named(customers, p_name);
}

const pool_settings *configuration::find_pool(std::string_view p_name) const {
	return find_named(pools, p_name);
}

const pipeline_settings *configuration::find_pipeline(std::string_view p_name) const {
	return find_named(pipelines, p_name);
}

} // namespace calicoscale
