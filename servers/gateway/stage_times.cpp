/*
 * calicoscale: stage_times.cpp
 * How long the stages of a route take when nothing waits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_times.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Fill of a call that a request is likely to share; under load calls are fuller than one request makes them. */
constexpr double USUAL_FILL = 0.5;

duration get_stage_time(const gateway_configuration &p_configuration, const stage_spec &p_stage, std::size_t p_pieces) {
	const gateway_service *service = p_configuration.find_service(p_stage.pool);
	if (p_pieces == 0 || service == nullptr || !service->stage_pool) {
		return duration::zero();
	}
	return get_shared_call_time(*service->stage_pool, p_pieces);
}

} // namespace

duration get_shared_call_time(const stage_pool_spec &p_spec, std::size_t p_pieces) {
	const std::size_t usual = static_cast<std::size_t>(static_cast<double>(p_spec.batch) * USUAL_FILL);
	const std::size_t shared = std::clamp(p_pieces, std::min(usual, p_spec.batch), p_spec.batch);
	return p_spec.call_time + p_spec.piece_time * static_cast<duration::rep>(shared);
}

std::vector<duration> get_times_after(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_pieces) {
	const std::vector<stage_spec> &stages = p_route.stages;
	std::vector<duration> after(stages.size(), duration::zero());
	// A stage's inputs stand before it, so that going backwards each stage is complete when it is passed on.
	for (std::size_t i = stages.size(); i-- > 0;) {
		const std::size_t pieces = i < p_pieces.size() ? p_pieces[i] : 0;
		const duration from_start = after[i] + get_stage_time(p_configuration, stages[i], pieces);
		for (const std::size_t input : stages[i].inputs) {
			after[input] = std::max(after[input], from_start);
		}
	}
	return after;
}

} // namespace calicoscale
