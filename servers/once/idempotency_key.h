/*
 * calicoscale: idempotency_key.h
 * The two forms of the key that marks a request as one and the same.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef IDEMPOTENCY_KEY_H
#define IDEMPOTENCY_KEY_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace calicoscale {

/** Longest key in bytes. */
constexpr std::size_t LONGEST_KEY = 128;

/** A caller's own key, "<unix milliseconds>-<anything>"; it is claimed on the log. */
struct claimed_key {
	unix_milliseconds made_at = 0;
};

/** A ticket that a node issued, "t/<vm>/<incarnation>/<sequence>/<expiry>/<code>"; only its issuer runs it. */
struct ticket_key {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::uint64_t sequence = 0;
	unix_milliseconds expires_at = 0;
	std::string code;
};

/** Reads a caller's key; empty when it has not that form or is too long. */
std::optional<claimed_key> parse_claimed_key(std::string_view p_text);

/** Reads a ticket; empty when it has not that form or is too long. */
std::optional<ticket_key> parse_ticket(std::string_view p_text);

/** Writes a ticket. */
std::string to_string(const ticket_key &p_ticket);

} // namespace calicoscale

#endif // IDEMPOTENCY_KEY_H
