/*
 * calicoscale: enum_names.h
 * Tables that map the enumerators of an enum class to names.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENUM_NAMES_H
#define ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace calicoscale {

/** One row of a table of names. */
template <typename enum_type>
struct enum_name {
	enum_type value;
	std::string_view name;
};

/** Returns the name of a value; "unknown" when the table has no row for it. */
template <typename enum_type, std::size_t row_count>
constexpr std::string_view find_name(const std::array<enum_name<enum_type>, row_count> &p_table, enum_type p_value) {
	for (const enum_name<enum_type> &row : p_table) {
		if (row.value == p_value) {
			return row.name;
		}
	}
	return "unknown";
}

/** Returns the value with a name; empty when the table has no row for it. */
template <typename enum_type, std::size_t row_count>
constexpr std::optional<enum_type> find_value(const std::array<enum_name<enum_type>, row_count> &p_table, std::string_view p_name) {
	for (const enum_name<enum_type> &row : p_table) {
		if (row.name == p_name) {
			return row.value;
		}
	}
	return std::nullopt;
}

} // namespace calicoscale

#endif // ENUM_NAMES_H
