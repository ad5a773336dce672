/*
 * calicoscale: ids.h
 * Identities of requests and of their attempts.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef IDS_H
#define IDS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace calicoscale {

/** Identifies a request across all processes: the incarnation of the accepting node and a counter of that node. */
struct request_id {
	std::uint64_t incarnation = 0;
	std::uint64_t sequence = 0;
	auto operator<=>(const request_id &p_other) const = default;
};

/** Identifies one attempt at one stage of a request. The endpoint's answer must echo it. */
struct attempt_id {
	request_id request;
	std::uint32_t stage = 0;
	std::uint32_t attempt = 0;
	auto operator<=>(const attempt_id &p_other) const = default;
};

/** Writes 16 hexadecimal digits. */
std::string to_hex(std::uint64_t p_value);

/** Parses the output of to_hex; empty for anything else. */
std::optional<std::uint64_t> parse_hex(std::string_view p_text);

/** Writes "<incarnation>-<sequence>" in hexadecimal. */
std::string to_string(const request_id &p_id);

/** Parses the output of to_string; empty for anything else. */
std::optional<request_id> parse_request_id(std::string_view p_text);

/** Writes "<request>.<stage>.<attempt>", the form endpoints echo. */
std::string to_string(const attempt_id &p_id);

} // namespace calicoscale

#endif // IDS_H
