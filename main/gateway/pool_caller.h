/*
 * calicoscale: pool_caller.h
 * Calls the replicas of one stage pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef POOL_CALLER_H
#define POOL_CALLER_H

#include "main/gateway/crash_watch.h"
#include "main/gateway/endpoint_exchanges.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/send_guard.h"
#include "servers/gateway/retry_budget.h"
#include "servers/gateway/stage_pool.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** Hooks through which a pool caller notifies and queries its dispatcher. */
struct pool_caller_hooks {
	std::function<void(const interrupted_run &)> on_run_interrupted; ///< A replica failed while it ran items of a request.
	std::function<void(const work_result &)> on_ended; ///< Work has all its results, or cannot get them any more.
	std::function<bool()> may_call; ///< Returns false while queued work must wait.
};

/** Sends the calls chosen by a pool's queue, processes their answers, and notifies producers of results that are no longer needed. */
class pool_caller {
	/** Handles of results that are no longer needed and must be released at their producer. */
	struct pending_release {
		std::vector<std::string> handles;
		instant since{};
	};

	/** A call in progress, as counted for the roll-out of versions. */
	struct sent_run {
		version_run run;
		instant at{};
	};

	gateway_context &_context;
	endpoint_exchanges &_endpoints;
	send_guard &_guard;
	const std::string _name;
	const std::string _service; ///< Name of the pool of which this is a shard.
	pool_caller_hooks _hooks;
	stage_pool _pool;
	retry_budget _repeats;
	std::uint64_t _examined_reported = 0; ///< Number of examined works already added to the metrics.
	std::map<std::uint64_t, exchange_id> _exchanges; ///< By call.
	std::map<std::uint64_t, sent_run> _runs; ///< By call.
	std::map<std::string, pending_release> _to_release; ///< Pending releases, by the address of the producer.

	bool _try_repeat(instant p_now);
	void _count_examined();
	std::optional<stage_call> _choose_call(instant p_now);
	void _send(const stage_call &p_call);
	void _on_ended(const stage_call &p_call, channel_end p_end, int p_status, const endpoint_answer &p_answer, const std::string &p_body);
	void _end_run(std::uint64_t p_call, call_end p_end, const std::vector<item_result> &p_results);
	void _report_interrupted_runs(const stage_call &p_call);
	void _record_without_capacity(const stage_call &p_call, const std::vector<item_result> &p_results);
	void _give_up_overdue();
	/** Sends releases that have waited for at least p_min_age, if their producers accept them now. */
	void _send_releases(duration p_min_age);
	bool _may_release(const std::string &p_producer, instant p_now);
	void _send_release(const std::string &p_producer, const std::vector<std::string> &p_handles);

public:
	pool_caller(gateway_context &p_context, endpoint_exchanges &p_endpoints, send_guard &p_guard, std::string p_name, pool_caller_hooks p_hooks);
	pool_caller(const pool_caller &) = delete;
	pool_caller &operator=(const pool_caller &) = delete;

	stage_pool &get_pool() { return _pool; }
	const stage_pool &get_pool() const { return _pool; }

	/** Queues work. The next pump() may send calls for it. */
	void add(work_id p_id, stage_work p_work);

	/** Sends the calls that may be sent now and reports completed work. */
	void pump();

	/** Sets the unreachable zones. Items in calls to these zones are called for elsewhere, within the limits for repeats. */
	void set_unreachable_zones(const std::set<std::string> &p_zones);

	/** Sets the part of the slack for repeats that this pool may use, from 0 to 1. */
	void set_slack_part(double p_part) { _repeats.set_part(p_part, event_loop::now()); }

	/** Releases results that are no longer needed. Their producers are notified by later ticks. */
	void release(const std::vector<std::string> &p_handles);

	/** Gives up overdue calls and sends waiting ones. Must be called often. */
	void tick();
};

} // namespace calicoscale

#endif // POOL_CALLER_H
