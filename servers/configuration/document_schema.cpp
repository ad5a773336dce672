/*
 * calicoscale: document_schema.cpp
 * Checks documents against the schemas. The only file that includes the schema validator, which is slow to compile.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/configuration/document_schema.h"

#include "servers/configuration/embedded_schemas.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <map>

namespace calicoscale {

namespace {

constexpr std::size_t MAX_DESCRIPTION_BYTES = 60;

const valijson::Schema &get_schema(schema_name p_schema) {
	static std::map<schema_name, valijson::Schema> cache;
	const auto [found, is_new] = cache.try_emplace(p_schema);
	if (is_new) {
		const nlohmann::json document = nlohmann::json::parse(get_schema_text(p_schema));
		valijson::adapters::NlohmannJsonAdapter adapter(document);
		valijson::SchemaParser parser;
		parser.populateSchema(adapter, found->second);
	}
	return found->second;
}

/** Converts valijson's context, "<root>[a][0]", into a JSON pointer, "/a/0". */
std::string make_path(const std::vector<std::string> &p_context) {
	std::string path;
	for (std::size_t i = 1; i < p_context.size(); i++) {
		std::string step = p_context[i];
		if (step.size() >= 2 && step.front() == '[') {
			step = step.substr(1, step.size() - 2);
		}
		path += "/" + step;
	}
	return path;
}

std::string describe_at(const nlohmann::json &p_document, const std::string &p_path) {
	const nlohmann::json::json_pointer pointer(p_path);
	if (!p_document.contains(pointer)) {
		return "nothing";
	}
	return describe(p_document.at(pointer));
}

} // namespace

std::string_view get_schema_text(schema_name p_schema) {
	switch (p_schema) {
		case schema_name::CONFIGURATION:
			return CONFIGURATION_SCHEMA;
		case schema_name::SETTINGS:
			return SETTINGS_SCHEMA;
		case schema_name::MIX:
			return MIX_SCHEMA;
		case schema_name::GATEWAY_SETTINGS:
			return GATEWAY_SETTINGS_SCHEMA;
	}
	return "{}";
}

std::string describe(const nlohmann::json &p_value) {
	std::string text = p_value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
	if (text.size() > MAX_DESCRIPTION_BYTES) {
		text = text.substr(0, MAX_DESCRIPTION_BYTES) + "...";
	}
	return text;
}

std::vector<document_problem> check_schema(schema_name p_schema, const nlohmann::json &p_document) {
	valijson::Validator validator;
	valijson::ValidationResults results;
	valijson::adapters::NlohmannJsonAdapter adapter(p_document);
	std::vector<document_problem> problems;
	if (validator.validate(get_schema(p_schema), adapter, &results)) {
		return problems;
	}
	valijson::ValidationResults::Error error;
	while (results.popError(error)) {
		// The validator reports a failing child again at each of its parents; only the innermost position is useful.
		if (error.description.find("Failed to validate against schema associated with") != std::string::npos) {
			continue;
		}
		if (error.description.find("Failed to validate item #") != std::string::npos) {
			continue;
		}
		const std::string path = make_path(error.context);
		problems.push_back(document_problem{ path, describe_at(p_document, path), "what the schema asks: " + error.description });
	}
	if (problems.empty()) {
		problems.push_back(document_problem{ "", describe(p_document), "a document that follows the schema" });
	}
	return problems;
}

nlohmann::json parse_checked(schema_name p_schema, std::string_view p_text) {
	nlohmann::json document;
	try {
		document = nlohmann::json::parse(p_text);
	} catch (const nlohmann::json::parse_error &error) {
		const std::string found = "broken JSON at byte " + std::to_string(error.byte);
		throw document_error({ document_problem{ "", found, "a JSON document" } });
	}
	std::vector<document_problem> problems = check_schema(p_schema, document);
	if (!problems.empty()) {
		throw document_error(std::move(problems));
	}
	return document;
}

} // namespace calicoscale
