/*
 * calicoscale: request_fingerprint.h
 * What makes two requests one: the same content from the same customer, whatever their ids and deadlines.
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

namespace calicoscale {

/** The parts of a request that come again with it. Other headers, ids and deadlines among them, differ from try to try. */
struct request_content {
	std::string_view method;
	std::string_view host;
	std::string_view target; ///< Path and query.
	std::string_view customer; ///< Empty for public routes.
	std::string_view body;
};

/**
 * Names a request by its content. The digest of the content is one that a caller cannot bring about at will, or one customer
 * could have the requests of another taken for its own.
 */
struct request_fingerprint {
	std::uint64_t place = 0; ///< Of all but the body; cheap, so that bodies are read only where the place is known.
	half_digest content;
	auto operator<=>(const request_fingerprint &p_other) const = default;
};

/** Hash of all but the body. */
std::uint64_t hash_place(const request_content &p_content);

/** Reads the whole content: about 1 ms for a megabyte. */
request_fingerprint make_fingerprint(const request_content &p_content);

/** 16 hexadecimal digits, for logs. */
std::string to_string(const request_fingerprint &p_fingerprint);

} // namespace calicoscale

#endif // REQUEST_FINGERPRINT_H
