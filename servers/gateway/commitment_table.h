/*
 * calicoscale: commitment_table.h
 * Admitted but unfinished stage work of all nodes, and the predicted completion time of a new request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMITMENT_TABLE_H
#define COMMITMENT_TABLE_H

#include "servers/gateway/gateway_configuration.h"

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Admitted work of one node for one pool at one priority, as the time that one replica needs with full batches. */
struct pool_commitment {
	std::string pool;
	int priority = 0;
	duration work = duration::zero();
};

/** Capacity of a pool, counted in replicas of typical speed, as its dispatcher estimates it. */
struct pool_capacity {
	std::string pool;
	double replicas = 0.0;
};

/** Whether a request is admitted, and when to retry if it isn't. */
struct admission_verdict {
	bool admitted = true;
	duration predicted = duration::zero(); ///< From now until all stages are done.
	duration retry_after = duration::zero();
};

/**
 * Counts the work of all stages of a request from its admission on. A pool late in the chain is therefore known to be full
 * before the requests that will need it arrive there. Each hub sends the other hubs the sum of its own work and that of its
 * followers, and sends its followers the sum over all nodes, so that a node's state and messages do not grow with the fleet.
 */
class commitment_table {
	using work_map = std::map<std::pair<std::string, int>, duration>; ///< Work as the time that one replica needs for it, see get_cost(); by pool and priority.

	work_map _own;
	std::map<std::string, work_map> _peers; ///< Of other hubs, their followers included.
	std::map<std::string, work_map> _followers; ///< Of nodes that follow this one.
	work_map _total; ///< Of all nodes, as the hub reported it; empty for a hub.
	work_map _own_in_total; ///< This node's share of _total.
	std::map<std::string, double> _capacities; ///< By the name of a pool's shard.
	std::map<std::string, std::size_t> _shards; ///< Number of shards of each pool that has several.

	duration _get_ahead(const std::string &p_pool, int p_priority) const;

public:
	/** Time that one replica needs for a number of items with full batches. */
	static duration get_cost(const stage_pool_spec &p_spec, std::size_t p_items);

	void add(const std::string &p_pool, int p_priority, duration p_work);
	void remove(const std::string &p_pool, int p_priority, duration p_work);

	/** Replaces what another hub reported for itself and its followers. */
	void set_peer(const std::string &p_node, const std::vector<pool_commitment> &p_commitments);

	/** Replaces what a follower reported. */
	void set_follower(const std::string &p_node, const std::vector<pool_commitment> &p_commitments);

	/**
	 * Applies the sum over all nodes that a hub reported.
	 * @param p_own_reported what this node had reported to the hub before, which the sum includes.
	 */
	void set_total(const std::vector<pool_commitment> &p_commitments, const std::vector<pool_commitment> &p_own_reported);

	/** Discards the hub's sum; for a hub that has received the reports of all others and adds them up itself. */
	void clear_total();

	/** Removes the reports of a node that failed or now reports through another hub. */
	void remove_peer(const std::string &p_node);

	/** Sets the number of shards whose capacities are reported separately. */
	void set_shards(const std::string &p_pool, std::size_t p_count) { _shards[p_pool] = p_count; }

	/** @param p_pool name of a pool, or of one of its shards. */
	void set_capacity(const std::string &p_pool, double p_replicas) { _capacities[p_pool] = p_replicas; }

	/** This node's own work. */
	std::vector<pool_commitment> get_own() const;

	/** Returns the work of this node and its followers, which is sent to other hubs. */
	std::vector<pool_commitment> get_subtree() const;

	/** Returns the work of all nodes, which is sent to followers. */
	std::vector<pool_commitment> get_total() const;

	/** Returns all known capacities, by the name of a pool's shard. */
	std::vector<pool_capacity> get_capacities() const;

	/** Returns the capacity of a pool. Shards without a report count as the average of the others; zero when none is known. */
	double get_capacity(const std::string &p_pool) const;

	/** Returns the time until a pool has done all work of the same or a more urgent priority; zero when its capacity isn't known. */
	duration get_drain_time(const std::string &p_pool, int p_priority) const;

	/**
	 * Predicts the time from now until all stages of a request are done.
	 * @param p_items number of items of each stage.
	 */
	duration predict_stages(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_items, int p_priority) const;
};

} // namespace calicoscale

#endif // COMMITMENT_TABLE_H
