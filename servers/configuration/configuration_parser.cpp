/*
 * calicoscale: configuration_parser.cpp
 * Parses a configuration document into typed data, or reports all its mistakes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/configuration/configuration_parser.h"

#include "servers/configuration/document_schema.h"
#include "servers/routing/routing_policy.h"

#include <nlohmann/json.hpp>

#include <set>

namespace calicoscale {

namespace {

using json = nlohmann::json;

label_set read_labels(const json &p_parent) {
	label_set labels;
	if (!p_parent.contains("labels")) {
		return labels;
	}
	for (const auto &[key, value] : p_parent.at("labels").items()) {
		labels.values.emplace(key, value.get<std::string>());
	}
	return labels;
}

selector read_selector(const json &p_document) {
	selector result;
	for (const auto &[key, test] : p_document.items()) {
		requirement entry;
		entry.key = key;
		if (test.is_string()) {
			entry.op = match_operator::EQUALS;
			entry.values = { test.get<std::string>() };
		} else if (test.contains("in")) {
			entry.op = match_operator::IN;
			entry.values = test.at("in").get<std::vector<std::string>>();
		} else if (test.contains("not_in")) {
			entry.op = match_operator::NOT_IN;
			entry.values = test.at("not_in").get<std::vector<std::string>>();
		} else {
			entry.op = match_operator::EXISTS;
		}
		result.requirements.push_back(std::move(entry));
	}
	return result;
}

customer_limits read_limits(const json &p_document) {
	customer_limits limits;
	limits.requests_per_second = p_document.at("requests_per_second").get<double>();
	limits.concurrency = p_document.at("concurrency").get<int>();
	limits.burst_seconds = p_document.value("burst_seconds", limits.burst_seconds);
	return limits;
}

customer_settings read_customer(const json &p_document) {
	customer_settings customer;
	customer.name = p_document.at("name").get<std::string>();
	customer.key_sha256 = p_document.at("key_sha256").get<std::string>();
	customer.limits = read_limits(p_document.at("limits"));
	customer.weight = p_document.value("weight", customer.weight);
	customer.labels = read_labels(p_document);
	return customer;
}

pool_settings read_pool(const json &p_document) {
	pool_settings pool;
	pool.name = p_document.at("name").get<std::string>();
	pool.kind = find_stage_kind(p_document.at("kind").get<std::string>()).value_or(stage_kind::CALL);
	pool.unit_cost = p_document.value("unit_cost", pool.unit_cost);
	pool.prefix_affinity = p_document.value("prefix_affinity", pool.prefix_affinity);
	pool.labels = read_labels(p_document);
	return pool;
}

stage_settings read_stage(const json &p_document) {
	stage_settings stage;
	stage.name = p_document.at("name").get<std::string>();
	stage.pool = p_document.at("pool").get<std::string>();
	stage.repeatable = p_document.value("repeatable", stage.repeatable);
	stage.hedgeable = p_document.value("hedgeable", stage.hedgeable);
	stage.max_tokens = p_document.value("max_tokens", stage.max_tokens);
	return stage;
}

pipeline_settings read_pipeline(const json &p_document) {
	pipeline_settings pipeline;
	pipeline.name = p_document.at("name").get<std::string>();
	pipeline.labels = read_labels(p_document);
	pipeline.default_deadline = std::chrono::milliseconds(p_document.at("default_deadline_ms").get<int>());
	pipeline.priority = find_priority(p_document.value("priority", "normal")).value_or(priority_class::NORMAL);
	for (const json &stage : p_document.at("stages")) {
		pipeline.stages.push_back(read_stage(stage));
	}
	return pipeline;
}

steering_rule read_rule(const json &p_document) {
	steering_rule rule;
	rule.name = p_document.at("name").get<std::string>();
	rule.requests = read_selector(p_document.at("requests"));
	rule.share = p_document.value("share", rule.share);
	const json &steer = p_document.at("steer");
	if (steer.contains("endpoints")) {
		rule.effect.endpoints = read_selector(steer.at("endpoints"));
	}
	if (steer.contains("pool")) {
		rule.effect.from_pool = steer.at("pool").at("from").get<std::string>();
		rule.effect.to_pool = steer.at("pool").at("to").get<std::string>();
	}
	if (steer.contains("priority")) {
		rule.effect.priority = find_priority(steer.at("priority").get<std::string>());
	}
	if (steer.contains("limits")) {
		rule.effect.limits = read_limits(steer.at("limits"));
	}
	return rule;
}

policy_settings read_policy(const json &p_document) {
	policy_settings policy;
	policy.routing = p_document.value("routing", policy.routing);
	policy.attainment_weight = p_document.value("attainment_weight", policy.attainment_weight);
	policy.retry_share = p_document.value("retry_share", policy.retry_share);
	policy.hedge_share = p_document.value("hedge_share", policy.hedge_share);
	policy.max_ejected_share = p_document.value("max_ejected_share", policy.max_ejected_share);
	policy.zones = p_document.value("zones", policy.zones);
	return policy;
}

/** Collects mistakes that the schema can't express. */
class semantic_check {
	const configuration &_configuration;
	std::vector<document_problem> _problems;

	void _report(std::string p_path, std::string p_found, std::string p_expected) {
		_problems.push_back(document_problem{ std::move(p_path), std::move(p_found), std::move(p_expected) });
	}

	template <typename item_type>
	void _check_names(const std::string &p_path, const std::vector<item_type> &p_items) {
		std::set<std::string> seen;
		for (std::size_t i = 0; i < p_items.size(); i++) {
			if (!seen.insert(p_items[i].name).second) {
				_report(p_path + "/" + std::to_string(i) + "/name", "\"" + p_items[i].name + "\" again", "a name used once");
			}
		}
	}

	void _check_keys() {
		std::set<std::string> seen;
		for (std::size_t i = 0; i < _configuration.customers.size(); i++) {
			const std::string &key = _configuration.customers[i].key_sha256;
			if (!seen.insert(key).second) {
				_report("/customers/" + std::to_string(i) + "/key_sha256", "the key of another customer", "a key of its own");
			}
		}
	}

	void _check_stage(const std::string &p_path, const stage_settings &p_stage) {
		const pool_settings *pool = _configuration.find_pool(p_stage.pool);
		if (pool == nullptr) {
			_report(p_path + "/pool", "\"" + p_stage.pool + "\"", "the name of a pool in /pools");
			return;
		}
		if (pool->kind == stage_kind::GENERATE && p_stage.max_tokens == 0) {
			_report(p_path, "no max_tokens", "max_tokens of at least 1 for a stage that generates");
		}
		if (!p_stage.repeatable && p_stage.hedgeable) {
			_report(p_path + "/hedgeable", "true", "false, as the stage may not be repeated");
		}
	}

	void _check_pipelines() {
		for (std::size_t i = 0; i < _configuration.pipelines.size(); i++) {
			const pipeline_settings &pipeline = _configuration.pipelines[i];
			const std::string path = "/pipelines/" + std::to_string(i) + "/stages";
			_check_names(path, pipeline.stages);
			for (std::size_t j = 0; j < pipeline.stages.size(); j++) {
				_check_stage(path + "/" + std::to_string(j), pipeline.stages[j]);
			}
		}
	}

	void _check_rules() {
		for (std::size_t i = 0; i < _configuration.rules.size(); i++) {
			const rule_effect &effect = _configuration.rules[i].effect;
			if (!effect.from_pool) {
				continue;
			}
			const std::string path = "/rules/" + std::to_string(i) + "/steer/pool";
			const pool_settings *from = _configuration.find_pool(*effect.from_pool);
			const pool_settings *to = _configuration.find_pool(*effect.to_pool);
			if (from == nullptr) {
				_report(path + "/from", "\"" + *effect.from_pool + "\"", "the name of a pool in /pools");
			}
			if (to == nullptr) {
				_report(path + "/to", "\"" + *effect.to_pool + "\"", "the name of a pool in /pools");
			}
			if (from != nullptr && to != nullptr && from->kind != to->kind) {
				_report(path + "/to", std::string(get_name(to->kind)), "a pool of kind " + std::string(get_name(from->kind)));
			}
		}
	}

	void _check_policy() {
		if (!find_routing_policy(_configuration.policy.routing)) {
			_report("/policy/routing", "\"" + _configuration.policy.routing + "\"", "one of: " + list_routing_policies());
		}
		std::set<std::string> seen;
		for (std::size_t i = 0; i < _configuration.policy.zones.size(); i++) {
			if (!seen.insert(_configuration.policy.zones[i]).second) {
				_report("/policy/zones/" + std::to_string(i), "a zone listed twice", "each zone once");
			}
		}
	}

public:
	explicit semantic_check(const configuration &p_configuration) :
			_configuration(p_configuration) {}

	std::vector<document_problem> run() {
		_check_names("/customers", _configuration.customers);
		_check_names("/pools", _configuration.pools);
		_check_names("/pipelines", _configuration.pipelines);
		_check_names("/rules", _configuration.rules);
		_check_names("/drains", _configuration.drains);
		_check_keys();
		_check_pipelines();
		_check_rules();
		_check_policy();
		return std::move(_problems);
	}
};

} // namespace

configuration parse_configuration(std::string_view p_text) {
	if (p_text.size() > MAX_CONFIGURATION_BYTES) {
		const std::string found = std::to_string(p_text.size()) + " bytes";
		const std::string expected = "at most " + std::to_string(MAX_CONFIGURATION_BYTES) + " bytes";
		throw document_error({ document_problem{ "", found, expected } });
	}
	const json document = parse_checked(schema_name::CONFIGURATION, p_text);
	configuration result;
	for (const json &customer : document.at("customers")) {
		result.customers.push_back(read_customer(customer));
	}
	for (const json &pool : document.at("pools")) {
		result.pools.push_back(read_pool(pool));
	}
	for (const json &pipeline : document.at("pipelines")) {
		result.pipelines.push_back(read_pipeline(pipeline));
	}
	for (const json &rule : document.value("rules", json::array())) {
		result.rules.push_back(read_rule(rule));
	}
	for (const json &drain : document.value("drains", json::array())) {
		result.drains.push_back(drain_rule{ drain.at("name").get<std::string>(), read_selector(drain.at("endpoints")) });
	}
	if (document.contains("policy")) {
		result.policy = read_policy(document.at("policy"));
	}
	std::vector<document_problem> problems = semantic_check(result).run();
	if (!problems.empty()) {
		throw document_error(std::move(problems));
	}
	return result;
}

} // namespace calicoscale
