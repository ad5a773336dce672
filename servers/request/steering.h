/*
 * calicoscale: steering.h
 * Applies the configuration's steering rules to one request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STEERING_H
#define STEERING_H

#include "core/ids.h"
#include "servers/request/request_plan.h"

#include <optional>

namespace calicoscale {

/** Properties of a request that are known before it is planned. */
struct request_facts {
	request_id id;
	std::string customer;
	std::string pipeline;
	std::string input;
	instant deadline{};
	bool stream = false;
};

/** Returns the labels of a request that selectors match: customer, pipeline, priority, and the labels of the customer and the pipeline. */
label_set make_request_labels(const customer_settings &p_customer, const pipeline_settings &p_pipeline);

/** Plans a request. @throws std::invalid_argument if the configuration lacks the customer or the pipeline. */
request_plan make_plan(const configuration &p_configuration, std::uint64_t p_version, const request_facts &p_facts);

/** Returns a customer's limits after applying the rules that match the customer's labels. */
customer_limits get_limits(const configuration &p_configuration, const customer_settings &p_customer);

} // namespace calicoscale

#endif // STEERING_H
