/*
 * calicoscale: idempotency_key.cpp
 * The two forms of an idempotency key: a caller's own key and a ticket issued by a node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/once/idempotency_key.h"

#include "core/ids.h"

#include <charconv>
#include <vector>

namespace calicoscale {

namespace {

constexpr std::string_view TICKET_PREFIX = "t";
constexpr std::size_t TICKET_PART_COUNT = 6;
constexpr std::size_t CODE_LENGTH = 32;

std::optional<std::int64_t> parse_number(std::string_view p_text) {
	std::int64_t value = 0;
	const char *end = p_text.data() + p_text.size();
	const std::from_chars_result result = std::from_chars(p_text.data(), end, value);
	if (p_text.empty() || result.ec != std::errc() || result.ptr != end || value < 0) {
		return std::nullopt;
	}
	return value;
}

std::vector<std::string_view> split(std::string_view p_text, char p_separator) {
	std::vector<std::string_view> parts;
	std::size_t start = 0;
	while (true) {
		const std::size_t end = p_text.find(p_separator, start);
		if (end == std::string_view::npos) {
			parts.push_back(p_text.substr(start));
			return parts;
		}
		parts.push_back(p_text.substr(start, end - start));
		start = end + 1;
	}
}

} // namespace

std::optional<claimed_key> parse_claimed_key(std::string_view p_text) {
	if (p_text.size() > MAX_KEY_BYTES) {
		return std::nullopt;
	}
	const std::size_t dash = p_text.find('-');
	if (dash == std::string_view::npos || dash + 1 == p_text.size()) {
		return std::nullopt;
	}
	const std::optional<std::int64_t> made_at = parse_number(p_text.substr(0, dash));
	if (!made_at) {
		return std::nullopt;
	}
	return claimed_key{ *made_at };
}

std::optional<ticket_key> parse_ticket(std::string_view p_text) {
	if (p_text.size() > MAX_KEY_BYTES + CODE_LENGTH) {
		return std::nullopt;
	}
	const std::vector<std::string_view> parts = split(p_text, '/');
	if (parts.size() != TICKET_PART_COUNT || parts[0] != TICKET_PREFIX || parts[5].size() != CODE_LENGTH) {
		return std::nullopt;
	}
	const std::optional<std::uint64_t> incarnation = parse_hex(parts[2]);
	const std::optional<std::int64_t> sequence = parse_number(parts[3]);
	const std::optional<std::int64_t> expires_at = parse_number(parts[4]);
	if (!incarnation || !sequence || !expires_at) {
		return std::nullopt;
	}
	return ticket_key{ std::string(parts[1]), *incarnation, static_cast<std::uint64_t>(*sequence), *expires_at, std::string(parts[5]) };
}

std::string to_string(const ticket_key &p_ticket) {
	std::string text(TICKET_PREFIX);
	text += "/" + p_ticket.vm;
	text += "/" + to_hex(p_ticket.incarnation);
	text += "/" + std::to_string(p_ticket.sequence);
	text += "/" + std::to_string(p_ticket.expires_at);
	text += "/" + p_ticket.code;
	return text;
}

} // namespace calicoscale
