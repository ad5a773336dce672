/*
 * calicoscale: request_plan.cpp
 * Stages and parameters of a request, fixed when it is admitted.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/request/request_plan.h"

namespace calicoscale {

size_class get_size_class(const request_plan &p_plan, std::size_t p_stage) {
	return get_size_class(p_plan.input.size(), p_plan.stages[p_stage].max_tokens);
}

} // namespace calicoscale
