/*
 * calicoscale: request_fingerprint.h
 * Recognises repeated requests: same content from the same customer, independent of ids and deadlines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_FINGERPRINT_H
#define REQUEST_FINGERPRINT_H

#include "core/digest.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** The parts of a request that stay the same if it is sent again. Other headers, such as ids and deadlines, may differ. */
struct request_content {
	std::string_view method;
	std::string_view host;
	std::string_view target; ///< Path and query.
	std::string_view customer; ///< Empty for public routes.
	std::string_view body;
	std::vector<std::string_view> parts; ///< Ids of the parts of its prompt but the last, which is its own.
};

/**
 * Identifies a request by its content. The content digest is collision-resistant: otherwise a customer could craft requests that
 * are mistaken for those of another customer.
 */
struct request_fingerprint {
	std::uint64_t place = 0; ///< Hash of everything but the body. It is cheap, so that bodies are hashed only if this value is already known.
	half_digest content;
	auto operator<=>(const request_fingerprint &p_other) const = default;
};

/** Place of the fingerprints of parts of prompts. */
constexpr std::uint64_t PART_PLACE = 0;

/** Returns the hash of everything but the body. */
std::uint64_t hash_target(const request_content &p_content);

/** Computes the fingerprint of the complete content, which takes about 1 ms per megabyte. */
request_fingerprint make_fingerprint(const request_content &p_content);

/**
 * Computes the fingerprint of a part of prompts, which is the same whatever else its requests hold. It differs from that of any request:
 * no request has its place.
 */
request_fingerprint make_part_fingerprint(std::string_view p_part);

/** Whether a fingerprint is that of a part of prompts. */
bool is_part(const request_fingerprint &p_fingerprint);

/** Formats the upper half of the content digest as 16 hexadecimal digits, for logs. */
std::string to_string(const request_fingerprint &p_fingerprint);

} // namespace calicoscale

#endif // REQUEST_FINGERPRINT_H
