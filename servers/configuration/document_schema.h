/*
 * calicoscale: document_schema.h
 * Checks a JSON document against one of the shipped schemas.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DOCUMENT_SCHEMA_H
#define DOCUMENT_SCHEMA_H

#include "core/document_problem.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** The schemas in misc/schema that are built into the program. */
enum class schema_name {
	CONFIGURATION,
	SETTINGS,
	MIX,
	GATEWAY_SETTINGS,
};

std::string_view get_schema_text(schema_name p_schema);

/** Returns all violations of the schema; empty when the document is valid. */
std::vector<document_problem> check_schema(schema_name p_schema, const nlohmann::json &p_document);

/**
 * Parses JSON text and checks it against the schema.
 * @throws document_error when the text isn't JSON or violates the schema.
 */
nlohmann::json parse_checked(schema_name p_schema, std::string_view p_text);

/** Text of a value for messages; long values are truncated. */
std::string describe(const nlohmann::json &p_value);

} // namespace calicoscale

#endif // DOCUMENT_SCHEMA_H
