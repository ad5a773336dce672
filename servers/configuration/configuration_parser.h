/*
 * calicoscale: configuration_parser.h
 * Turns a configuration document into typed data, or lists all its mistakes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONFIGURATION_PARSER_H
#define CONFIGURATION_PARSER_H

#include "servers/configuration/configuration.h"

#include <string_view>

namespace calicoscale {

/** Largest configuration document that is accepted, in bytes. */
constexpr std::size_t LARGEST_CONFIGURATION = 512 * 1024;

/**
 * Parses and checks a configuration document: size, schema, then meaning.
 * @throws document_error with every mistake found.
 */
configuration parse_configuration(std::string_view p_text);

} // namespace calicoscale

#endif // CONFIGURATION_PARSER_H
