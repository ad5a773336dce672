/*
 * calicoscale: commitment_table.h
 * Stage work that all nodes have admitted and not finished, and when a new request would be through.
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

/** Admitted work of one node for one pool at one priority, as time of a replica whose calls are full. */
struct pool_commitment {
	std::string pool;
	int priority = 0;
	duration work = duration::zero();
};

/** How many usual replicas a pool is worth, as its dispatcher sees it. */
struct pool_capacity {
	std::string pool;
	double replicas = 0.0;
};

/** Whether a request may begin, and when to come back if not. */
struct admission_verdict {
	bool admitted = true;
	duration predicted = duration::zero(); ///< From now until all stages are done.
	duration retry_after = duration::zero();
};

/**
 * Counts work for all stages of a request from its admission on, so that a pool late in the chain is seen to be full
 * before the requests on their way to it arrive there. Other nodes' work is known from their heartbeats.
 */
class commitment_table {
	using work_map = std::map<std::pair<std::string, int>, duration>; ///< By pool and priority.

	work_map _own;
	std::map<std::string, work_map> _peers; ///< By node.
	std::map<std::string, double> _capacities;

	duration _get_ahead(const std::string &p_pool, int p_priority) const;

public:
	/** Time of a replica that a number of pieces takes when calls are full. */
	static duration get_cost(const stage_pool_spec &p_spec, std::size_t p_pieces);

	void add(const std::string &p_pool, int p_priority, duration p_work);
	void remove(const std::string &p_pool, int p_priority, duration p_work);

	/** Replaces what is known of a peer. */
	void take_peer(const std::string &p_node, const std::vector<pool_commitment> &p_commitments);
	void forget_peer(const std::string &p_node);
	void set_capacity(const std::string &p_pool, double p_replicas) { _capacities[p_pool] = p_replicas; }

	/** This node's own work, to tell peers. */
	std::vector<pool_commitment> get_own() const;

	/** Time until a pool has done what is as urgent or more; zero when its capacity is not known. */
	duration get_drain_time(const std::string &p_pool, int p_priority) const;

	/**
	 * Predicts when the stages of a request would be done.
	 * @param p_pieces pieces of each stage.
	 */
	duration predict_stages(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_pieces, int p_priority) const;
};

} // namespace calicoscale

#endif // COMMITMENT_TABLE_H
