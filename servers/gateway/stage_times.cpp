/*
 * calicoscale: stage_times.cpp
 * Time that the stages of a route take without queueing.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_times.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Share of the batch that a call is expected to carry; under load, calls are fuller than one request alone makes them. */
constexpr double TYPICAL_FILL = 0.5;

duration get_stage_time(const gateway_configuration &p_configuration, const stage_spec &p_stage, std::size_t p_items) {
	const gateway_service *service = p_configuration.find_service(p_stage.pool);
	if (p_items == 0 || service == nullptr || !service->stage_pool) {
		return duration::zero();
	}
	return get_shared_call_time(*service->stage_pool, p_items);
}

} // namespace

duration get_shared_call_time(const stage_pool_spec &p_spec, std::size_t p_items) {
	const std::size_t typical_items = static_cast<std::size_t>(static_cast<double>(p_spec.batch) * TYPICAL_FILL);
	const std::size_t shared = std::clamp(p_items, std::min(typical_items, p_spec.batch), p_spec.batch);
	return p_spec.call_time + p_spec.piece_time * static_cast<duration::rep>(shared);
}

std::vector<duration> get_remaining_stage_times(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_item_counts) {
	const std::vector<stage_spec> &stages = p_route.stages;
	std::vector<duration> after(stages.size(), duration::zero());
	// The inputs of a stage precede it, so in reverse order the time after a stage is final when its inputs are updated.
	for (std::size_t i = stages.size(); i-- > 0;) {
		const std::size_t items = i < p_item_counts.size() ? p_item_counts[i] : 0;
		const duration from_start = after[i] + get_stage_time(p_configuration, stages[i], items);
		for (const std::size_t input : stages[i].inputs) {
			after[input] = std::max(after[input], from_start);
		}
	}
	return after;
}

} // namespace calicoscale
