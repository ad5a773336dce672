/*
 * calicoscale: crash_archive.cpp
 * Text format of the crash records of a request in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/crash_archive.h"

#include "core/ids.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace calicoscale {

namespace {

constexpr std::size_t DIGITS = 16;
/** Records read from one value; a value written by this program never has more. */
constexpr std::size_t MAX_RECORDS = 64;

std::optional<request_fingerprint> read_key(std::string_view p_key) {
	if (p_key.size() != 3 * DIGITS) {
		return std::nullopt;
	}
	const std::optional<std::uint64_t> target = parse_hex(p_key.substr(0, DIGITS));
	const std::optional<std::uint64_t> high = parse_hex(p_key.substr(DIGITS, DIGITS));
	const std::optional<std::uint64_t> low = parse_hex(p_key.substr(2 * DIGITS));
	if (!target || !high || !low) {
		return std::nullopt;
	}
	return request_fingerprint{ *target, half_digest{ *high, *low } };
}

std::optional<crash_event> find_event(std::string_view p_name) {
	for (std::size_t i = 0; i < static_cast<std::size_t>(crash_event::COUNT); i++) {
		if (get_name(static_cast<crash_event>(i)) == p_name) {
			return static_cast<crash_event>(i);
		}
	}
	return std::nullopt;
}

std::optional<unix_milliseconds> read_wall(std::string_view p_text) {
	unix_milliseconds wall = 0;
	const auto [end, error] = std::from_chars(p_text.data(), p_text.data() + p_text.size(), wall);
	return error == std::errc() && end == p_text.data() + p_text.size() && wall > 0 ? std::optional(wall) : std::nullopt;
}

std::optional<crash_record> read_record(const request_fingerprint &p_run, std::string_view p_text, const moment &p_now) {
	const std::size_t first = p_text.find(':');
	const std::size_t second = first == std::string_view::npos ? first : p_text.find(':', first + 1);
	if (second == std::string_view::npos) {
		return std::nullopt;
	}
	const std::optional<crash_event> event = find_event(p_text.substr(0, first));
	const std::optional<std::uint64_t> subject = parse_hex(p_text.substr(first + 1, second - first - 1));
	const std::optional<unix_milliseconds> wall = read_wall(p_text.substr(second + 1));
	if (!event || !subject || !wall) {
		return std::nullopt;
	}
	const std::chrono::milliseconds age(std::max<unix_milliseconds>(0, p_now.wall - *wall));
	return crash_record{ *event, p_run, *subject, p_now.at - age };
}

} // namespace

std::string write_crash_key(const request_fingerprint &p_run) {
	return to_hex(p_run.place) + to_hex(p_run.content.high) + to_hex(p_run.content.low);
}

std::string write_crash_value(const std::vector<crash_record> &p_records, const moment &p_now) {
	std::string text;
	for (const crash_record &record : p_records) {
		const unix_milliseconds wall = p_now.wall - (p_now.at - record.at).count() / 1000;
		text += text.empty() ? "" : " ";
		text += std::string(get_name(record.news)) + ":" + to_hex(record.subject) + ":" + std::to_string(wall);
	}
	return text;
}

std::vector<crash_record> read_crash_records(std::string_view p_key, std::string_view p_value, const moment &p_now) {
	std::vector<crash_record> records;
	const std::optional<request_fingerprint> run = read_key(p_key);
	while (run && !p_value.empty() && records.size() < MAX_RECORDS) {
		const std::size_t blank = p_value.find(' ');
		const std::optional<crash_record> record = read_record(*run, p_value.substr(0, blank), p_now);
		if (record) {
			records.push_back(*record);
		}
		p_value = blank == std::string_view::npos ? std::string_view() : p_value.substr(blank + 1);
	}
	return records;
}

} // namespace calicoscale
