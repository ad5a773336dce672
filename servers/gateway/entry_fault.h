/*
 * calicoscale: entry_fault.h
 * Faults that make a record in the endpoints' topic unusable.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENTRY_FAULT_H
#define ENTRY_FAULT_H

#include "core/enum_names.h"

#include <array>
#include <string_view>

namespace calicoscale {

/** The first fault found in a record. Anyone may write records, so each of these is expected. */
enum class entry_fault {
	UNREADABLE, ///< Not a JSON document: other bytes, invalid UTF-8, or too long.
	NO_OBJECT, ///< A document that isn't an object.
	BAD_NAME, ///< The key can't be part of a request.
	BAD_SERVICE,
	BAD_ADDRESS, ///< Not an IPv4 address and port.
	BAD_ZONE,
	BAD_STATE, ///< Missing, or not a string.
	UNKNOWN_STATE, ///< A string, but neither serving nor leaving.
	BAD_START, ///< Not an integer, or too large for a time.
	MISSING_START, ///< Missing although most endpoints report theirs.
	BAD_DETAIL, ///< Another field defined by the platform has the wrong type.
};

inline constexpr std::array<enum_name<entry_fault>, 11> ENTRY_FAULT_NAMES{ {
		{ entry_fault::UNREADABLE, "unreadable" },
		{ entry_fault::NO_OBJECT, "no_object" },
		{ entry_fault::BAD_NAME, "bad_name" },
		{ entry_fault::BAD_SERVICE, "bad_service" },
		{ entry_fault::BAD_ADDRESS, "bad_address" },
		{ entry_fault::BAD_ZONE, "bad_zone" },
		{ entry_fault::BAD_STATE, "bad_state" },
		{ entry_fault::UNKNOWN_STATE, "unknown_state" },
		{ entry_fault::BAD_START, "bad_start" },
		{ entry_fault::MISSING_START, "missing_start" },
		{ entry_fault::BAD_DETAIL, "bad_detail" },
} };

/** Returns the name of a fault, e.g. "bad_address". */
constexpr std::string_view get_name(entry_fault p_fault) {
	return find_name(ENTRY_FAULT_NAMES, p_fault);
}

} // namespace calicoscale

#endif // ENTRY_FAULT_H
