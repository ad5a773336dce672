/*
 * calicoscale: stage_times.h
 * Time that the stages of a route take without queueing.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_TIMES_H
#define STAGE_TIMES_H

#include "servers/gateway/gateway_configuration.h"

#include <vector>

namespace calicoscale {

/** Returns the time of a call that carries items of one request together with the items that other requests typically add. */
duration get_shared_call_time(const stage_pool_spec &p_spec, std::size_t p_items);

/**
 * Returns for each stage the time from its end until the last stage is done, along the longest chain.
 * @param p_item_counts number of items of each stage; missing entries count as 0, and a stage without items takes no time.
 */
std::vector<duration> get_remaining_stage_times(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_item_counts);

} // namespace calicoscale

#endif // STAGE_TIMES_H
