/*
 * calicoscale: request_plan.h
 * Stages and parameters of a request, fixed when it is admitted.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_PLAN_H
#define REQUEST_PLAN_H

#include "core/ids.h"
#include "core/labels.h"
#include "core/time.h"
#include "servers/configuration/configuration.h"
#include "servers/limits/stage_times.h"

#include <string>
#include <vector>

namespace calicoscale {

/** One stage of a request with the steering rules applied. */
struct stage_plan {
	std::string name;
	stage_kind kind = stage_kind::CALL;
	std::string pool;
	selector endpoints; ///< Endpoints that may serve the stage, from steering rules.
	bool repeatable = true;
	bool hedgeable = false;
	bool prefix_affinity = false;
	int max_tokens = 0;
};

/** An admitted request with all its stages. */
struct request_plan {
	request_id id;
	std::string customer;
	std::string pipeline;
	priority_class priority = priority_class::NORMAL;
	double weight = 1.0;
	std::vector<stage_plan> stages;
	std::string input; ///< JSON text of the caller's input.
	instant deadline{};
	bool stream = false; ///< The caller receives the last stage's tokens as a stream.
	std::uint64_t affinity_key = 0;
	std::uint64_t configuration_version = 0;
};

/** Returns the size class that selects the time estimates of a stage. */
size_class get_size_class(const request_plan &p_plan, std::size_t p_stage);

} // namespace calicoscale

#endif // REQUEST_PLAN_H
