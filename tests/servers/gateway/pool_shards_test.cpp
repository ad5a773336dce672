/*
 * calicoscale: pool_shards_test.cpp
 * Splitting a large stage pool into shards.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/pool_shards.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace calicoscale {

TEST(pool_shards, pools_that_one_dispatcher_carries_are_not_split) {
	EXPECT_EQ(count_shards(0), 1U);
	EXPECT_EQ(count_shards(42), 1U);
	EXPECT_EQ(count_shards(63), 1U);
	EXPECT_EQ(count_shards(64), 2U);
	EXPECT_EQ(count_shards(127), 2U);
	EXPECT_EQ(count_shards(333), 8U);
	EXPECT_EQ(make_shard_name(pool_shard{ "pool", 0, 1 }), "pool") << "the name that nodes of a version without shards use";
}

TEST(pool_shards, each_replica_belongs_to_one_shard_and_none_is_empty) {
	constexpr std::size_t REPLICAS = 256;
	const std::size_t count = count_shards(REPLICAS);
	std::set<std::size_t> used;
	for (std::size_t replica = 0; replica < REPLICAS; replica++) {
		std::size_t owners = 0;
		for (std::size_t index = 0; index < count; index++) {
			const bool has = pool_shard{ "pool", index, count }.has("r" + std::to_string(replica));
			owners += has ? 1 : 0;
			if (has) {
				used.insert(index);
			}
		}
		EXPECT_EQ(owners, 1U);
	}
	EXPECT_EQ(used.size(), count);
}

RC_GTEST_PROP(pool_shards_properties, names_come_back, (const std::string &p_attempt)) {
	const std::size_t count = static_cast<std::size_t>(1) << *rc::gen::inRange(0, 7);
	const std::string name = choose_shard("pool", count, p_attempt);
	const pool_shard shard = parse_shard_name(name);
	RC_ASSERT(shard.pool == "pool");
	RC_ASSERT(shard.count == count);
	RC_ASSERT(shard.index < count);
	RC_ASSERT(make_shard_name(shard) == name);
}

RC_GTEST_PROP(pool_shards_properties, any_name_of_a_peer_is_read_as_some_pool, (const std::string &p_name)) {
	const pool_shard shard = parse_shard_name(p_name);
	RC_ASSERT(shard.index < shard.count);
}

} // namespace calicoscale
