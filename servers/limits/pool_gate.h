/*
 * calicoscale: pool_gate.h
 * Admission to one pool: concurrency limit, queue and budgets for retries and hedges.
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

/** Outcome of an attempt that used a slot of a pool. */
enum class slot_outcome {
	SUCCEEDED,
	REFUSED, ///< The pool refused the attempt because of overload.
	FAILED, ///< Any other end; says nothing about load.
};

/** Changes at a gate that its caller has to act on: requests that were granted a slot, and requests that were dropped. */
struct gate_changes {
	std::vector<request_id> admitted;
	std::vector<dropped_request> expired; ///< Dropped, because they waited past their start_by.
	std::vector<dropped_request> evicted_requests; ///< Dropped from a full queue.
};

/** Limits this node's concurrency at one pool, queues the requests above the limit and limits retries and hedges. */
class pool_gate {
	concurrency_limit _limit;
	fair_queue _queue;
	share_budget _retries;
	share_budget _spare_retries; ///< Additional retries while the pool has spare capacity.
	share_budget _hedges;
	double _refused_share = 0.0; ///< Moving average of the share of refused attempts.
	double _seconds_per_slot = 0.0; ///< Moving average of the time for which a slot is held.

	void _fill(instant p_now, gate_changes &r_changes);
	bool _has_spare_capacity() const;
	void _record_refusal(double p_sample);

public:
	/** @param p_queue_capacity maximum number of queued requests. */
	explicit pool_gate(std::size_t p_queue_capacity);

	/** Sets the shares of extra attempts per success: retries, additional retries while there is spare capacity, and hedges. */
	void set_shares(double p_retry_share, double p_spare_retry_share, double p_hedge_share);

	/** Queues a request for a slot; it may be granted at once. */
	gate_changes enter(const queued_request &p_request, instant p_now);

	/**
	 * Releases a request's slot.
	 * @param p_held_time time for which it was held.
	 * @param p_relative_latency latency divided by the typical one; used for SUCCEEDED.
	 */
	gate_changes leave(slot_outcome p_use, duration p_held_time, double p_relative_latency, instant p_now);

	/** Removes a waiting request, e.g. because its caller disconnected. Returns whether it was waiting. */
	bool abandon(const request_id &p_id) { return _queue.remove(p_id); }

	/** Drops waiting requests that are past their start_by. */
	gate_changes expire(instant p_now);

	/** Returns whether a retry may be sent now and uses the budget. Always false while the pool refuses because of overload. */
	bool may_retry(instant p_now);

	/** Returns whether a hedge may be sent now and uses the budget. Always false while requests wait or the pool is overloaded. */
	bool may_hedge(instant p_now);

	/** Records the refusal of an attempt after the first one; it raises the share of refusals that blocks retries. */
	void on_attempt_refused() { _record_refusal(1.0); }

	/** Estimates how long a new request of a customer would wait. */
	duration estimate_wait(const std::string &p_customer, double p_weight) const;

	std::size_t get_waiting() const { return _queue.get_size(); }
	int get_in_flight() const { return _limit.get_in_flight(); }
	double get_limit() const { return _limit.get_limit(); }
	double get_refused_share() const { return _refused_share; }
};

} // namespace calicoscale

#endif // POOL_GATE_H
