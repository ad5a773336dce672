/*
 * calicoscale: configuration.h
 * The configuration in force, as typed data.
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

/** What a stage does; it decides the endpoint protocol and how its cost grows. */
enum class stage_kind {
	ENCODE,
	RETRIEVE,
	RERANK,
	GENERATE, ///< Streams tokens from a model engine.
	CALL, ///< Plain service.
};

/** Name as written in configurations, e.g. "generate". */
std::string_view get_name(stage_kind p_kind);
/** Looks a kind up by name. */
std::optional<stage_kind> find_stage_kind(std::string_view p_name);

/** Priority class of a request. */
enum class priority_class {
	HIGH,
	NORMAL,
	LOW,
};

/** Number of priority classes. */
constexpr std::size_t PRIORITY_COUNT = 3;

/** Name as written in configurations, e.g. "high". */
std::string_view get_name(priority_class p_priority);
/** Looks a priority up by name. */
std::optional<priority_class> find_priority(std::string_view p_name);

/** Requests a customer may send, over all nodes together. */
struct customer_limits {
	double requests_per_second = 0.0;
	double burst_seconds = 1.0; ///< Seconds of the rate that may come at once.
	int concurrency = 0;
	bool operator==(const customer_limits &p_other) const = default;
};

/** One customer. */
struct customer_settings {
	std::string name;
	std::string key_sha256; ///< 64 hexadecimal digits; the key itself is nowhere.
	customer_limits limits;
	double weight = 1.0; ///< Share in fair queues.
	label_set labels;
};

/** One pool of endpoints. */
struct pool_settings {
	std::string name;
	stage_kind kind = stage_kind::CALL;
	double unit_cost = 1.0; ///< Cost of one unit that endpoints report, in micro currency units.
	bool prefix_affinity = false;
	label_set labels;
};

/** One stage of a pipeline. */
struct stage_settings {
	std::string name;
	std::string pool;
	bool repeatable = true;
	bool hedgeable = false;
	int max_tokens = 0; ///< GENERATE only: most tokens of an answer.
};

/** One pipeline. */
struct pipeline_settings {
	std::string name;
	label_set labels;
	priority_class priority = priority_class::NORMAL;
	duration default_deadline = std::chrono::seconds(4);
	std::vector<stage_settings> stages;

	/** Whether some stage may run at most once. */
	bool has_unrepeatable_stage() const;
};

/** What a rule steers for the requests that its selector matches. */
struct rule_effect {
	std::optional<selector> endpoints; ///< Endpoints that may serve, by their labels (model version, zone, ...).
	std::optional<std::string> from_pool; ///< Stages of this pool ...
	std::optional<std::string> to_pool; ///< ... go to that pool of the same kind.
	std::optional<priority_class> priority;
	std::optional<customer_limits> limits;
};

/** A selector over request labels and what it steers. Rules apply in order; a later one wins. */
struct steering_rule {
	std::string name;
	selector requests;
	double share = 1.0; ///< Share of the matching requests, chosen by request id.
	rule_effect effect;
};

/** Endpoints that get no new work while their labels match. */
struct drain_rule {
	std::string name;
	selector endpoints;
};

/** Settings of the whole system that are not about one customer or pool. */
struct policy_settings {
	std::string routing = "predicted_finish"; ///< Name of a routing policy.
	double attainment_weight = 0.7; ///< 0 saves cost, 1 buys attainment; moves hedging and admission.
	double retry_share = 0.1; ///< Retries allowed per success.
	double hedge_share = 0.04; ///< Hedges allowed per success.
	double max_ejected_share = 0.5; ///< Largest part of a pool that may be ejected.
	std::vector<std::string> zones; ///< Zones that own a guaranteed share of customer limits.
};

/** A whole configuration. */
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
