/*
 * calicoscale: steering.h
 * Applies the configuration's rules to one request.
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

/** What the door knows of a request before it is planned. */
struct request_facts {
	request_id id;
	std::string customer;
	std::string pipeline;
	std::string input;
	instant deadline{};
	bool stream = false;
};

/** Labels of a request that selectors match: customer, pipeline and priority, the customer's and the pipeline's own. */
label_set make_request_labels(const customer_settings &p_customer, const pipeline_settings &p_pipeline);

/** Plans a request; the customer and pipeline must be in the configuration. */
request_plan make_plan(const configuration &p_configuration, std::uint64_t p_version, const request_facts &p_facts);

/** Limits of a customer after the rules that match the customer alone. */
customer_limits get_limits(const configuration &p_configuration, const customer_settings &p_customer);

} // namespace calicoscale

#endif // STEERING_H
