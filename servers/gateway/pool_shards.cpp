/*
 * calicoscale: pool_shards.cpp
 * Splits a large stage pool among several dispatchers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/pool_shards.h"

#include "core/digest.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <optional>

namespace calicoscale {

namespace {

/** Minimum number of replicas of a shard: about ten times as many as balance the load of the shards within the time of one call. */
constexpr std::size_t MIN_REPLICAS = 32;
constexpr std::size_t MAX_SHARDS = 64;
/** Separates the name of the pool from the shard; a character that names typed by an operator do not contain. */
constexpr char SHARD_SEPARATOR = '\x1f';
constexpr char COUNT_SEPARATOR = '/';

std::optional<std::size_t> parse_number(std::string_view p_text) {
	std::size_t number = 0;
	const auto [end, error] = std::from_chars(p_text.data(), p_text.data() + p_text.size(), number);
	return error == std::errc() && end == p_text.data() + p_text.size() ? std::optional(number) : std::nullopt;
}

} // namespace

bool pool_shard::has(std::string_view p_replica) const {
	return count <= 1 || hash_bytes(p_replica) % count == index;
}

std::size_t count_shards(std::size_t p_replicas) {
	const std::size_t max_shards = p_replicas / MIN_REPLICAS;
	return max_shards <= 1 ? 1 : std::min(std::bit_floor(max_shards), MAX_SHARDS);
}

std::string make_shard_name(const pool_shard &p_shard) {
	if (p_shard.count <= 1) {
		return p_shard.pool;
	}
	return p_shard.pool + SHARD_SEPARATOR + std::to_string(p_shard.index) + COUNT_SEPARATOR + std::to_string(p_shard.count);
}

pool_shard parse_shard_name(const std::string &p_name) {
	const std::size_t separator = p_name.find(SHARD_SEPARATOR);
	const std::size_t slash = p_name.find(COUNT_SEPARATOR, separator == std::string::npos ? p_name.size() : separator);
	if (separator == std::string::npos || slash == std::string::npos) {
		return pool_shard{ p_name, 0, 1 };
	}
	const std::optional<std::size_t> index = parse_number(std::string_view(p_name).substr(separator + 1, slash - separator - 1));
	const std::optional<std::size_t> count = parse_number(std::string_view(p_name).substr(slash + 1));
	const bool is_valid = index && count && *count > 1 && *count <= MAX_SHARDS && *index < *count;
	return is_valid ? pool_shard{ p_name.substr(0, separator), *index, *count } : pool_shard{ p_name, 0, 1 };
}

std::string choose_shard(const std::string &p_pool, std::size_t p_count, std::string_view p_attempt) {
	return make_shard_name(pool_shard{ p_pool, p_count <= 1 ? 0 : hash_bytes(p_attempt) % p_count, p_count });
}

} // namespace calicoscale
