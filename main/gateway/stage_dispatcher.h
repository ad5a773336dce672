/*
 * calicoscale: stage_dispatcher.h
 * Hands stage work to the node that dispatches its pool, and dispatches the pools that are this node's.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_DISPATCHER_H
#define STAGE_DISPATCHER_H

#include "main/gateway/gateway_fleet.h"
#include "main/gateway/pool_caller.h"
#include "servers/gateway/dispatch_choice.h"
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
 * One live node dispatches each pool, chosen by hashing names, so that pieces of all nodes share calls. Nothing is
 * agreed on: while views differ two nodes may dispatch the same pool, which costs some fill and breaks nothing. Work
 * handed to a node that falls silent is handed to another; pieces may be made again.
 */
class stage_dispatcher {
	using end_hook = std::function<void(const work_result &)>;

	/** Work of a request of this node. */
	struct own_work {
		std::string pool; ///< Name of its shard, as of all pools here but where it says otherwise.
		stage_work work;
		std::string node; ///< Who dispatches it; empty while there is no link to that node.
		end_hook hook;
		instant waits_since{}; ///< For a link.
	};

	/** Work in a pool of this node. */
	struct accepted_work {
		std::string node; ///< Whose it is; empty for this node's own.
		std::uint64_t id = 0; ///< As its owner gave it.
	};

	struct pool_entry {
		pool_entry(gateway_context &p_context, send_guard &p_guard, const std::string &p_name, pool_caller_hooks p_hooks) :
				calls(p_context, p_guard, p_name, std::move(p_hooks)) {}

		pool_caller calls;
		std::unordered_map<work_id, accepted_work> accepted;
		std::map<std::pair<std::string, std::uint64_t>, work_id> by_owner;
	};

	/** A result that a request of this node uses. */
	struct own_result {
		std::size_t bytes = 0;
		std::string told_to; ///< The node that knows of it.
		std::uint64_t incarnation = 0; ///< Of the replica that made it; 0 when it is not known.
	};

	gateway_context &_context;
	configuration_follower &_configuration;
	gateway_fleet &_fleet;
	commitment_table &_commitments;
	std::map<std::uint64_t, own_work> _own;
	std::map<std::string, pool_entry> _pools;
	std::map<std::string, std::map<std::string, own_result>> _held; ///< By pool and handle.
	std::map<std::string, instant> _lost_at; ///< Nodes lost, whose results are not released yet.
	std::uint64_t _next_own = 1;
	work_id _next_accepted = 1;
	timer _tick_timer;
	send_guard &_guard;
	instant _ticked_at{};
	instant _untold_since{}; ///< Since when this node waits to be told who dispatches.
	bool _pump_posted = false;
	std::function<void(const lost_run &)> _on_run_lost;
	std::set<std::string> _evacuated_zones;
	std::map<std::string, std::vector<endpoint_listing>> _staying; ///< Endpoints that do not leave, by pool, not by shard.

	pool_entry &_get_pool(const std::string &p_name);
	/** Number of shards of a pool, by its replicas. */
	std::size_t _count_shards(const std::string &p_pool) const;
	std::vector<std::string> _get_shard_names(const std::string &p_pool) const;
	/** Replicas of a shard that may get calls. */
	std::vector<endpoint_listing> _get_replicas(const std::string &p_name) const;
	void _take_replicas(const std::string &p_name, pool_entry &r_entry);
	/** Shard whose dispatcher knows a result that this node holds. */
	std::string _take_held(const std::string &p_pool, const std::string &p_handle);
	dispatch_view _get_view() const;
	/** Notes since when this node knows nobody that dispatches. */
	void _note_told(const dispatch_view &p_view, instant p_now);
	std::string _choose_node(const std::string &p_pool) const;
	void _assign(std::uint64_t p_id, const std::string &p_except);
	hand_work_message _make_hand_over(std::uint64_t p_id, const own_work &p_own) const;
	void _assign_waiting();
	void _keep_links();
	void _log_asked(const own_work &p_own);
	void _accept(const std::string &p_pool, const std::string &p_node, std::uint64_t p_id, stage_work p_work);
	void _cancel_accepted(pool_entry &p_entry, const std::string &p_node, std::uint64_t p_id);
	void _on_handed_work_ended(const std::string &p_vm, const work_ended_message &p_message);

	/**
	 * Cancels work that another node handed over, and tells that node. An owner that has not noticed this node's silence would
	 * wait for it until the request's time is over: both stood still for 0.65 s, and three of six requests ended so.
	 */
	void _drop_accepted(pool_entry &p_entry, const std::string &p_node, std::uint64_t p_id);
	void _end_own(std::uint64_t p_id, const work_result &p_result);
	void _pump_soon();
	void _pump();
	/** Work in a pool of this node ended: tells its owner. */
	void _on_ended(pool_entry &p_entry, const work_result &p_result);
	void _tick();
	void _forget_after_pause();
	void _tell_held(const std::string &p_pool, std::map<std::string, own_result> &r_held);
	void _on_results_told(const std::string &p_owner, const tell_results_message &p_message);
	void _release_of_lost();
	void _on_reach_changed(const std::set<std::string> &p_zones);
	void _on_peer_lost(const std::string &p_vm);
	void _on_work_handed(const std::string &p_vm, const hand_work_message &p_message);

public:
	stage_dispatcher(gateway_context &p_context, configuration_follower &p_configuration, gateway_fleet &p_fleet, commitment_table &p_commitments, send_guard &p_guard);

	void start();

	/** Sets what is told of requests whose pieces were lost at a replica. */
	void set_on_run_lost(std::function<void(const lost_run &)> p_hook) { _on_run_lost = std::move(p_hook); }

	/** Takes the endpoints of all pools. */
	void set_endpoints(const std::vector<endpoint_listing> &p_listings);

	/** Zones whose replicas get no calls from now on; calls at work there go on. In force with the next list of endpoints. */
	void set_evacuated_zones(std::set<std::string> p_zones) { _evacuated_zones = std::move(p_zones); }

	/** Whether a pool has replicas that stay, and all of them are evacuated or outside the homes of a request. */
	bool is_closed_off(const std::string &p_pool, const home_regions &p_homes) const;

	/** Asks for the pieces of a stage of a pool. The hook is called once unless the work is cancelled. */
	std::uint64_t submit(const std::string &p_pool, stage_work p_work, end_hook p_hook);

	/** Nobody waits for the work any more. */
	void cancel(std::uint64_t p_id);

	/** Tells the makers that these results are needed no more. */
	void release(const std::string &p_pool, const std::vector<std::string> &p_handles);

	/** Capacities of the pools that this node dispatches. */
	std::vector<pool_capacity> get_capacities();

	/** This node stops: its pools pass to others as their work ends. */
	std::size_t get_accepted_count() const;
};

} // namespace calicoscale

#endif // STAGE_DISPATCHER_H
