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
#include "main/gateway/gateway_context.h"
#include "main/gateway/send_guard.h"
#include "servers/gateway/retry_window.h"
#include "servers/gateway/stage_pool.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** What the calls of a pool tell and ask their dispatcher. */
struct pool_caller_hooks {
	std::function<void(const lost_run &)> on_run_lost; ///< A replica ended while it made a request's pieces.
	std::function<void(const work_result &)> on_ended; ///< Work has all its results, or will not have them.
	std::function<bool()> may_call; ///< False while queued work has to wait.
};

/** Sends the calls that a pool's queue decides, takes their answers, and tells makers which results are needed no more. */
class pool_caller {
	/** Handles of results that are needed no more. */
	struct pending_release {
		std::vector<std::string> handles;
		instant since{};
	};

	/** A call at work, as far as versions are concerned. */
	struct sent_run {
		version_run run;
		instant at{};
	};

	gateway_context &_context;
	send_guard &_guard;
	const std::string _name;
	const std::string _service; ///< Of which this is a shard.
	pool_caller_hooks _hooks;
	stage_pool _pool;
	retry_window _repeats;
	std::uint64_t _examined_told = 0; ///< Works, in metrics.
	std::map<std::uint64_t, exchange_id> _exchanges; ///< By call.
	std::map<std::uint64_t, sent_run> _runs; ///< By call.
	std::map<std::string, pending_release> _to_release; ///< By the address of the maker.

	bool _try_repeat(instant p_now);
	void _count_examined();
	std::optional<stage_call> _choose_call(instant p_now);
	void _send(const stage_call &p_call);
	void _on_ended(const stage_call &p_call, channel_end p_end, int p_status, bool p_did_not_run, const std::string &p_body);
	void _end_run(std::uint64_t p_call, call_end p_end, const std::vector<item_result> &p_results);
	void _note_lost(const stage_call &p_call);
	void _note_without_room(const stage_call &p_call, const std::vector<item_result> &p_results);
	void _give_up_overdue();
	/** Sends releases that have waited so long, as far as their makers take them now. */
	void _send_releases(duration p_patience);
	bool _may_release(const std::string &p_maker, instant p_now);
	void _send_release(const std::string &p_maker, const std::vector<std::string> &p_handles);

public:
	pool_caller(gateway_context &p_context, send_guard &p_guard, std::string p_name, pool_caller_hooks p_hooks);
	pool_caller(const pool_caller &) = delete;
	pool_caller &operator=(const pool_caller &) = delete;

	stage_pool &get_pool() { return _pool; }
	const stage_pool &get_pool() const { return _pool; }

	/** Queues work; it is called for with the next pump(). */
	void add(work_id p_id, stage_work p_work);

	/** Sends what may be sent now and tells what has ended. */
	void pump();

	/** Zones that are cut off: what was called for there is called for elsewhere as far as repeats allow. */
	void set_unreached_zones(const std::set<std::string> &p_zones);

	/** Results that nothing needs any more; their makers are told with the next tick. */
	void release(const std::vector<std::string> &p_handles);

	/** Gives up what is overdue and sends what waits. To be called often. */
	void tick();
};

} // namespace calicoscale

#endif // POOL_CALLER_H
