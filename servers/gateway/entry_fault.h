/*
 * calicoscale: entry_fault.h
 * Why a record in the endpoints' topic names no endpoint to use.
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
	UNREADABLE, ///< No document at all: other bytes, invalid UTF-8, too long.
	NO_OBJECT, ///< A document of another kind.
	BAD_NAME, ///< The key cannot stand in a request.
	BAD_SERVICE,
	BAD_ADDRESS, ///< No IPv4 address and port to connect to.
	BAD_ZONE,
	BAD_STATE, ///< Missing or no text.
	UNKNOWN_STATE, ///< A text, but neither serving nor leaving.
	BAD_START, ///< Not a whole number, or too late to be a time.
	MISSING_START, ///< While the other endpoints tell theirs.
	BAD_DETAIL, ///< Another field that the platform describes is of another type.
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

/** Name of a fault, e.g. "bad_address". */
constexpr std::string_view get_name(entry_fault p_fault) {
	return find_name(ENTRY_FAULT_NAMES, p_fault);
}

} // namespace calicoscale

#endif // ENTRY_FAULT_H
