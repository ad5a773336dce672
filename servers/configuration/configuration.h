/*
 * calicoscale: configuration.h
 * Typed data of a configuration.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONFIGURATION_H
#define CONFIGURATION_H

#include "core/labels.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Kind of work of a stage; determines the protocol of its endpoints and how its cost scales. */
enum class stage_kind {
	ENCODE,
	RETRIEVE,
	RERANK,
	GENERATE, ///< Streams tokens from a model engine.
	CALL, ///< Plain service.
};

/** Name as written in configurations, e.g. "generate". */
std::string_view get_name(stage_kind p_kind);
std::optional<stage_kind> find_stage_kind(std::string_view p_name);

enum class priority_class {
	HIGH,
	NORMAL,
	LOW,
};

constexpr std::size_t PRIORITY_COUNT = 3;

/** Name as written in configurations, e.g. "high". */
std::string_view get_name(priority_class p_priority);
std::optional<priority_class> find_priority(std::string_view p_name);

/** Limits on the requests of a customer, over all nodes together. */
struct customer_limits {
	double requests_per_second = 0.0;
	double burst_seconds = 1.0; ///< Size of a permitted burst, in seconds of the rate.
	int concurrency = 0;
	bool operator==(const customer_limits &p_other) const = default;
};

struct customer_settings {
	std::string name;
	std::string key_sha256; ///< 64 hexadecimal digits; the key itself isn't stored.
	customer_limits limits;
	double weight = 1.0; ///< Weight in fair queues.
	label_set labels;
};

/** A pool of endpoints. */
struct pool_settings {
	std::string name;
	stage_kind kind = stage_kind::CALL;
	double unit_cost = 1.0; ///< Cost of one unit that endpoints report, in micro currency units.
	bool prefix_affinity = false;
	label_set labels;
};

/** A stage of a pipeline. */
struct stage_settings {
	std::string name;
	std::string pool;
	bool repeatable = true;
	bool hedgeable = false;
	int max_tokens = 0; ///< GENERATE only: maximum number of tokens of an answer.
};

struct pipeline_settings {
	std::string name;
	label_set labels;
	priority_class priority = priority_class::NORMAL;
	duration default_deadline = std::chrono::seconds(4);
	std::vector<stage_settings> stages;

	/** Whether any stage must not run more than once. */
	bool has_unrepeatable_stage() const;
};

/** Changes that a rule makes to the handling of the requests that its selector matches. */
struct rule_effect {
	std::optional<selector> endpoints; ///< Permitted endpoints, by their labels (model version, zone, ...).
	std::optional<std::string> from_pool; ///< Pool whose stages are redirected to to_pool.
	std::optional<std::string> to_pool; ///< Pool of the same kind that receives the stages of from_pool.
	std::optional<priority_class> priority;
	std::optional<customer_limits> limits;
};

/** A selector over request labels and its effect. Rules apply in order; later ones override earlier ones. */
struct steering_rule {
	std::string name;
	selector requests;
	double share = 1.0; ///< Share of the matching requests that the rule applies to, chosen by request id.
	rule_effect effect;
};

/** Rule that excludes endpoints from new work while their labels match. */
struct drain_rule {
	std::string name;
	selector endpoints;
};

/** Settings that apply to the whole system, not to one customer or pool. */
struct policy_settings {
	std::string routing = "predicted_finish"; ///< Name of a routing policy.
	double attainment_weight = 0.7; ///< 0 favours low cost, 1 favours attainment; affects hedging and admission.
	double retry_share = 0.1; ///< Retries allowed per success.
	double hedge_share = 0.04; ///< Hedges allowed per success.
	double max_ejected_share = 0.5; ///< Maximum share of a pool that may be ejected.
	std::vector<std::string> zones; ///< Zones that have a guaranteed share of customer limits.
};

/** A complete configuration. */
struct configuration {
	std::vector<customer_settings> customers;
	std::vector<pool_settings> pools;
	std::vector<pipeline_settings> pipelines;
	std::vector<steering_rule> rules;
	std::vector<drain_rule> drains;
	policy_settings policy;

	const customer_settings *find_customer(std::string_view p_name) const;
	const pool_settings *find_pool(std::string_view p_name) const;
	const pipeline_settings *find_pipeline(std::string_view p_name) const;
};

} // namespace calicoscale

#endif // CONFIGURATION_H
