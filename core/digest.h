/*
 * calicoscale: digest.h
 * Hashes and message authentication, by xxhash and OpenSSL.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DIGEST_H
#define DIGEST_H

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace calicoscale {

/** Fast hash for tables and placement; not for secrets. */
std::uint64_t hash_bytes(std::string_view p_bytes, std::uint64_t p_seed = 0);

/** SHA-256 as 64 lower-case hexadecimal digits. */
std::string sha256_hex(std::string_view p_bytes);

/** The first half of a SHA-256. */
struct half_digest {
	std::uint64_t high = 0;
	std::uint64_t low = 0;
	auto operator<=>(const half_digest &p_other) const = default;
};

/** SHA-256 over a sequence of fields. The size of each field is hashed too, so that moving a byte across a border changes the digest. */
class field_digest {
	struct context_deleter {
		void operator()(evp_md_ctx_st *p_context) const;
	};

	std::unique_ptr<evp_md_ctx_st, context_deleter> _context;

public:
	field_digest();

	/** Adds the next field. */
	void add(std::string_view p_field);

	/** Returns the digest of all fields. The object must not be used afterwards. */
	half_digest finish();
};

/** HMAC-SHA-256 as 64 lower-case hexadecimal digits. */
std::string hmac_hex(std::string_view p_key, std::string_view p_bytes);

/** Compares in a time that depends on the lengths only. */
bool equal_in_constant_time(std::string_view p_left, std::string_view p_right);

/** Running digest over the tokens of a stream; sender and receiver compute it and compare. */
class stream_digest {
	std::uint64_t _state = 0;

public:
	/** Adds the next token. */
	void add(std::string_view p_token) { _state = hash_bytes(p_token, _state + 1); }

	/** Digest of all tokens so far as 16 hexadecimal digits; depends on the boundaries between tokens. */
	std::string to_string() const;
};

} // namespace calicoscale

#endif // DIGEST_H
