/*
 * calicoscale: ids.cpp
 * Textual forms of request and attempt identities.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/ids.h"

#include <array>
#include <charconv>

namespace calicoscale {

namespace {

constexpr std::size_t HEX_DIGITS = 16;
constexpr int HEX_BASE = 16;

} // namespace

std::string to_hex(std::uint64_t p_value) {
	std::array<char, HEX_DIGITS> buffer{};
	const std::to_chars_result result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), p_value, HEX_BASE);
	const std::string digits(buffer.data(), result.ptr);
	return std::string(HEX_DIGITS - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> parse_hex(std::string_view p_text) {
	if (p_text.size() != HEX_DIGITS) {
		return std::nullopt;
	}
	std::uint64_t value = 0;
	const char *end = p_text.data() + p_text.size();
	const std::from_chars_result result = std::from_chars(p_text.data(), end, value, HEX_BASE);
	if (result.ec != std::errc() || result.ptr != end) {
		return std::nullopt;
	}
	return value;
}

std::string to_string(const request_id &p_id) {
	return to_hex(p_id.incarnation) + "-" + to_hex(p_id.sequence);
}

std::optional<request_id> parse_request_id(std::string_view p_text) {
	if (p_text.size() != 2 * HEX_DIGITS + 1 || p_text[HEX_DIGITS] != '-') {
		return std::nullopt;
	}
	const std::optional<std::uint64_t> incarnation = parse_hex(p_text.substr(0, HEX_DIGITS));
	const std::optional<std::uint64_t> sequence = parse_hex(p_text.substr(HEX_DIGITS + 1));
	if (!incarnation || !sequence) {
		return std::nullopt;
	}
	return request_id{ *incarnation, *sequence };
}

std::string to_string(const attempt_id &p_id) {
	return to_string(p_id.request) + "." + std::to_string(p_id.stage) + "." + std::to_string(p_id.attempt);
}

} // namespace calicoscale
