/*
 * calicoscale: load_mix.cpp
 * A mix of requests for the load tool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/load/load_mix.h"

#include "core/document_problem.h"
#include "servers/configuration/document_schema.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace calicoscale {

namespace {

using json = nlohmann::json;

mix_request read_request(const json &p_document) {
	mix_request request;
	request.pipeline = p_document.at("pipeline").get<std::string>();
	request.weight = p_document.value("weight", request.weight);
	request.deadline = std::chrono::milliseconds(p_document.value("deadline_ms", 0));
	request.input_bytes = p_document.value("input_bytes", request.input_bytes);
	request.shared_prefix_bytes = p_document.value("shared_prefix_bytes", request.shared_prefix_bytes);
	request.stream = p_document.value("stream", request.stream);
	request.once = p_document.value("once", request.once);
	request.customers = p_document.value("customers", request.customers);
	return request;
}

} // namespace

load_mix parse_mix(std::string_view p_text) {
	const json document = parse_checked(schema_name::MIX, p_text);
	load_mix mix;
	mix.name = document.at("name").get<std::string>();
	for (const json &customer : document.at("customers")) {
		mix.customers.push_back(mix_customer{ customer.at("name").get<std::string>(), customer.at("key").get<std::string>(), customer.value("weight", 1.0) });
	}
	std::vector<document_problem> problems;
	const json &requests = document.at("requests");
	for (std::size_t i = 0; i < requests.size(); i++) {
		mix.requests.push_back(read_request(requests[i]));
		for (const std::string &name : mix.requests.back().customers) {
			const bool is_known = std::any_of(mix.customers.begin(), mix.customers.end(), [&name](const mix_customer &p_customer) { return p_customer.name == name; });
			if (!is_known) {
				problems.push_back(document_problem{ "/requests/" + std::to_string(i) + "/customers", "\"" + name + "\"", "the name of a customer in /customers" });
			}
		}
	}
	if (!problems.empty()) {
		throw document_error(std::move(problems));
	}
	if (document.contains("burst")) {
		const json &burst = document.at("burst");
		mix.burst = mix_burst{ from_seconds(burst.at("every_seconds").get<double>()), from_seconds(burst.at("length_seconds").get<double>()), burst.at("factor").get<double>() };
	}
	return mix;
}

} // namespace calicoscale
