/*
 * calicoscale: logged_event.h
 * One line of a gateway's log, read back.
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

/** A line `ms=N event=NAME key=value ...`. */
struct logged_event {
	std::int64_t steady_ms = 0; ///< The machine's steady clock.
	std::string event;
	std::vector<std::pair<std::string, std::string>> fields; ///< In the order of the line, the two above left out.

	/** Value of a field; empty when the line lacks it. */
	std::string_view find(std::string_view p_key) const;

	/** Value of a field as a whole number; empty when it is missing or is none. */
	std::optional<std::int64_t> find_number(std::string_view p_key) const;
};

/** Reads a line; empty when it is not one of a gateway's log, e.g. a message of a library. */
std::optional<logged_event> parse_logged_event(std::string_view p_line);

} // namespace calicoscale

#endif // LOGGED_EVENT_H
