/*
 * calicoscale: commitment_table.cpp
 * Admitted but unfinished stage work of all nodes, and the predicted completion time of a new request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/commitment_table.h"

#include "servers/gateway/pool_shards.h"

#include "servers/gateway/stage_times.h"

#include <algorithm>
#include <climits>

namespace calicoscale {

namespace {

std::size_t get_items_of(const std::vector<std::size_t> &p_items, std::size_t p_stage) {
	return p_stage < p_items.size() ? p_items[p_stage] : 0;
}

using work_map = std::map<std::pair<std::string, int>, duration>;

work_map make_map(const std::vector<pool_commitment> &p_commitments) {
	work_map works;
	for (const pool_commitment &entry : p_commitments) {
		works[{ entry.pool, entry.priority }] = entry.work;
	}
	return works;
}

std::vector<pool_commitment> make_list(const work_map &p_works) {
	std::vector<pool_commitment> commitments;
	for (const auto &[key, work] : p_works) {
		if (work > duration::zero()) {
			commitments.push_back(pool_commitment{ key.first, key.second, work });
		}
	}
	return commitments;
}

void add_to(work_map &r_sum, const work_map &p_works) {
	for (const auto &[key, work] : p_works) {
		r_sum[key] += work;
	}
}

} // namespace

duration commitment_table::get_cost(const stage_pool_spec &p_spec, std::size_t p_items) {
	const duration::rep items = static_cast<duration::rep>(p_items);
	return p_spec.piece_time * items + p_spec.call_time * items / static_cast<duration::rep>(p_spec.batch);
}

void commitment_table::add(const std::string &p_pool, int p_priority, duration p_work) {
	_own[{ p_pool, p_priority }] += p_work;
}

void commitment_table::remove(const std::string &p_pool, int p_priority, duration p_work) {
	duration &work = _own[{ p_pool, p_priority }];
	work = std::max(duration::zero(), work - p_work);
}

void commitment_table::set_peer(const std::string &p_node, const std::vector<pool_commitment> &p_commitments) {
	_followers.erase(p_node);
	_peers[p_node] = make_map(p_commitments);
}

void commitment_table::set_follower(const std::string &p_node, const std::vector<pool_commitment> &p_commitments) {
	_peers.erase(p_node);
	_followers[p_node] = make_map(p_commitments);
}

void commitment_table::set_total(const std::vector<pool_commitment> &p_commitments, const std::vector<pool_commitment> &p_own_reported) {
	_total = make_map(p_commitments);
	_own_in_total = make_map(p_own_reported);
	_peers.clear();
}

void commitment_table::clear_total() {
	_total.clear();
	_own_in_total.clear();
}

void commitment_table::remove_peer(const std::string &p_node) {
	_peers.erase(p_node);
	_followers.erase(p_node);
}

std::vector<pool_commitment> commitment_table::get_own() const {
	return make_list(_own);
}

std::vector<pool_commitment> commitment_table::get_subtree() const {
	work_map sum = _own;
	for (const auto &[node, works] : _followers) {
		add_to(sum, works);
	}
	return make_list(sum);
}

std::vector<pool_commitment> commitment_table::get_total() const {
	work_map sum = _own;
	for (const std::map<std::string, work_map> *nodes : { &_followers, &_peers }) {
		for (const auto &[node, works] : *nodes) {
			add_to(sum, works);
		}
	}
	return make_list(sum);
}

std::vector<pool_capacity> commitment_table::get_capacities() const {
	std::vector<pool_capacity> capacities;
	for (const auto &[pool, replicas] : _capacities) {
		capacities.push_back(pool_capacity{ pool, replicas });
	}
	return capacities;
}

duration commitment_table::_get_ahead(const std::string &p_pool, int p_priority) const {
	const auto sum_ahead = [&p_pool, p_priority](const work_map &p_works) {
		duration sum = duration::zero();
		for (auto entry = p_works.lower_bound({ p_pool, INT_MIN }); entry != p_works.end() && entry->first.first == p_pool; ++entry) {
			sum += entry->first.second <= p_priority ? entry->second : duration::zero();
		}
		return sum;
	};
	duration received = duration::zero();
	for (const std::map<std::string, work_map> *nodes : { &_followers, &_peers }) {
		for (const auto &[node, works] : *nodes) {
			received += sum_ahead(works);
		}
	}
	// A node that has just become a hub uses its last received total until all other hubs have reported.
	return sum_ahead(_own) + std::max(received, sum_ahead(_total) - sum_ahead(_own_in_total));
}

double commitment_table::get_capacity(const std::string &p_pool) const {
	const auto known_shards = _shards.find(p_pool);
	const std::size_t count = known_shards == _shards.end() ? 1 : known_shards->second;
	double sum = 0.0;
	std::size_t known_count = 0;
	for (std::size_t index = 0; index < count; index++) {
		const auto capacity = _capacities.find(make_shard_name(pool_shard{ p_pool, index, count }));
		if (capacity != _capacities.end()) {
			sum += capacity->second;
			known_count++;
		}
	}
	return known_count == 0 ? 0.0 : sum * static_cast<double>(count) / static_cast<double>(known_count);
}

duration commitment_table::get_drain_time(const std::string &p_pool, int p_priority) const {
	const double capacity = get_capacity(p_pool);
	if (capacity <= 0.0) {
		return duration::zero();
	}
	return duration(static_cast<duration::rep>(static_cast<double>(_get_ahead(p_pool, p_priority).count()) / capacity));
}

duration commitment_table::predict_stages(const gateway_configuration &p_configuration, const gateway_route &p_route, const std::vector<std::size_t> &p_items, int p_priority) const {
	std::vector<duration> done(p_route.stages.size(), duration::zero());
	duration last = duration::zero();
	for (std::size_t i = 0; i < p_route.stages.size(); i++) {
		const stage_spec &stage = p_route.stages[i];
		const gateway_service *service = p_configuration.find_service(stage.pool);
		const std::size_t items = get_items_of(p_items, i);
		for (const std::size_t input : stage.inputs) {
			done[i] = std::max(done[i], done[input]);
		}
		if (items == 0 || service == nullptr || !service->stage_pool) {
			continue;
		}
		done[i] = std::max(done[i], get_drain_time(stage.pool, p_priority)) + get_shared_call_time(*service->stage_pool, items);
		last = std::max(last, done[i]);
	}
	return last;
}

} // namespace calicoscale
