/*
 * calicoscale: request_flow.h
 * State machine that takes one request through its stages.
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

/** Estimated times of one stage; zero if unknown. */
struct stage_estimate {
	duration typical = duration::zero(); ///< Median.
	duration unloaded = duration::zero(); ///< Time without queueing.
	duration slow = duration::zero(); ///< 95th percentile.
	duration slow_first_token = duration::zero(); ///< 95th percentile to the first token.
};

/** Functions through which a flow queries routing, budgets and estimates. They have no side effects except on budgets. */
struct flow_hooks {
	std::function<std::optional<endpoint_id>(const choice_request &p_request, instant p_now)> choose;
	std::function<bool(const std::string &p_pool, instant p_now)> may_retry; ///< Uses the retry budget if it returns true.
	std::function<bool(const std::string &p_pool, instant p_now)> may_hedge; ///< Uses the hedge budget if it returns true.
	std::function<stage_estimate(const request_plan &p_plan, std::size_t p_stage, instant p_now)> estimate;
	std::function<double()> draw; ///< Uniform in [0, 1), for jitter.
};

/** Result of an attempt. */
struct attempt_end {
	outcome result;
	std::string output; ///< JSON text; for COMPLETED attempts without a stream.
	bool cost_known = false;
	double units = 0.0;
	std::uint32_t token_count = 0; ///< For a stream: number of tokens of the complete answer.
	std::string digest; ///< For a stream: digest of all tokens of the answer.
};

/** Counts of dropped answers and tokens: late, repeated, or after a gap. */
struct drop_counts {
	std::uint64_t late_answers = 0;
	std::uint64_t repeated_tokens = 0;
	std::uint64_t token_gaps = 0;
};

/**
 * State machine of one request. The caller passes the current time; every call returns the actions to carry out, in order.
 * Guarantees: a stage accepts exactly one result; a token is forwarded once and in order; nothing is started after
 * finish_request; an unrepeatable stage gets no new execution once an attempt may have run; the result is NOT_RUN only if
 * no attempt ran.
 */
class request_flow {
	struct open_attempt {
		attempt_id id;
		attempt_id settle_id; ///< For a resumed stream: the attempt that started it; otherwise id.
		endpoint_id endpoint = 0;
		instant started{};
		instant give_up_at{};
		instant last_progress{};
		bool is_hedge = false;
		bool streamed = false; ///< At least one token was received.
		stream_start start = stream_start::FRESH;
	};

	struct known_cost {
		std::size_t stage;
		std::uint32_t attempt;
		double units;
	};

	enum class phase {
		NEW,
		WAITING, ///< Waiting for a slot of the stage's pool.
		RUNNING,
		BACKING_OFF,
		FINISHED,
	};

	request_plan _plan;
	flow_hooks _hooks;
	phase _phase = phase::NEW;
	std::size_t _stage = 0;
	std::string _previous_result; ///< Result of the previous stage; JSON text.
	std::vector<open_attempt> _open;
	std::vector<endpoint_id> _tried; ///< Endpoints of earlier attempts in the current stage.
	std::vector<known_cost> _costs; ///< Costs of successful stages; their use is known only at the end of the request.
	std::vector<stage_report> _reports;
	verdict_tally _tally;
	drop_counts _drops;
	stage_estimate _estimate;
	std::vector<std::string> _tokens; ///< Tokens of the current stage.
	stream_digest _digest;
	std::uint32_t _attempts = 0; ///< Attempts in the current stage.
	std::uint32_t _retries = 0;
	endpoint_id _resume_endpoint = 0; ///< Endpoint at which a broken stream may be resumed; 0 for none.
	attempt_id _resume_of; ///< Attempt that started that stream.
	bool _resume_tried = false;
	bool _has_hedged = false;
	bool _holds_slot = false;
	bool _stage_may_have_run = false;
	bool _requests_slot_again = false; ///< Backing off without a slot; requests one after the back-off.
	std::uint32_t _requeues = 0; ///< Returns to the queue in the current stage.
	std::uint32_t _attempts_before_requeue = 0; ///< Attempts before the last return to the queue; not counted against the maximum.
	instant _stage_started{};
	instant _slot_granted_at{};
	instant _retry_at{};
	outcome _last_failure;

	using actions = std::vector<request_action>;

	const stage_plan &_current() const { return _plan.stages[_stage]; }
	bool _is_last_stage() const { return _stage + 1 == _plan.stages.size(); }
	bool _is_stream() const { return _current().kind == stage_kind::GENERATE; }
	duration _estimate_later_stages(instant p_now) const;
	instant _get_stage_end(instant p_now) const;
	instant _get_give_up(instant p_now) const;
	instant _get_stall_end(const open_attempt &p_attempt) const;
	open_attempt *_find_open(const attempt_id &p_id);
	void _begin_stage(instant p_now, actions &r_actions);
	void _request_slot(instant p_now, actions &r_actions);
	void _launch(instant p_now, bool p_is_hedge, actions &r_actions);
	std::optional<endpoint_id> _choose(instant p_now) const;
	void _arm_timer(instant p_now, actions &r_actions) const;
	void _remove_open(const attempt_id &p_id);
	void _cancel_others(const attempt_id &p_winner, actions &r_actions);
	void _fail_attempt(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now, actions &r_actions);
	void _settle_failed(const open_attempt &p_attempt, const attempt_end &p_end, bool p_continues, actions &r_actions) const;
	bool _may_try_again(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now);
	void _plan_retry(const attempt_end &p_end, instant p_now, actions &r_actions);
	bool _may_queue_again(const attempt_end &p_end, instant p_now);
	void _queue_again(instant p_now, actions &r_actions);
	void _complete_stage(const open_attempt &p_attempt, const attempt_end &p_end, instant p_now, actions &r_actions);
	bool _is_stream_complete(const attempt_end &p_end) const;
	void _finish(const outcome &p_result, instant p_now, actions &r_actions);
	void _finish_completed(actions &r_actions);
	void _give_up(reason p_reason, instant p_now, actions &r_actions);
	cost_use _get_cost_use(reason p_reason) const;
	void _maybe_hedge(instant p_now, actions &r_actions);

public:
	request_flow(request_plan p_plan, flow_hooks p_hooks);

	/** Starts the request. If its deadline has passed it finishes immediately with NOT_RUN. */
	actions start(instant p_now);

	/** Handles a granted slot. */
	actions on_slot_granted(instant p_now);

	/** Handles the denial of a requested slot. */
	actions on_slot_denied(reason p_reason, instant p_now);

	/** Handles the end of an attempt. The end of an attempt that isn't open is dropped and counted. */
	actions on_attempt_ended(const attempt_id &p_id, const attempt_end &p_end, instant p_now);

	/** Handles a received token. Tokens out of order are never forwarded. */
	actions on_token(const attempt_id &p_id, std::uint32_t p_offset, const std::string &p_token, instant p_now);

	/** Handles the time of wake_at. Calls that are early or late are harmless. */
	actions on_wake(instant p_now);

	/** Handles a disconnected caller: cancels everything. */
	actions on_caller_disconnected(instant p_now);

	bool is_finished() const { return _phase == phase::FINISHED; }
	const request_plan &get_plan() const { return _plan; }
	std::size_t get_stage() const { return _stage; }

	/** Returns the result of the previous stage as JSON text; empty for the first stage. */
	const std::string &get_previous() const { return _previous_result; }

	/** Returns the tokens received in the current stage. */
	const std::vector<std::string> &get_tokens() const { return _tokens; }

	const drop_counts &get_drops() const { return _drops; }

	/** Returns the number of open attempts. */
	std::size_t get_open_count() const { return _open.size(); }
};

} // namespace calicoscale

#endif // REQUEST_FLOW_H
