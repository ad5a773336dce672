/*
 * calicoscale: pool_shards.h
 * Splits a large stage pool among several dispatchers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef POOL_SHARDS_H
#define POOL_SHARDS_H

#include <cstddef>
#include <string>
#include <string_view>

namespace calicoscale {

/**
 * One part of a stage pool: the replicas that a hash assigns to it, and its share of the work. Without shards one dispatcher
 * of a large fleet would handle the queue, the links and the messages of hundreds of nodes. A shard is large enough that
 * the work of all nodes still fills its calls.
 */
struct pool_shard {
	std::string pool;
	std::size_t index = 0;
	std::size_t count = 1; ///< Number of shards of the pool.

	/** Returns whether a replica belongs to the shard. */
	bool has(std::string_view p_replica) const;
};

/** Returns the number of shards for a pool with that many replicas: a power of two, so that it changes rarely. */
std::size_t count_shards(std::size_t p_replicas);

/** Returns the name of a shard in messages between nodes; the name of the pool if it is the only shard. */
std::string make_shard_name(const pool_shard &p_shard);

/** Parses a shard name; any other text is taken as the name of a pool with one shard. */
pool_shard parse_shard_name(const std::string &p_name);

/** Returns the name of the shard that the work of a request goes to. */
std::string choose_shard(const std::string &p_pool, std::size_t p_count, std::string_view p_attempt);

} // namespace calicoscale

#endif // POOL_SHARDS_H
