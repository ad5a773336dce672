/*
 * calicoscale: digest.cpp
 * Hashes and message authentication, by xxhash and OpenSSL.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/digest.h"

#include "core/ids.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>
#include <cstring>

namespace calicoscale {

namespace {

std::string write_hex(const unsigned char *p_bytes, std::size_t p_size) {
	constexpr std::string_view DIGITS = "0123456789abcdef";
	std::string text;
	text.reserve(p_size * 2);
	for (std::size_t i = 0; i < p_size; i++) {
		text += DIGITS[p_bytes[i] >> 4U];
		text += DIGITS[p_bytes[i] & 0xFU];
	}
	return text;
}

} // namespace

std::uint64_t hash_bytes(std::string_view p_bytes, std::uint64_t p_seed) {
	return XXH3_64bits_withSeed(p_bytes.data(), p_bytes.size(), p_seed);
}

std::string sha256_hex(std::string_view p_bytes) {
	std::array<unsigned char, EVP_MAX_MD_SIZE> buffer{};
	unsigned int size = 0;
	EVP_Digest(p_bytes.data(), p_bytes.size(), buffer.data(), &size, EVP_sha256(), nullptr);
	return write_hex(buffer.data(), size);
}

void field_digest::context_deleter::operator()(evp_md_ctx_st *p_context) const {
	EVP_MD_CTX_free(p_context);
}

field_digest::field_digest() :
		_context(EVP_MD_CTX_new()) {
	EVP_DigestInit_ex(_context.get(), EVP_sha256(), nullptr);
}

void field_digest::add(std::string_view p_field) {
	const std::uint64_t size = p_field.size();
	EVP_DigestUpdate(_context.get(), &size, sizeof(size));
	EVP_DigestUpdate(_context.get(), p_field.data(), p_field.size());
}

half_digest field_digest::finish() {
	std::array<unsigned char, EVP_MAX_MD_SIZE> buffer{};
	EVP_DigestFinal_ex(_context.get(), buffer.data(), nullptr);
	half_digest digest;
	std::memcpy(&digest.high, buffer.data(), sizeof(digest.high));
	std::memcpy(&digest.low, buffer.data() + sizeof(digest.high), sizeof(digest.low));
	return digest;
}

std::string hmac_hex(std::string_view p_key, std::string_view p_bytes) {
	std::array<unsigned char, EVP_MAX_MD_SIZE> buffer{};
	unsigned int size = 0;
	const unsigned char *bytes = reinterpret_cast<const unsigned char *>(p_bytes.data());
	HMAC(EVP_sha256(), p_key.data(), static_cast<int>(p_key.size()), bytes, p_bytes.size(), buffer.data(), &size);
	return write_hex(buffer.data(), size);
}

bool equal_in_constant_time(std::string_view p_left, std::string_view p_right) {
	if (p_left.size() != p_right.size()) {
		return false;
	}
	return CRYPTO_memcmp(p_left.data(), p_right.data(), p_left.size()) == 0;
}

std::string stream_digest::to_string() const {
	return to_hex(_state);
}

} // namespace calicoscale
