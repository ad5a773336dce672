/*
 * calicoscale: digest.h
 * Hashes and message authentication, by xxhash and OpenSSL.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DIGEST_H
#define DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace calicoscale {

/** Fast hash for tables and placement; not for secrets. */
std::uint64_t hash_bytes(std::string_view p_bytes, std::uint64_t p_seed = 0);

/** SHA-256 as 64 lower-case hexadecimal digits. */
std::string sha256_hex(std::string_view p_bytes);

/** HMAC-SHA-256 as 64 lower-case hexadecimal digits. */
std::string hmac_hex(std::string_view p_key, std::string_view p_bytes);

/** Compares in a time that depends on the lengths only. */
bool equal_in_constant_time(std::string_view p_left, std::string_view p_right);

/** Running digest over the tokens of a stream; both ends compute it. */
class stream_digest {
	std::uint64_t _state = 0;

public:
	/** Takes in the next token. */
	void add(std::string_view p_token) { _state = hash_bytes(p_token, _state + 1); }

	/** 16 hexadecimal digits over all tokens so far, their borders included. */
	std::string to_string() const;
};

} // namespace calicoscale

#endif // DIGEST_H
