/*
 * calicoscale: stage_times.h
 * How long the stages of a route take when nothing waits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_TIMES_H
#define STAGE_TIMES_H

#include "servers/gateway/gateway_configuration.h"

#include <vector>

namespace calicoscale {

/** Time of a call that carries some pieces of a request beside those that others usually put into it. */
duration get_shared_call_time(const stage_pool_spec &p_spec, std::size_t p_pieces);

/**
 * For each stage the time from its end until the last stage is done, along the longest chain.
 * @param p_pieces pieces of each stage; missing ones count as none, and such a stage takes no time.
 */
std::vector<duration> get_times_after(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_pieces);

} // namespace calicoscale

#endif // STAGE_TIMES_H
