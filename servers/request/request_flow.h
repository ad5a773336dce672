/*
 * calicoscale: request_flow.h
 * One request through its stages.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_FLOW_H
#define REQUEST_FLOW_H

#include "core/digest.h"
#include "servers/request/request_action.h"
#include "servers/request/request_plan.h"
#include "servers/routing/router.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Learnt times of one stage, zero where unknown. */
struct stage_estimate {
	duration usual = duration::zero(); ///< Median.
	duration unloaded = duration::zero(); ///< Without queueing.
	duration slow = duration::zero(); ///< 95th percentile.
	duration slow_first_token = duration::zero(); ///< 95th percentile to the first token.
};

/** What a flow asks of the decisions around it. Each is answered at once and without side effects but its budget's. */
struct flow_hooks {
	std::function<std::optional<endpoint_id>(const choice_request &p_request, instant p_now)> choose;
	std::function<bool(const std::string &p_pool, instant p_now)> may_retry; ///< Spends the retry budget.
	std::function<bool(const std::string &p_pool, instant p_now)> may_hedge; ///< Spends the hedge budget.
	std::function<stage_estimate(const request_plan &p_plan, std::size_t p_stage, instant p_now)> estimate;
	std::function<double()> draw; ///< Uniform in [0, 1), for jitter.
};

/** What an attempt came to. */
struct attempt_end {
	outcome result;
	std::string output; ///< JSON text, for COMPLETED and no stream.
	bool cost_known = false;
	double units = 0.0;
	std::uint32_t token_count = 0; ///< For a stream: tokens of the whole answer.
	std::string digest; ///< For a stream: over all tokens of the answer.
};

/** Counts of what was dropped because it came late, twice or from nowhere. */
struct drop_counts {
	std::uint64_t late_answers = 0;
	std::uint64_t repeated_tokens = 0;
	std::uint64_t token_gaps = 0;
};

/**
 * State machine of one request. Every call hands in the time and returns what to do now, in order. Promises:
 * a stage takes exactly one result; a token is forwarded once and in order; after finish_request nothing is started;
 * an unrepeatable stage gets no further attempt once one may have run; NOT_RUN is told only when every attempt was.
 */
class request_flow {
	struct open_attempt {
		attempt_id id;
		attempt_id settle_id; ///< Where a stream was resumed: the attempt that began it.
		endpoint_id endpoint = 0;
		instant started{};
		instant give_up_at{};
		instant last_progress{};
		bool is_hedge = false;
		bool streamed = false; ///< At least one token came.
		stream_start start = stream_start::FRESH;
	};

	struct known_cost {
		std::size_t stage;
		std::uint32_t attempt;
		double units;
	};

	enum class phase {
		NEW,
		WAITING, ///< For a place in the stage's pool.
		RUNNING,
		BACKING_OFF,
		FINISHED,
	};

	request_plan _plan;
	flow_hooks _hooks;
	phase _phase = phase::NEW;
	std::size_t _stage = 0;
	std::string _previous; ///< Result of the stage before.
	std::vector<open_attempt> _open;
	std::vector<endpoint_id> _tried;
	std::vector<known_cost> _costs; ///< Of stages that succeeded; their use is known at the end.
	std::vector<stage_report> _reports;
	verdict_tally _tally;
	drop_counts _drops;
	stage_estimate _estimate;
	std::vector<std::string> _tokens; ///< Of the current stage.
	stream_digest _digest;
	std::uint32_t _attempts = 0; ///< In the current stage.
	std::uint32_t _retries = 0;
	endpoint_id _resume_endpoint = 0; ///< Where a broken stream may be resumed.
	attempt_id _resume_of;
	bool _resume_tried = false;
	bool _has_hedged = false;
	bool _holds_place = false;
	bool _stage_may_have_run = false;
	bool _asks_again = false; ///< Backing off without a place; asks for one when the wait is over.
	std::uint32_t _requeues = 0;
	std::uint32_t _attempts_of_refused = 0; ///< Attempts before the last return to the queue; they ran nothing or were counted.
	instant _stage_started{};
	instant _place_given{};
	instant _retry_at{};
	outcome _last_failure;

	using actions = std::vector<request_action>;

	const stage_plan &_current() const { return _plan.stages[_stage]; }
	bool _is_last_stage() const { return _stage + 1 == _plan.stages.size(); }
	bool _is_stream() const { return _current().kind == stage_kind::GENERATE; }
	duration _get_later_need(instant p_now) const;
	instant _get_stage_end(instant p_now) const;
	instant _get_give_up(instant p_now) const;
	instant _get_stall_end(const open_attempt &p_attempt) const;
	open_attempt *_find_open(const attempt_id &p_id);
	void _begin_stage(instant p_now, actions &r_actions);
	void _ask_place(instant p_now, actions &r_actions);
	void _launch(instant p_now, bool p_is_hedge, actions &r_actions);
	std::optional<endpoint_id> _choose(instant p_now) const;
	void _arm_timer(instant p_now, actions &r_actions) const;
	void _drop_open(const attempt_id &p_id);
	void _cancel_others(const attempt_id &p_winner, actions &r_actions);
	void _fail_attempt(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now, actions &r_actions);
	void _settle_failed(const open_attempt &p_attempt, const attempt_end &p_end, bool p_goes_on, actions &r_actions) const;
	bool _may_try_again(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now);
	void _plan_retry(const attempt_end &p_end, instant p_now, actions &r_actions);
	bool _may_queue_again(const attempt_end &p_end, instant p_now);
	void _queue_again(instant p_now, actions &r_actions);
	void _complete_stage(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now, actions &r_actions);
	bool _is_stream_whole(const attempt_end &p_end) const;
	void _finish(const outcome &p_result, instant p_now, actions &r_actions);
	void _finish_completed(actions &r_actions);
	void _give_up(reason p_reason, instant p_now, actions &r_actions);
	cost_use _get_waste_use(reason p_reason) const;
	void _maybe_hedge(instant p_now, actions &r_actions);

public:
	request_flow(request_plan p_plan, flow_hooks p_hooks);

	/** Begins. Past its deadline it ends at once, NOT_RUN. */
	actions start(instant p_now);

	/** A place asked for was given. */
	actions on_place_given(instant p_now);

	/** A place asked for will not be given. */
	actions on_place_denied(reason p_reason, instant p_now);

	/** An attempt ended, complete or not. One that is not open is dropped and counted. */
	actions on_attempt_ended(const attempt_id &p_id, const attempt_end &p_end, instant p_now);

	/** A token came. Tokens out of order are never forwarded. */
	actions on_token(const attempt_id &p_id, std::uint32_t p_offset, const std::string &p_token, instant p_now);

	/** The time asked for by wake_at has come. Early and late calls do no harm. */
	actions on_wake(instant p_now);

	/** The caller has gone; everything is cancelled. */
	actions on_caller_gone(instant p_now);

	bool is_finished() const { return _phase == phase::FINISHED; }
	const request_plan &get_plan() const { return _plan; }
	std::size_t get_stage() const { return _stage; }

	/** Result of the stage before the current one; JSON text, empty for the first. */
	const std::string &get_previous() const { return _previous; }

	/** Tokens of the current stage so far. */
	const std::vector<std::string> &get_tokens() const { return _tokens; }

	const drop_counts &get_drops() const { return _drops; }

	/** Attempts that are open now. */
	std::size_t get_open_count() const { return _open.size(); }
};

} // namespace calicoscale

#endif // REQUEST_FLOW_H
