/*
 * calicoscale: configuration_parser.h
 * Parses a configuration document into typed data, or reports all its mistakes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONFIGURATION_PARSER_H
#define CONFIGURATION_PARSER_H

#include "servers/configuration/configuration.h"

#include <string_view>

namespace calicoscale {

/** Maximum size of an accepted configuration document. */
constexpr std::size_t MAX_CONFIGURATION_BYTES = 512 * 1024;

/**
 * Parses a configuration document and checks its size, its schema, then what the schema can't express.
 * @throws document_error with all mistakes of the first of these checks that fails.
 */
configuration parse_configuration(std::string_view p_text);

} // namespace calicoscale

#endif // CONFIGURATION_PARSER_H
