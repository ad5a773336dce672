/*
 * calicoscale: pool_gate.h
 * The way into one pool: its concurrency limit, queue and budgets for extra work.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef POOL_GATE_H
#define POOL_GATE_H

#include "servers/limits/concurrency_limit.h"
#include "servers/limits/fair_queue.h"
#include "servers/limits/share_budget.h"

namespace calicoscale {

/** How a place in a pool was used. */
enum class place_use {
	SUCCEEDED,
	REFUSED, ///< The pool said it has too much.
	FAILED, ///< Anything else; teaches nothing about load.
};

/** What changed at a gate: who may go in, who has to give up. */
struct gate_changes {
	std::vector<request_id> admitted;
	std::vector<dropped_request> expired; ///< Waited past their start_by.
	std::vector<dropped_request> crowded_out; ///< Had to leave a full queue.
};

/** Guards one pool for this node. */
class pool_gate {
	concurrency_limit _limit;
	fair_queue _queue;
	share_budget _retries;
	share_budget _spare_retries; ///< Further retries while the pool has room to spare.
	share_budget _hedges;
	double _refused_share = 0.0; ///< Faded share of attempts that were refused.
	double _seconds_per_place = 0.0; ///< Faded time a place is held.

	void _fill(instant p_now, gate_changes &r_changes);
	bool _has_spare_room() const;
	void _note_refusal(double p_refused);

public:
	/** @param p_queue_capacity most requests that wait here. */
	explicit pool_gate(std::size_t p_queue_capacity);

	/** Changes the shares of extra work: retries at any time, further ones while there is room to spare, and hedges. */
	void set_shares(double p_retry_share, double p_spare_retry_share, double p_hedge_share);

	/** A request asks for a place. */
	gate_changes enter(const queued_request &p_request, instant p_now);

	/**
	 * A request gives its place back.
	 * @param p_held how long it held it. @param p_relative_latency latency over usual, for SUCCEEDED.
	 */
	gate_changes leave(place_use p_use, duration p_held, double p_relative_latency, instant p_now);

	/** A waiting request gives up, e.g. as its caller has gone. */
	bool abandon(const request_id &p_id) { return _queue.remove(p_id); }

	/** Drops what can no longer make it. */
	gate_changes expire(instant p_now);

	/** Whether a retry may be made now; spends the budget. Never while the pool refuses for overload. */
	bool may_retry(instant p_now);

	/** Whether a hedge may be made now; spends the budget. Never while requests wait. */
	bool may_hedge(instant p_now);

	/** An attempt beyond the first ended in a refusal; counts against retries. */
	void on_attempt_refused() { _note_refusal(1.0); }

	/** Time a newcomer of a customer would likely wait. */
	duration estimate_wait(const std::string &p_customer, double p_weight) const;

	std::size_t get_waiting() const { return _queue.get_size(); }
	int get_in_flight() const { return _limit.get_in_flight(); }
	double get_limit() const { return _limit.get_limit(); }
	double get_refused_share() const { return _refused_share; }
};

} // namespace calicoscale

#endif // POOL_GATE_H
