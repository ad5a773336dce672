/*
 * calicoscale: logged_event.cpp
 * Parses a line of a gateway's log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/timeline/logged_event.h"

#include <charconv>

namespace calicoscale {

namespace {

std::optional<std::int64_t> parse_number(std::string_view p_text) {
	std::int64_t number = 0;
	const std::from_chars_result parsed = std::from_chars(p_text.data(), p_text.data() + p_text.size(), number);
	if (parsed.ec != std::errc() || parsed.ptr != p_text.data() + p_text.size()) {
		return std::nullopt;
	}
	return number;
}

} // namespace

std::string_view logged_event::find(std::string_view p_key) const {
	for (const auto &[key, value] : fields) {
		if (key == p_key) {
			return value;
		}
	}
	return "";
}

std::optional<std::int64_t> logged_event::find_number(std::string_view p_key) const {
	return parse_number(find(p_key));
}

std::optional<logged_event> parse_logged_event(std::string_view p_line) {
	logged_event entry;
	bool has_time = false;
	while (!p_line.empty()) {
		const std::size_t pair_end = p_line.find_first_of(" \r\n");
		const std::string_view pair = p_line.substr(0, pair_end);
		p_line.remove_prefix(pair_end == std::string_view::npos ? p_line.size() : pair_end + 1);
		const std::size_t separator = pair.find('=');
		if (separator == std::string_view::npos) {
			continue;
		}
		const std::string_view key = pair.substr(0, separator);
		const std::string_view value = pair.substr(separator + 1);
		if (key == "ms") {
			const std::optional<std::int64_t> time = parse_number(value);
			has_time = time.has_value();
			entry.steady_ms = time.value_or(0);
		} else if (key == "event") {
			entry.event = value;
		} else {
			entry.fields.emplace_back(key, value);
		}
	}
	if (!has_time || entry.event.empty()) {
		return std::nullopt;
	}
	return entry;
}

} // namespace calicoscale
