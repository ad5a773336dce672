/*
 * calicoscale: embedded_schemas.h
 * Texts of misc/schema, written into the build by CMake.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EMBEDDED_SCHEMAS_H
#define EMBEDDED_SCHEMAS_H

#include <string_view>

namespace calicoscale {

extern const std::string_view CONFIGURATION_SCHEMA;
extern const std::string_view SETTINGS_SCHEMA;
extern const std::string_view MIX_SCHEMA;
extern const std::string_view GATEWAY_SETTINGS_SCHEMA;

} // namespace calicoscale

#endif // EMBEDDED_SCHEMAS_H
