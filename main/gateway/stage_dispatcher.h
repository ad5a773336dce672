/*
 * calicoscale: stage_dispatcher.h
 * Assigns stage work to the node that dispatches its pool, and dispatches the pools assigned to this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_DISPATCHER_H
#define STAGE_DISPATCHER_H

#include "main/gateway/gateway_fleet.h"
#include "main/gateway/pool_caller.h"
#include "servers/gateway/dispatcher_selection.h"
#include "servers/gateway/pool_shards.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/**
 * One live node dispatches each pool, so that items of all nodes can share calls. Each node chooses it by hashing names, without
 * consensus: while views differ, two nodes may dispatch the same pool, which only makes calls less full. Work assigned to a node
 * that becomes silent is assigned to another node, and its items may be computed again.
 */
class stage_dispatcher {
	using end_hook = std::function<void(const work_result &)>;

	/** Stage work of a request that this node received. */
	struct own_work {
		std::string pool; ///< Name of the shard. In this class pool names are shard names unless stated otherwise.
		stage_work work;
		std::string node; ///< Node that dispatches the work; empty while there is no link to that node.
		end_hook hook;
		instant waits_since{}; ///< Since when the work waits for a link.
	};

	/** Work in a pool that this node dispatches. */
	struct accepted_work {
		std::string node; ///< Node that owns the work; empty for this node.
		std::uint64_t id = 0; ///< Identifier assigned by the owner.
		std::string attempt; ///< The caller's id of the request; reported with the end of the work.
		std::size_t stage = 0; ///< Reported with the end of the work.
	};

	struct pool_entry {
		pool_entry(gateway_context &p_context, endpoint_exchanges &p_endpoints, send_guard &p_guard, const std::string &p_name, pool_caller_hooks p_hooks) :
				calls(p_context, p_endpoints, p_guard, p_name, std::move(p_hooks)) {}

		pool_caller calls;
		std::unordered_map<work_id, accepted_work> accepted;
		std::map<std::pair<std::string, std::uint64_t>, work_id> by_owner;
	};

	/** A result that a request of this node uses. */
	struct own_result {
		std::size_t bytes = 0;
		std::string reported_to; ///< Node to which the use of the result was reported.
		std::uint64_t incarnation = 0; ///< Incarnation of the replica that produced it; 0 if unknown.
	};

	gateway_context &_context;
	configuration_follower &_configuration;
	gateway_fleet &_fleet;
	endpoint_exchanges &_endpoints;
	commitment_table &_commitments;
	std::map<std::uint64_t, own_work> _own;
	std::map<std::string, pool_entry> _pools;
	std::map<std::string, std::map<std::string, own_result>> _used_results; ///< Results in use, by pool and handle.
	std::map<std::string, instant> _failed_at; ///< Failed nodes whose results have not been released yet, with the time of failure.
	std::uint64_t _next_own = 1;
	work_id _next_accepted = 1;
	timer _tick_timer;
	send_guard &_guard;
	instant _ticked_at{};
	instant _no_dispatcher_since{}; ///< Since when this node, as a follower, has known no dispatching node; otherwise not set.
	bool _pump_posted = false;
	std::function<void(const interrupted_run &)> _on_run_lost;
	std::set<std::string> _evacuated_zones;
	std::map<std::string, std::vector<endpoint_listing>> _staying; ///< Endpoints that are not leaving, by pool (not by shard).

	pool_entry &_get_pool(const std::string &p_name);
	/** Number of shards of a pool, derived from its replicas. */
	std::size_t _count_shards(const std::string &p_pool) const;
	std::vector<std::string> _get_shard_names(const std::string &p_pool) const;
	/** Replicas of a shard that may receive calls. */
	std::vector<endpoint_listing> _get_replicas(const std::string &p_name) const;
	void _update_replicas(const std::string &p_name, pool_entry &r_entry);
	/** Removes a result from those that this node uses, and returns the shard whose dispatcher knows it. */
	std::string _remove_used_result(const std::string &p_pool, const std::string &p_handle);
	dispatch_view _get_view() const;
	/** Whether this node is the dispatcher of a shard that is in use. */
	bool _is_dispatching(const std::string &p_name) const;
	void _update_slack_parts();
	/** Updates the time since which this node, as a follower, has known no dispatching node. */
	void _update_no_dispatcher_since(const dispatch_view &p_view, instant p_now);
	std::string _choose_node(const std::string &p_pool) const;
	void _assign(std::uint64_t p_id, const std::string &p_except);
	assign_work_message _make_assignment(std::uint64_t p_id, const own_work &p_own) const;
	void _assign_waiting();
	void _keep_links();
	void _log_requested(const own_work &p_own);
	void _accept(const std::string &p_pool, const std::string &p_node, std::uint64_t p_id, stage_work p_work);
	void _cancel_accepted(pool_entry &p_entry, const std::string &p_node, std::uint64_t p_id);
	void _on_assigned_work_ended(const std::string &p_vm, const work_ended_message &p_message);

	/**
	 * Cancels work that another node assigned, and notifies that node. An owner that has not noticed this node's silence would
	 * otherwise wait until the request times out: when both nodes stalled for 0.65 s, three of six requests timed out.
	 */
	void _drop_accepted(pool_entry &p_entry, const std::string &p_node, std::uint64_t p_id);
	/** Reports the end of accepted work to the node that owns it. */
	void _report_end(const accepted_work &p_accepted, const work_result &p_result);
	void _end_own(std::uint64_t p_id, const work_result &p_result);
	void _pump_soon();
	void _pump();
	/** Reports the end of work in a pool of this node to the owner of the work. */
	void _on_ended(pool_entry &p_entry, const work_result &p_result);
	void _tick();
	void _drop_work_after_stall();
	void _report_used_results(const std::string &p_pool, std::map<std::string, own_result> &r_results);
	void _on_results_reported(const std::string &p_owner, const report_results_message &p_message);
	void _release_results_of_failed();
	void _release_results_of(const std::string &p_vm);
	/** Another process runs under the name of a node: it needs no results of the earlier one, and knows none that were reported to that one. */
	void _on_peer_replaced(const std::string &p_vm);
	void _on_reach_changed(const std::set<std::string> &p_zones);
	void _on_peer_lost(const std::string &p_vm);
	void _on_work_assigned(const std::string &p_vm, const assign_work_message &p_message);

public:
	stage_dispatcher(gateway_context &p_context, configuration_follower &p_configuration, gateway_fleet &p_fleet, endpoint_exchanges &p_endpoints, commitment_table &p_commitments, send_guard &p_guard);

	void start();

	/** Sets the hook that receives requests whose items were lost at a replica. */
	void set_on_run_interrupted(std::function<void(const interrupted_run &)> p_hook) { _on_run_lost = std::move(p_hook); }

	/** Sets the endpoints of all pools. */
	void set_endpoints(const std::vector<endpoint_listing> &p_listings);

	/** Sets the zones whose replicas receive no new calls; calls in progress continue. Takes effect with the next set_endpoints(). */
	void set_evacuated_zones(std::set<std::string> p_zones) { _evacuated_zones = std::move(p_zones); }

	/** Whether a pool has replicas that are not leaving, and all of these are evacuated or outside the home regions of a request. */
	bool has_no_admitted_endpoint(const std::string &p_pool, const home_regions &p_homes) const;

	/** Requests the items of a stage from a pool. The hook is called once unless the work is cancelled. Returns the id of the work. */
	std::uint64_t submit(const std::string &p_pool, stage_work p_work, end_hook p_hook);

	/** Cancels work whose result is no longer needed. */
	void cancel(std::uint64_t p_id);

	/** Notifies the producers that these results are no longer needed. */
	void release(const std::string &p_pool, const std::vector<std::string> &p_handles);

	/** Capacities of the pools that this node dispatches. */
	std::vector<pool_capacity> get_capacities();

	/** Number of works in the pools that this node dispatches. When the node stops, its pools move to others as this work completes. */
	std::size_t get_accepted_count() const;
};

} // namespace calicoscale

#endif // STAGE_DISPATCHER_H
