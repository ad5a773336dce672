/*
 * calicoscale: stage_pool.h
 * Queues the work of one stage pool for all nodes and assigns it to replicas in batched calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_POOL_H
#define STAGE_POOL_H

#include "servers/gateway/call_candidates.h"
#include "servers/gateway/gateway_configuration.h"
#include "servers/gateway/mechanism.h"
#include "servers/gateway/pool_meter.h"
#include "servers/gateway/result_capacity.h"
#include "servers/gateway/stage_call.h"
#include "servers/gateway/stage_replica.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Queue of one stage pool and the state of its replicas. A call is sent as soon as a replica is free; work that arrives
 * meanwhile is batched into the next call. Work is ordered by the time left until its stage is due, adjusted by priority.
 * Work that can no longer meet its due time is placed after work that still can. The caller passes the current time.
 *
 * A work is one stage of one request (stage_work). Its items are computed independently, possibly in different calls, and
 * the result of each is stored at the replica that computed it (its producer), known by a handle.
 */
class stage_pool {
	enum class item_state {
		WAITING,
		RUNNING,
		DONE,
	};

	struct queued_work {
		stage_work work;
		std::vector<item_state> states;
		std::vector<int> tries;
		std::vector<std::string> handles;
		std::vector<endpoint_identity> producers; ///< Replicas that store the results, by item.
		std::size_t waiting = 0;
		std::size_t missing = 0;
		instant queued_at{};
	};

	struct running_call {
		endpoint_identity replica;
		std::vector<stage_item> items;
		instant started_at{};
		duration expected = duration::zero();
		bool repeated = false;
		double used_bytes = 0.0; ///< Memory of known results at the replica when the call was sent.
		double reported_slowdown = 1.0; ///< Slowdown factor that the replica had reported when the call was sent.
	};

	using items_ahead = std::map<std::string, std::size_t>; ///< Number of items before a work in the queue, by zone; the total under "".

	mechanism_set _mechanisms;
	stage_pool_spec _spec;
	std::map<endpoint_identity, stage_replica> _replicas;
	std::map<std::string, std::size_t> _replica_counts; ///< Number of listed replicas, by zone; the total under "".
	std::set<std::string> _unreachable_zones;
	std::map<std::string, std::string> _regions; ///< Region of each availability zone.
	std::function<bool(const endpoint_identity &, instant)> _limit;
	std::map<work_id, queued_work> _works;
	std::map<std::uint64_t, running_call> _calls;
	result_capacity _result_capacity;
	std::vector<work_result> _ended;
	std::set<std::string> _unwanted; ///< Handles of results that no work needs; to be released.
	std::uint64_t _next_call = 1;
	std::size_t _waiting_items = 0;
	std::optional<instant> _fruitless_since; ///< Time of a search of all works that found no call, while only new work has been added since.
	std::vector<work_id> _new_works; ///< Works added since that search.
	std::uint64_t _examined = 0;
	pool_meter _meter;

	duration _get_urgency(const queued_work &p_work, instant p_now) const;
	/** Returns the works with waiting items, the most urgent first. */
	std::vector<work_id> _order_works(instant p_now) const;
	/** Returns the works for which a call may be found now: only new ones after a fruitless search. */
	std::vector<work_id> _get_works_to_search(instant p_now) const;
	/** Makes the next search consider all works, because a condition changed that concerns all of them. */
	void _reset_search();
	duration _get_time_ahead(const items_ahead &p_ahead, const std::string &p_zone, std::size_t p_replicas) const;
	std::size_t _count_replicas(const std::string &p_zone) const;
	double _get_slowness(const stage_replica &p_replica, instant p_now) const;
	duration _get_zone_penalty(const queued_work &p_work, const std::string &p_zone, instant p_now) const;
	call_candidates _get_candidates(duration p_expected, instant p_now);
	stage_replica *_choose_replica(const queued_work &p_work, const call_candidates &p_candidates, const items_ahead &p_ahead, instant p_now) const;
	duration _get_expected(std::size_t p_items) const;
	void _remove_unlisted();
	void _handle_replaced();
	void _requeue_lost_items(const endpoint_identity &p_producer);
	bool _is_any_free(instant p_now) const;
	bool _is_reachable(const stage_replica &p_replica) const;
	bool _may_send(const stage_replica &p_replica, instant p_now) const;
	bool _may_run_in(const queued_work &p_work, const std::string &p_zone) const;
	void _repeat_call(running_call &r_call, const std::function<bool()> &p_may_repeat);
	double _get_free_bytes(const stage_replica &p_replica, instant p_now) const;
	void _estimate_unknown_usage(const running_call &p_call, const std::vector<item_result> &p_items, instant p_now);
	void _fill(stage_call &r_call, stage_replica &p_replica, const call_candidates &p_candidates, instant p_now);
	void _end(work_id p_id, work_end p_end);
	void _requeue(const stage_item &p_item, bool p_counts);
	void _apply_item(const stage_item &p_item, const item_result &p_result, stage_replica *p_replica, instant p_now);
	void _block(stage_replica &p_replica, duration p_time, instant p_now);
	double _get_nominal_capacity(instant p_now) const;
	void _update_slowdown(stage_replica &p_replica, const running_call &p_call, instant p_now);

public:
	explicit stage_pool(const mechanism_set &p_mechanisms = {}) :
			_mechanisms(p_mechanisms) {}

	/** Sets the properties of the pool. */
	void set_spec(const stage_pool_spec &p_spec);

	/**
	 * Sets the replicas that may get work; others get none from now on. The results of a replica that restarted are lost:
	 * those that unfinished work needs are computed again.
	 */
	void set_replicas(const std::vector<endpoint_listing> &p_replicas);

	/** Sets the region of each availability zone, for work that may not leave its homes. */
	void set_regions(std::map<std::string, std::string> p_regions) { _regions = std::move(p_regions); }

	/** Sets the predicate that tells whether a replica may get a call now; empty for no limit. */
	void set_limit(std::function<bool(const endpoint_identity &, instant)> p_limit) { _limit = std::move(p_limit); }

	/**
	 * Sets the zones that are unreachable: their replicas get calls only when no others are listed, and the items of their
	 * open calls are queued again at once. An answer that arrives nevertheless is used.
	 * @param p_may_repeat reserves permission to repeat a call; false when the limit on repeats is reached.
	 */
	void set_unreachable_zones(const std::set<std::string> &p_zones, const std::function<bool()> &p_may_repeat);

	/** Queues work under an id that the caller assigned. */
	void add(work_id p_id, stage_work p_work, instant p_now);

	/** Removes work that is no longer needed, and marks its results for release. */
	void cancel(work_id p_id);

	/** Returns the next call to send now, if any, and counts it as running. */
	std::optional<stage_call> next_call(instant p_now);

	/** Applies the outcome of a call. @param p_items one result for each item when the call was answered. */
	void on_call_ended(std::uint64_t p_call, call_end p_end, const std::vector<item_result> &p_items, instant p_now);

	/** Records the slowdown factor that a replica reported: how much longer than typical work takes there at present. */
	void on_load_reported(const endpoint_identity &p_replica, double p_factor, instant p_now);

	/** Records that a node owns the results: it releases them, and if it fails, get_results_of() names them. */
	void set_owner(const std::vector<std::string> &p_handles, const std::string &p_owner) { _result_capacity.set_owner(p_handles, p_owner); }

	/** Records results that a node reports as its own, produced before this node became the dispatcher of the pool. */
	void on_results_reported(const std::string &p_owner, const std::vector<owned_result> &p_results, instant p_now);

	/** Returns the handles of the results that a failed node owns; they are still to be released. */
	std::vector<std::string> get_results_of(const std::string &p_owner) const { return _result_capacity.get_results_of(p_owner); }

	/** Frees the capacity of results that were released, or whose producers were requested to release them. */
	void on_released(const std::vector<std::string> &p_handles);

	/**
	 * Ends work whose deadline has passed, and queues items again whose call takes far longer than expected or was sent to
	 * a replica that restarted since.
	 * @param p_may_repeat reserves permission to repeat a call; false when the limit on repeats is reached.
	 */
	void tick(const std::function<bool()> &p_may_repeat, instant p_now);

	/** Returns the calls whose answer is no longer expected; the caller closes their connections and reports them as ended. */
	std::vector<std::uint64_t> get_overdue(instant p_now) const;

	/** Returns the work that ended since the last call of this function. */
	std::vector<work_result> take_ended();

	/** Returns the handles of results that no work needs, to be released. */
	std::vector<std::string> take_unneeded_results();

	/**
	 * Returns the capacity of the pool in typical replicas that run full calls. While work waits, the measured throughput
	 * bounds it, which accounts for partly filled calls, lack of memory for results and slow replicas.
	 */
	double get_capacity(instant p_now) const;

	/** Returns the number of works that searches for a call have examined so far. */
	std::uint64_t get_examined() const { return _examined; }

	/** Returns the maximum number of items in a call. */
	std::size_t get_batch() const { return _spec.batch; }
	const stage_work *find_work(work_id p_id) const;
	std::size_t get_waiting_items() const { return _waiting_items; }
	std::size_t get_work_count() const { return _works.size(); }
};

} // namespace calicoscale

#endif // STAGE_POOL_H
