/*
 * calicoscale: logged_event.h
 * Parses a line of a gateway's log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOGGED_EVENT_H
#define LOGGED_EVENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace calicoscale {

/** A line `ms=N event=NAME key=value ...` of a log. */
struct logged_event {
	std::int64_t steady_ms = 0; ///< Steady clock of the gateway's VM.
	std::string event;
	std::vector<std::pair<std::string, std::string>> fields; ///< All fields but `ms` and `event`, in the order of the line.

	/** Value of a field; empty if the line doesn't have it. */
	std::string_view find(std::string_view p_key) const;

	/** Value of a field as an integer; empty if it is missing or isn't an integer. */
	std::optional<std::int64_t> find_number(std::string_view p_key) const;
};

/** Parses a line; empty if it isn't an event of a gateway, e.g. a message of a library. */
std::optional<logged_event> parse_logged_event(std::string_view p_line);

} // namespace calicoscale

#endif // LOGGED_EVENT_H
