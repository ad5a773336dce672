/*
 * calicoscale: steering.cpp
 * Applies the configuration's steering rules to one request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/request/steering.h"

#include "core/digest.h"

#include <stdexcept>

namespace calicoscale {

namespace {

/** Length of the input's prefix that determines affinity; system prompts and shared openings are about this long. */
constexpr std::size_t PREFIX_BYTES = 256;
constexpr double HASH_RANGE = 18446744073709551616.0;

bool is_in_share(const steering_rule &p_rule, const request_id &p_id) {
	if (p_rule.share >= 1.0) {
		return true;
	}
	const std::uint64_t hash = hash_bytes(p_rule.name + to_string(p_id));
	return static_cast<double>(hash) / HASH_RANGE < p_rule.share;
}

stage_plan plan_stage(const configuration &p_configuration, const stage_settings &p_stage) {
	const pool_settings *pool = p_configuration.find_pool(p_stage.pool);
	if (pool == nullptr) {
		throw std::logic_error("a checked configuration names an unknown pool");
	}
	stage_plan plan;
	plan.name = p_stage.name;
	plan.kind = pool->kind;
	plan.pool = pool->name;
	plan.repeatable = p_stage.repeatable;
	plan.hedgeable = p_stage.hedgeable;
	plan.prefix_affinity = pool->prefix_affinity;
	plan.max_tokens = p_stage.max_tokens;
	return plan;
}

void apply_rule(const configuration &p_configuration, const rule_effect &p_effect, request_plan &r_plan) {
	if (p_effect.priority) {
		r_plan.priority = *p_effect.priority;
	}
	for (stage_plan &stage : r_plan.stages) {
		if (p_effect.from_pool && stage.pool == *p_effect.from_pool) {
			stage.pool = *p_effect.to_pool;
			stage.prefix_affinity = p_configuration.find_pool(stage.pool)->prefix_affinity;
		}
		if (p_effect.endpoints) {
			stage.endpoints = stage.endpoints.joined_with(*p_effect.endpoints);
		}
	}
}

std::uint64_t make_affinity_key(const request_plan &p_plan) {
	// The key includes the customer, so that requests of two customers aren't routed to the same cache entry.
	const std::string prefix = p_plan.input.substr(0, PREFIX_BYTES);
	return hash_bytes(p_plan.customer + "\n" + p_plan.pipeline + "\n" + prefix) | 1U;
}

} // namespace

label_set make_request_labels(const customer_settings &p_customer, const pipeline_settings &p_pipeline) {
	label_set labels = p_customer.labels;
	for (const auto &[key, value] : p_pipeline.labels.values) {
		labels.values.insert_or_assign(key, value);
	}
	labels.values.insert_or_assign("customer", p_customer.name);
	labels.values.insert_or_assign("pipeline", p_pipeline.name);
	labels.values.insert_or_assign("priority", std::string(get_name(p_pipeline.priority)));
	return labels;
}

request_plan make_plan(const configuration &p_configuration, std::uint64_t p_version, const request_facts &p_facts) {
	const customer_settings *customer = p_configuration.find_customer(p_facts.customer);
	const pipeline_settings *pipeline = p_configuration.find_pipeline(p_facts.pipeline);
	if (customer == nullptr || pipeline == nullptr) {
		throw std::invalid_argument("the configuration lacks the customer or the pipeline");
	}
	request_plan plan;
	plan.id = p_facts.id;
	plan.customer = p_facts.customer;
	plan.pipeline = p_facts.pipeline;
	plan.priority = pipeline->priority;
	plan.weight = customer->weight;
	plan.input = p_facts.input;
	plan.deadline = p_facts.deadline;
	plan.stream = p_facts.stream;
	plan.configuration_version = p_version;
	for (const stage_settings &stage : pipeline->stages) {
		plan.stages.push_back(plan_stage(p_configuration, stage));
	}
	const label_set labels = make_request_labels(*customer, *pipeline);
	for (const steering_rule &rule : p_configuration.rules) {
		if (rule.requests.matches(labels) && is_in_share(rule, plan.id)) {
			apply_rule(p_configuration, rule.effect, plan);
		}
	}
	plan.affinity_key = make_affinity_key(plan);
	return plan;
}

customer_limits get_limits(const configuration &p_configuration, const customer_settings &p_customer) {
	label_set labels = p_customer.labels;
	labels.values.insert_or_assign("customer", p_customer.name);
	customer_limits limits = p_customer.limits;
	for (const steering_rule &rule : p_configuration.rules) {
		if (rule.effect.limits && rule.requests.matches(labels)) {
			limits = *rule.effect.limits;
		}
	}
	return limits;
}

} // namespace calicoscale
