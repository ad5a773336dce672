/*
 * calicoscale: request_flow_test.cpp
 * Properties of request_flow under random faults, delays and orders of events.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/load/answer_check.h"
#include "servers/request/request_flow.h"
#include "tests/choice_source.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

namespace calicoscale {

namespace {

/** How a fake endpoint treats an attempt. The first value is the one without a fault. */
enum class endpoint_behaviour {
	COMPLETE,
	REFUSE_CONNECTION,
	REFUSE_BUSY,
	REFUSE_LEAVING,
	LOSE_AFTER_RUNNING,
	LOSE_BEFORE_RUNNING, ///< The request was sent, but not executed.
	FAIL_AFTER_RUNNING,
	HANG,
	TWICE,
	LOSE_MID_STREAM,
	LEAVE_TOKEN_OUT,
	REPEAT_TOKEN,
	WRONG_DIGEST,
	COUNT,
};

/** Simulates endpoints, pool slots and time around one request_flow. */
class flow_world {
	struct event {
		instant at;
		std::function<void()> run;
	};

	struct stream_state {
		std::vector<std::string> tokens;
		bool lost = false;
	};

	choice_source &_choices;
	request_plan _plan;
	std::unique_ptr<request_flow> _flow;
	std::multimap<instant, std::function<void()>> _events;
	std::optional<instant> _wake;
	instant _now{};
	std::map<std::size_t, int> _runs; ///< Executions by stage; resuming a stream isn't an execution.
	std::map<attempt_id, stream_state> _streams;
	std::map<attempt_id, bool> _open;
	std::vector<std::string> _forwarded;
	int _slots_held = 0;
	bool _is_slot_requested = false;
	int _finishes = 0;
	finish_request _finish;
	int _booked_useful = 0;

	static constexpr int TOKENS = 5;

	void _at(duration p_delay, std::function<void()> p_run) {
		_events.emplace(_now + p_delay, std::move(p_run));
	}

	duration _draw_delay() { return std::chrono::milliseconds(_choices.pick(40)); }

	void _apply(const std::vector<request_action> &p_actions) {
		for (const request_action &action : p_actions) {
			std::visit([this](const auto &p_action) { _do(p_action); }, action);
		}
	}

	void _do(const acquire_slot &) {
		RC_ASSERT(_finishes == 0);
		RC_ASSERT(!_is_slot_requested);
		RC_ASSERT(_slots_held == 0);
		_is_slot_requested = true;
		const bool denied = _choices.one_in(12);
		_at(_choices.one_in(6) ? _draw_delay() : duration::zero(), [this, denied] {
			if (!_is_slot_requested) {
				return;
			}
			_is_slot_requested = false;
			if (denied) {
				_apply(_flow->on_slot_denied(reason::QUEUE_FULL, _now));
				return;
			}
			_slots_held++;
			_apply(_flow->on_slot_granted(_now));
		});
	}

	void _do(const release_slot &) {
		_slots_held--;
		RC_ASSERT(_slots_held == 0);
	}

	void _do(const cancel_slot_request &) {
		RC_ASSERT(_is_slot_requested);
		_is_slot_requested = false;
	}

	void _end(const attempt_id &p_id, const attempt_end &p_end) {
		_open.erase(p_id);
		_apply(_flow->on_attempt_ended(p_id, p_end, _now));
	}

	void _end_later(const attempt_id &p_id, verdict p_verdict, reason p_reason) {
		attempt_end end;
		end.result = outcome{ p_verdict, p_reason };
		_at(_draw_delay(), [this, p_id, end] { _end(p_id, end); });
	}

	void _do(const start_attempt &p_action) {
		RC_ASSERT(_finishes == 0);
		RC_ASSERT(_slots_held == 1);
		RC_ASSERT(_now < _plan.deadline);
		_open[p_action.id] = true;
		const bool is_stream = _plan.stages[p_action.id.stage].kind == stage_kind::GENERATE;
		const endpoint_behaviour chosen = _choices.one_in(3) ? static_cast<endpoint_behaviour>(_choices.pick(static_cast<std::uint32_t>(endpoint_behaviour::COUNT))) : endpoint_behaviour::COMPLETE;
		switch (chosen) {
			case endpoint_behaviour::REFUSE_CONNECTION:
				_end_later(p_action.id, verdict::NOT_RUN, reason::CONNECT_FAILED);
				return;
			case endpoint_behaviour::REFUSE_BUSY:
				_end_later(p_action.id, verdict::NOT_RUN, reason::REFUSED_BUSY);
				return;
			case endpoint_behaviour::REFUSE_LEAVING:
				_end_later(p_action.id, verdict::NOT_RUN, reason::REFUSED_LEAVING);
				return;
			case endpoint_behaviour::LOSE_BEFORE_RUNNING:
				_end_later(p_action.id, verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST);
				return;
			default:
				break;
		}
		if (p_action.start == stream_start::RESUME && _choices.one_in(2)) {
			// The endpoint has lost the stream.
			_end_later(p_action.id, verdict::NOT_RUN, reason::REFUSED_INPUT);
			return;
		}
		if (is_stream) {
			_run_stream(p_action, chosen);
		} else {
			_run_call(p_action, chosen);
		}
	}

	void _run_call(const start_attempt &p_action, endpoint_behaviour p_behaviour) {
		_runs[p_action.id.stage]++;
		switch (p_behaviour) {
			case endpoint_behaviour::LOSE_AFTER_RUNNING:
			case endpoint_behaviour::LOSE_MID_STREAM:
				_end_later(p_action.id, verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST);
				return;
			case endpoint_behaviour::FAIL_AFTER_RUNNING:
				_end_later(p_action.id, verdict::MAY_HAVE_RUN, reason::ENDPOINT_ERROR);
				return;
			case endpoint_behaviour::HANG:
				return;
			default:
				break;
		}
		attempt_end end;
		end.result = outcome{ verdict::COMPLETED, reason::NONE };
		end.output = "\"stage " + std::to_string(p_action.id.stage) + " attempt " + std::to_string(p_action.id.attempt) + "\"";
		end.cost_known = true;
		end.units = 1.0;
		const attempt_id id = p_action.id;
		_at(_draw_delay(), [this, id, end] { _end(id, end); });
		if (p_behaviour == endpoint_behaviour::TWICE) {
			_at(_draw_delay(), [this, id, end] { _end(id, end); });
		}
	}

	void _run_stream(const start_attempt &p_action, endpoint_behaviour p_behaviour) {
		if (p_action.start == stream_start::RESUME) {
			_streams[p_action.id].tokens = _streams[p_action.resume_of].tokens;
		} else {
			_runs[p_action.id.stage]++;
			_streams[p_action.id].tokens = p_action.start == stream_start::CONTINUE ? _flow->get_tokens() : std::vector<std::string>();
			_complete_tokens(p_action.id);
		}
		if (p_behaviour == endpoint_behaviour::HANG) {
			return;
		}
		const attempt_id id = p_action.id;
		duration delay = _draw_delay();
		const std::vector<std::string> tokens = _streams[id].tokens;
		for (std::uint32_t offset = p_action.from_offset; offset < tokens.size(); offset++) {
			const bool is_second = offset == p_action.from_offset + 1;
			if (is_second && (p_behaviour == endpoint_behaviour::LOSE_MID_STREAM || p_behaviour == endpoint_behaviour::LOSE_AFTER_RUNNING)) {
				attempt_end lost;
				lost.result = outcome{ verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST };
				_at(delay, [this, id, lost] { _end(id, lost); });
				return;
			}
			if (is_second && p_behaviour == endpoint_behaviour::LEAVE_TOKEN_OUT) {
				continue;
			}
			const auto send = [this, id, offset, token = tokens[offset]] { _apply(_flow->on_token(id, offset, token, _now)); };
			_at(delay, send);
			if (is_second && p_behaviour == endpoint_behaviour::REPEAT_TOKEN) {
				_at(delay, send);
			}
			delay += std::chrono::milliseconds(_choices.pick(4));
		}
		attempt_end done;
		done.result = outcome{ verdict::COMPLETED, reason::NONE };
		done.cost_known = true;
		done.units = 1.0;
		done.token_count = static_cast<std::uint32_t>(tokens.size());
		stream_digest digest;
		for (const std::string &token : tokens) {
			digest.add(token);
		}
		if (p_behaviour == endpoint_behaviour::WRONG_DIGEST) {
			digest.add("something else");
		}
		done.digest = digest.to_string();
		_at(delay, [this, id, done] { _end(id, done); });
	}

	/** Each attempt generates its own text, so that mixing tokens of two generations is detected by the check of the token chain. */
	void _complete_tokens(const attempt_id &p_id) {
		std::vector<std::string> &tokens = _streams[p_id].tokens;
		while (tokens.size() < TOKENS) {
			std::string text;
			for (const std::string &token : tokens) {
				text += token;
			}
			tokens.push_back(tokens.empty() ? "marker" : make_chain_token(text, "attempt" + std::to_string(p_id.attempt)));
		}
	}

	void _do(const cancel_attempt &p_action) { _open.erase(p_action.id); }
	void _do(const forward_token &p_action) {
		RC_ASSERT(p_action.sequence == _forwarded.size());
		RC_ASSERT(_finishes == 0);
		_forwarded.push_back(p_action.token);
	}
	void _do(const record_cost &p_action) { _booked_useful += p_action.use == cost_use::USEFUL ? 1 : 0; }
	void _do(const settle_cost &) {}
	void _do(const wake_at &p_action) { _wake = p_action.at; }
	void _do(const finish_request &p_action) {
		_finishes++;
		_finish = p_action;
	}

	flow_hooks _make_hooks() {
		flow_hooks hooks;
		hooks.choose = [this](const choice_request &p_request, instant) -> std::optional<endpoint_id> {
			if (_choices.one_in(40)) {
				return std::nullopt;
			}
			return static_cast<endpoint_id>(1 + p_request.avoid.size() % 3);
		};
		hooks.may_retry = [this](const std::string &, instant) { return !_choices.one_in(8); };
		hooks.may_hedge = [](const std::string &, instant) { return true; };
		hooks.estimate = [](const request_plan &, std::size_t, instant) {
			return stage_estimate{ std::chrono::milliseconds(15), std::chrono::milliseconds(15), std::chrono::milliseconds(30), std::chrono::milliseconds(20) };
		};
		hooks.draw = [] { return 0.5; };
		return hooks;
	}

	void _check_end() const {
		RC_ASSERT(_finishes == 1);
		RC_ASSERT(_slots_held == 0);
		RC_ASSERT(!_is_slot_requested);
		RC_ASSERT(_open.empty());
		int runs = 0;
		for (const auto &[stage, count] : _runs) {
			runs += count;
			if (!_plan.stages[stage].repeatable) {
				RC_ASSERT(count <= 1);
			}
		}
		if (_finish.result.what == verdict::NOT_RUN) {
			RC_ASSERT(runs == 0);
			RC_ASSERT(_forwarded.empty());
		}
		if (_finish.result.what == verdict::COMPLETED) {
			RC_ASSERT(_finish.stages.size() == _plan.stages.size());
			RC_ASSERT(_booked_useful == static_cast<int>(_plan.stages.size()));
			_check_output();
		} else {
			RC_ASSERT(_booked_useful == 0);
		}
		if (!_forwarded.empty()) {
			RC_ASSERT(check_chain(_forwarded, "marker") == std::nullopt);
		}
	}

	void _check_output() const {
		if (_plan.stages.back().kind == stage_kind::GENERATE) {
			const std::string text = _finish.output.substr(1, _finish.output.size() - 2);
			RC_ASSERT(check_chain(split_chain(text), "marker") == std::nullopt);
			RC_ASSERT(split_chain(text).size() == TOKENS);
			RC_ASSERT(!_plan.stream || _forwarded.size() == TOKENS);
		} else {
			RC_ASSERT(_finish.output.starts_with("\"stage " + std::to_string(_plan.stages.size() - 1)));
		}
	}

public:
	explicit flow_world(choice_source &r_choices) :
			_choices(r_choices) {
		_plan.id = request_id{ 7, 1 };
		const std::size_t stages = 3 + _choices.pick(4);
		for (std::size_t i = 0; i < stages; i++) {
			stage_plan stage;
			stage.name = "stage" + std::to_string(i);
			stage.kind = _choices.one_in(3) || i + 1 == stages ? stage_kind::GENERATE : stage_kind::ENCODE;
			stage.repeatable = !_choices.one_in(3);
			stage.hedgeable = stage.repeatable && _choices.one_in(2);
			_plan.stages.push_back(stage);
		}
		_plan.deadline = instant(std::chrono::milliseconds(100 + _choices.pick(400)));
		_plan.stream = _choices.one_in(2);
	}

	void run() {
		_flow = std::make_unique<request_flow>(_plan, _make_hooks());
		if (_choices.one_in(10)) {
			_at(std::chrono::milliseconds(_choices.pick(200)), [this] { _apply(_flow->on_caller_disconnected(_now)); });
		}
		_apply(_flow->start(_now));
		for (int steps = 0; steps < 2000; steps++) {
			const bool has_event = !_events.empty();
			if (!has_event && !_wake) {
				break;
			}
			if (_wake && (!has_event || *_wake < _events.begin()->first)) {
				_now = std::max(_now, *_wake);
				_wake.reset();
				_apply(_flow->on_wake(_now));
				continue;
			}
			const auto next = _events.begin();
			// A random stall of the process delays all following events.
			_now = std::max(_now, next->first);
			if (_choices.one_in(60)) {
				_now += std::chrono::milliseconds(_choices.pick(600));
			}
			const std::function<void()> hook = next->second;
			_events.erase(next);
			hook();
		}
		_check_end();
	}
};

request_plan make_plan(std::vector<bool> p_repeatable) {
	request_plan plan;
	plan.id = request_id{ 1, 1 };
	for (const bool repeatable : p_repeatable) {
		stage_plan stage;
		stage.name = "s";
		stage.repeatable = repeatable;
		plan.stages.push_back(stage);
	}
	plan.deadline = instant(std::chrono::milliseconds(1000));
	return plan;
}

flow_hooks make_plain_hooks() {
	flow_hooks hooks;
	hooks.choose = [](const choice_request &, instant) { return std::optional<endpoint_id>(1); };
	hooks.may_retry = [](const std::string &, instant) { return true; };
	hooks.may_hedge = [](const std::string &, instant) { return true; };
	hooks.estimate = [](const request_plan &, std::size_t, instant) { return stage_estimate{}; };
	hooks.draw = [] { return 0.0; };
	return hooks;
}

template <typename action_type>
const action_type *find_action(const std::vector<request_action> &p_actions) {
	for (const request_action &action : p_actions) {
		if (const action_type *found = std::get_if<action_type>(&action)) {
			return found;
		}
	}
	return nullptr;
}

attempt_end make_end(verdict p_verdict, reason p_reason) {
	attempt_end end;
	end.result = outcome{ p_verdict, p_reason };
	return end;
}

} // namespace

RC_GTEST_PROP(request_flow_properties, keeps_its_promises_under_any_faults, ()) {
	choice_source choices(600);
	flow_world(choices).run();
}

TEST(request_flow, refused_first_stage_is_not_run) {
	request_flow flow(make_plan({ true, true, true }), make_plain_hooks());
	flow.start(instant{});
	const std::vector<request_action> actions = flow.on_slot_denied(reason::QUEUE_FULL, instant{});
	EXPECT_EQ(find_action<finish_request>(actions)->result, (outcome{ verdict::NOT_RUN, reason::QUEUE_FULL }));
	EXPECT_GT(find_action<finish_request>(actions)->retry_after, duration::zero());
}

TEST(request_flow, refused_second_stage_is_not_called_not_run) {
	request_flow flow(make_plan({ true, true, true }), make_plain_hooks());
	flow.start(instant{});
	const attempt_id first = find_action<start_attempt>(flow.on_slot_granted(instant{}))->id;
	flow.on_attempt_ended(first, make_end(verdict::COMPLETED, reason::NONE), instant{});
	const std::vector<request_action> actions = flow.on_slot_denied(reason::QUEUE_FULL, instant{});
	EXPECT_EQ(find_action<finish_request>(actions)->result.what, verdict::MAY_HAVE_RUN);
}

TEST(request_flow, unrepeatable_stage_is_tried_again_only_if_it_did_not_run) {
	request_flow flow(make_plan({ false, true, true }), make_plain_hooks());
	flow.start(instant{});
	const attempt_id first = find_action<start_attempt>(flow.on_slot_granted(instant{}))->id;
	const std::vector<request_action> again = flow.on_attempt_ended(first, make_end(verdict::NOT_RUN, reason::CONNECT_FAILED), instant{});
	ASSERT_NE(find_action<start_attempt>(again), nullptr);
	const attempt_id second = find_action<start_attempt>(again)->id;
	const std::vector<request_action> end = flow.on_attempt_ended(second, make_end(verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST), instant{});
	EXPECT_EQ(find_action<start_attempt>(end), nullptr);
	EXPECT_EQ(find_action<finish_request>(end)->result.what, verdict::MAY_HAVE_RUN);
}

TEST(request_flow, second_answer_is_dropped_and_counted) {
	request_flow flow(make_plan({ true, true, true }), make_plain_hooks());
	flow.start(instant{});
	const attempt_id first = find_action<start_attempt>(flow.on_slot_granted(instant{}))->id;
	flow.on_attempt_ended(first, make_end(verdict::COMPLETED, reason::NONE), instant{});
	EXPECT_TRUE(flow.on_attempt_ended(first, make_end(verdict::COMPLETED, reason::NONE), instant{}).empty());
	EXPECT_EQ(flow.get_drops().late_answers, 1U);
}

TEST(request_flow, deadline_that_passed_before_the_start_runs_nothing) {
	request_flow flow(make_plan({ false, true, true }), make_plain_hooks());
	const std::vector<request_action> actions = flow.start(instant(std::chrono::seconds(2)));
	EXPECT_EQ(find_action<acquire_slot>(actions), nullptr);
	EXPECT_EQ(find_action<finish_request>(actions)->result, (outcome{ verdict::NOT_RUN, reason::DEADLINE_PASSED }));
}

TEST(request_flow, pause_before_the_place_is_given_runs_nothing) {
	request_flow flow(make_plan({ false, true, true }), make_plain_hooks());
	flow.start(instant{});
	const std::vector<request_action> actions = flow.on_slot_granted(instant(std::chrono::seconds(2)));
	EXPECT_EQ(find_action<start_attempt>(actions), nullptr);
	EXPECT_EQ(find_action<finish_request>(actions)->result, (outcome{ verdict::NOT_RUN, reason::DEADLINE_PASSED }));
}

TEST(request_flow, given_up_requests_get_their_answer_at_once) {
	request_flow flow(make_plan({ false, true, true }), make_plain_hooks());
	flow.start(instant{});
	const attempt_id first = find_action<start_attempt>(flow.on_slot_granted(instant{}))->id;
	const instant soon(std::chrono::milliseconds(1));
	EXPECT_NE(find_action<finish_request>(flow.on_attempt_ended(first, make_end(verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST), soon)), nullptr);
}

TEST(request_flow, hanging_attempt_leaves_time_for_another) {
	request_flow flow(make_plan({ true, true, true }), make_plain_hooks());
	flow.start(instant{});
	const std::vector<request_action> actions = flow.on_slot_granted(instant{});
	const start_attempt *first = find_action<start_attempt>(actions);
	ASSERT_NE(first, nullptr);
	EXPECT_LT(first->give_up_at, instant(std::chrono::milliseconds(700)));
}

TEST(request_flow, refused_resume_is_no_licence_to_run_an_unrepeatable_stage_again) {
	request_plan plan = make_plan({ false, true, true });
	plan.stages[0].kind = stage_kind::GENERATE;
	request_flow flow(plan, make_plain_hooks());
	flow.start(instant{});
	const attempt_id first = find_action<start_attempt>(flow.on_slot_granted(instant{}))->id;
	flow.on_token(first, 0, "token", instant{});
	const std::vector<request_action> resumed = flow.on_attempt_ended(first, make_end(verdict::MAY_HAVE_RUN, reason::CONNECTION_LOST), instant{});
	ASSERT_NE(find_action<start_attempt>(resumed), nullptr);
	EXPECT_EQ(find_action<start_attempt>(resumed)->start, stream_start::RESUME);
	const attempt_id second = find_action<start_attempt>(resumed)->id;
	const std::vector<request_action> end = flow.on_attempt_ended(second, make_end(verdict::NOT_RUN, reason::REFUSED_INPUT), instant{});
	EXPECT_EQ(find_action<start_attempt>(end), nullptr);
	EXPECT_EQ(find_action<finish_request>(end)->result.what, verdict::MAY_HAVE_RUN);
}

TEST(request_flow, stream_whose_count_or_digest_is_wrong_is_no_answer) {
	for (const bool wrong_digest : { true, false }) {
		request_plan plan = make_plan({ false, true, true });
		plan.stages[0].kind = stage_kind::GENERATE;
		request_flow flow(plan, make_plain_hooks());
		flow.start(instant{});
		const attempt_id first = find_action<start_attempt>(flow.on_slot_granted(instant{}))->id;
		flow.on_token(first, 0, "token", instant{});
		attempt_end end = make_end(verdict::COMPLETED, reason::NONE);
		stream_digest digest;
		digest.add(wrong_digest ? "another" : "token");
		end.digest = digest.to_string();
		end.token_count = wrong_digest ? 1 : 2;
		const std::vector<request_action> actions = flow.on_attempt_ended(first, end, instant{});
		ASSERT_NE(find_action<finish_request>(actions), nullptr);
		EXPECT_EQ(find_action<finish_request>(actions)->result, (outcome{ verdict::MAY_HAVE_RUN, reason::TRUNCATED }));
	}
}

} // namespace calicoscale
