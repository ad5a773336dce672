/*
 * calicoscale: stage_pool.h
 * Shares the calls of one stage pool among the requests of all nodes.
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
#include "servers/gateway/result_room.h"
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
 * Queue of one stage pool and the standing of its replicas. A call goes out the moment a replica is free, so that work
 * that waits fills the next call. Orders by time left until the stage is due, corrected by priority; work that cannot be
 * in time any more goes behind what can. Told the time with each call.
 */
class stage_pool {
	enum class piece_state {
		WAITING,
		RUNNING,
		DONE,
	};

	struct queued_work {
		stage_work work;
		std::vector<piece_state> states;
		std::vector<int> tries;
		std::vector<std::string> handles;
		std::vector<endpoint_identity> makers; ///< Of the handles.
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
		double room_used = 0.0; ///< At its replica, when it was sent.
		double told_pace = 1.0; ///< What its replica had told by then.
	};

	using pieces_ahead = std::map<std::string, std::size_t>; ///< Pieces before a work in the queue, by zone; all under "".

	mechanism_set _mechanisms;
	stage_pool_spec _spec;
	std::map<endpoint_identity, stage_replica> _replicas;
	std::map<std::string, std::size_t> _replica_counts; ///< Replicas that may get work, by zone; all under "".
	std::set<std::string> _unreached_zones;
	std::map<std::string, std::string> _regions; ///< Of each availability zone.
	std::function<bool(const endpoint_identity &, instant)> _limit;
	std::map<work_id, queued_work> _works;
	std::map<std::uint64_t, running_call> _calls;
	result_room _room;
	std::vector<work_result> _ended;
	std::set<std::string> _unwanted; ///< Results nobody waits for.
	std::uint64_t _next_call = 1;
	std::size_t _waiting_pieces = 0;
	std::optional<instant> _vain_since; ///< A search of all works found no call, and nothing but new work came since.
	std::vector<work_id> _new_works; ///< Since that search.
	std::uint64_t _examined = 0;
	pool_meter _meter;

	duration _get_urgency(const queued_work &p_work, instant p_now) const;
	/** Works with waiting pieces, the most urgent first. */
	std::vector<work_id> _order_works(instant p_now) const;
	/** Those for which a call may be found now. */
	std::vector<work_id> _get_works_to_search(instant p_now) const;
	/** What a search depends on has changed for all works. */
	void _search_all_again();
	duration _get_time_ahead(const pieces_ahead &p_ahead, const std::string &p_zone, std::size_t p_replicas) const;
	std::size_t _count_replicas(const std::string &p_zone) const;
	double _get_slowness(const stage_replica &p_replica, instant p_now) const;
	duration _get_zone_penalty(const queued_work &p_work, const std::string &p_zone, instant p_now) const;
	call_candidates _get_candidates(duration p_expected, instant p_now);
	stage_replica *_choose_replica(const queued_work &p_work, const call_candidates &p_candidates, const pieces_ahead &p_ahead, instant p_now) const;
	duration _get_expected(std::size_t p_items) const;
	void _forget_unlisted();
	void _forget_replaced();
	void _make_lost_again(const endpoint_identity &p_maker);
	bool _is_any_free(instant p_now) const;
	bool _is_reached(const stage_replica &p_replica) const;
	bool _may_send(const stage_replica &p_replica, instant p_now) const;
	bool _is_home(const queued_work &p_work, const std::string &p_zone) const;
	void _make_again(running_call &r_call, const std::function<bool()> &p_may_repeat);
	double _get_room(const stage_replica &p_replica, instant p_now) const;
	void _learn_room(const running_call &p_call, const std::vector<item_result> &p_items, instant p_now);
	void _fill(stage_call &r_call, stage_replica &p_replica, const call_candidates &p_candidates, instant p_now);
	void _end(work_id p_id, work_end p_end);
	void _put_back(const stage_item &p_item, bool p_counts);
	void _take_item(const stage_item &p_item, const item_result &p_result, stage_replica *p_replica, instant p_now);
	void _block(stage_replica &p_replica, duration p_time, instant p_now);
	double _get_nominal_capacity(instant p_now) const;
	void _learn_time(stage_replica &p_replica, const running_call &p_call, instant p_now);

public:
	explicit stage_pool(const mechanism_set &p_mechanisms = {}) :
			_mechanisms(p_mechanisms) {}

	/** Takes the pool's properties. */
	void set_spec(const stage_pool_spec &p_spec);

	/**
	 * Takes the pool's replicas that may get work; others get none from now on. Of a replica that started again nothing is
	 * kept: what it had made for work that still waits is made again.
	 */
	void set_replicas(const std::vector<endpoint_listing> &p_replicas);

	/** Sets the region of each availability zone, for work that may not leave its homes. */
	void set_regions(std::map<std::string, std::string> p_regions) { _regions = std::move(p_regions); }

	/** Sets what bounds the calls to each replica; empty for no bound. */
	void set_limit(std::function<bool(const endpoint_identity &, instant)> p_limit) { _limit = std::move(p_limit); }

	/**
	 * Takes the zones that are cut off: their replicas get calls only when no other is left, and what they were asked for
	 * is made elsewhere at once. An answer that comes all the same counts.
	 * @param p_may_repeat takes the right to repeat a call.
	 */
	void set_unreached_zones(const std::set<std::string> &p_zones, const std::function<bool()> &p_may_repeat);

	/** Queues work under an id that the caller made. */
	void add(work_id p_id, stage_work p_work, instant p_now);

	/** Nobody waits for the work any more. */
	void cancel(work_id p_id);

	/** Next call to send now, if any. */
	std::optional<stage_call> next_call(instant p_now);

	/** A call ended. @param p_items one for each piece when it was answered. */
	void on_call_ended(std::uint64_t p_call, call_end p_end, const std::vector<item_result> &p_items, instant p_now);

	/** A replica told how much longer than usual work takes there right now. */
	void on_pace_told(const endpoint_identity &p_replica, double p_factor, instant p_now);

	/** Results were handed to a node, which releases them or is lost with them. */
	void set_owner(const std::vector<std::string> &p_handles, const std::string &p_owner) { _room.set_owner(p_handles, p_owner); }

	/** A node tells what it holds of results that were made before this pool was dispatched here. */
	void on_results_told(const std::string &p_owner, const std::vector<held_result> &p_results, instant p_now);

	/** Handles of the results that a node holds, which was lost; they are still to be released. */
	std::vector<std::string> get_results_of(const std::string &p_owner) const { return _room.get_results_of(p_owner); }

	/** Results were released, or their makers told to. */
	void on_released(const std::vector<std::string> &p_handles);

	/**
	 * Lets time pass: ends work that is late and makes pieces anew whose call is far over its time or at a replica that
	 * started again.
	 * @param p_may_repeat takes the right to repeat a call.
	 */
	void tick(const std::function<bool()> &p_may_repeat, instant p_now);

	/** Calls whose answer is not to be expected any more; the caller closes their connections and ends them. */
	std::vector<std::uint64_t> get_overdue(instant p_now) const;

	/** Hands out work that ended since the last call. */
	std::vector<work_result> take_ended();

	/** Hands out results that nobody waits for, to be released. */
	std::vector<std::string> take_unwanted();

	/**
	 * What the replicas that may get work are worth, in usual ones whose calls are full. While work waits it is what
	 * they were seen to do: calls that are not full, lack of room and slow replicas all show there.
	 */
	double get_capacity(instant p_now) const;

	/** Works that searches for a call have looked at so far. */
	std::uint64_t get_examined() const { return _examined; }

	/** Pieces that a call may carry. */
	std::size_t get_batch() const { return _spec.batch; }
	const stage_work *find_work(work_id p_id) const;
	std::size_t get_waiting_pieces() const { return _waiting_pieces; }
	std::size_t get_work_count() const { return _works.size(); }
};

} // namespace calicoscale

#endif // STAGE_POOL_H
