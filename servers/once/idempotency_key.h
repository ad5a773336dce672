/*
 * calicoscale: idempotency_key.h
 * The two forms of an idempotency key: a caller's own key and a ticket issued by a node.
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

/** Maximum length of a caller's key. */
constexpr std::size_t MAX_KEY_BYTES = 128;

/** A caller's own key, "<creation time in unix milliseconds>-<any text>"; it is claimed on the log. */
struct claimed_key {
	unix_milliseconds made_at = 0;
};

/** A ticket that a node issued, "t/<vm>/<incarnation>/<sequence>/<expiry>/<code>"; only the node that issued it runs its request. */
struct ticket_key {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::uint64_t sequence = 0;
	unix_milliseconds expires_at = 0;
	std::string code; ///< Authentication code; see the class that issues tickets.
};

/** Parses a caller's key; empty when it is malformed or too long. */
std::optional<claimed_key> parse_claimed_key(std::string_view p_text);

/** Parses a ticket; empty when it is malformed or too long. Doesn't verify its code. */
std::optional<ticket_key> parse_ticket(std::string_view p_text);

std::string to_string(const ticket_key &p_ticket);

} // namespace calicoscale

#endif // IDEMPOTENCY_KEY_H
