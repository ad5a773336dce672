/*
 * calicoscale: gateway_request.h
 * One caller's request on its way through stages to an endpoint and back.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "core/verdict.h"
#include "drivers/endpoint_probe.h"
#include "main/gateway/endpoint_choice.h"
#include "main/gateway/received_answer.h"
#include "main/gateway/request_stages.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Carries one request: its stages, its sends to endpoints, the answer. It ends by its hook exactly once; destroying it
 * cancels everything it started.
 */
class gateway_request {
	request_services &_services;
	admitted_request _request;
	std::function<void()> _on_end;
	instant _started;
	instant _deadline; ///< The caller's.
	instant _give_up_at; ///< The caller's deadline or the route's time-out.
	endpoint_choice _choice;
	request_stages _stages;
	timer _give_up_timer;
	timer _retry_timer;
	exchange_id _exchange = 0;
	endpoint_id _endpoint = 0; ///< Of the newest send.
	endpoint_identity _endpoint_identity;
	network_address _endpoint_address;
	endpoint_probe _end_probe; ///< Of the endpoint whose answer ended with its connection.
	engine_prediction _predicted;
	instant _sent_at{};
	send_permit _permit;
	line_place _place = 0; ///< In the line of requests for its service that were not sent yet.
	verdict_tally _tally;
	int _sends = 0;
	int _runs = 0; ///< Sends that may have run.
	int _resumes = 0;
	received_answer _answer; ///< To the newest send.
	bool _answer_started = false; ///< Its head went to the caller.
	std::optional<version_run> _run; ///< At work at an endpoint.
	bool _ended = false;
	bool _has_looked_again = false; ///< For an answer that waits, at the time to give up.

	bool _may_repeat_run() const;
	bool _may_resume() const;
	/** Whether the request may be sent to another endpoint although its run did not end. */
	bool _may_go_on_elsewhere() const;
	bool _try_repeat_budget();
	/** The run at the endpoint of the newest send ended. */
	void _end_run(const outcome &p_result, duration p_elapsed);
	void _ask_permit(std::function<void(send_care)> p_on_granted);
	void _begin_stages(send_care p_care);
	void _send();
	void _send_with(send_care p_care);
	/** No endpoint may be sent to now: waits where that will change, and refuses where it will not. */
	void _on_none_to_send_to();
	void _on_head(const http_head &p_head);
	void _on_body(std::string_view p_bytes);
	void _on_end_of_answer(channel_end p_end);
	/** Whether nothing but an orderly close says that the answer is whole, and its endpoint is to stay. */
	bool _must_confirm_end() const;
	/** An endpoint that crashed closes its connections in good order too, and listens no more. */
	void _confirm_end();
	void _on_judged(answer_end p_end);
	void _log_end_of_answer(answer_end p_end);
	void _note_lost_run();
	void _judge_end(answer_end p_end);
	void _on_stream_end(answer_end p_end);
	void _on_whole_answer();
	void _on_not_run();
	void _on_failure(reason p_reason);
	void _learn_first_event();
	void _observe(const outcome &p_result);
	bool _resume();
	void _pass_answer();
	void _refuse(reason p_reason, duration p_retry_after);
	void _fail(reason p_reason);
	void _on_give_up_time();
	void _give_up(reason p_reason);
	void _on_caller_gone();
	void _finish(const outcome &p_result, int p_status);

public:
	gateway_request(request_services &p_services, admitted_request p_request, std::function<void()> p_on_end);
	~gateway_request();
	gateway_request(const gateway_request &) = delete;
	gateway_request &operator=(const gateway_request &) = delete;

	/** Begins the work. */
	void start();

	/** Zones that are cut off: a request whose answer was to come from there is sent elsewhere if it may be. */
	void on_reach_changed(const std::set<std::string> &p_unreached_zones);

	/** The node ends in a moment: a request whose answer has not begun gets its final one now. */
	void end_for_stop();
};

} // namespace calicoscale

#endif // GATEWAY_REQUEST_H
