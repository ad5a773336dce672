/*
 * calicoscale: request_fingerprint.cpp
 * Recognises repeated requests: same content from the same customer, independent of ids and deadlines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/request/request_fingerprint.h"

#include "core/ids.h"

namespace calicoscale {

std::uint64_t hash_target(const request_content &p_content) {
	std::uint64_t hash = hash_bytes(p_content.method);
	for (const std::string_view field : { p_content.host, p_content.target, p_content.customer }) {
		hash = hash_bytes(field, hash + 1);
	}
	return hash;
}

request_fingerprint make_fingerprint(const request_content &p_content) {
	field_digest digest;
	for (const std::string_view field : { p_content.method, p_content.host, p_content.target, p_content.customer, p_content.body }) {
		digest.add(field);
	}
	return request_fingerprint{ hash_target(p_content), digest.finish() };
}

request_fingerprint make_part_fingerprint(std::string_view p_part) {
	field_digest digest;
	digest.add(p_part);
	return request_fingerprint{ PART_PLACE, digest.finish() };
}

bool is_part(const request_fingerprint &p_fingerprint) {
	return p_fingerprint.place == PART_PLACE;
}

std::string to_string(const request_fingerprint &p_fingerprint) {
	return to_hex(p_fingerprint.content.high);
}

} // namespace calicoscale
