/*
 * calicoscale: gateway_request.h
 * Processes one caller's request: stage work, sends to endpoints and the answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "core/verdict.h"
#include "drivers/endpoint_probe.h"
#include "main/gateway/endpoint_selector.h"
#include "main/gateway/received_answer.h"
#include "main/gateway/request_stages.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Processes one request: runs its stages, sends it to endpoints and passes the answer to the caller. The end hook is called
 * exactly once. Destroying the object cancels everything that it started.
 */
class gateway_request {
	request_services &_services;
	admitted_request _request;
	std::function<void()> _on_end;
	instant _started;
	instant _deadline; ///< Set by the caller.
	instant _give_up_at; ///< The caller's deadline or the route's time-out, whichever is earlier.
	endpoint_selector _choice;
	request_stages _stages;
	timer _give_up_timer;
	timer _retry_timer;
	exchange_id _exchange = 0;
	endpoint_id _endpoint = 0; ///< Of the latest send.
	endpoint_identity _endpoint_identity;
	network_address _endpoint_address;
	channel_position _position; ///< Of the latest send.
	endpoint_probe _end_probe; ///< Probes the endpoint whose answer ended when its connection closed.
	engine_prediction _predicted;
	instant _sent_at{};
	send_permit _permit;
	queue_position _queue_position = 0; ///< Position in the queue of requests for the service that have not been sent yet.
	verdict_tally _tally;
	int _sends = 0;
	int _runs = 0; ///< Number of sends that the endpoint may have run.
	int _resumes = 0;
	received_answer _answer; ///< Answer to the latest send.
	buffer_id _buffer; ///< Of the answer's body.
	bool _answer_started = false; ///< The head of the answer was sent to the caller.
	std::optional<version_run> _run; ///< The run that is in progress at an endpoint.
	bool _ended = false;
	bool _has_rechecked = false; ///< The time to give up was postponed once because an answer was waiting unread.

	bool _may_repeat_run() const;
	bool _may_resume() const;
	/** Whether the request may be sent to another endpoint while its current run has not completed. */
	bool _may_continue_elsewhere() const;
	bool _try_repeat_budget();
	/** Records the end of the run at the endpoint of the latest send. */
	void _end_run(const outcome &p_result, duration p_elapsed);
	void _request_permit(std::function<void(send_mode)> p_on_granted);
	void _begin_stages(send_mode p_mode);
	void _send();
	void _send_with(send_mode p_mode);
	/** Handles that no endpoint can be sent to now: waits if one is predicted to become available in time, otherwise refuses. */
	void _on_no_endpoint_available();
	void _on_head(const http_head &p_head);
	void _on_body(std::string_view p_bytes);
	/** Ends the exchange in progress, as the rest of the answer is of no use. */
	void _break_off_answer(std::string_view p_cause);
	void _on_end_of_answer(channel_end p_end);
	/** Whether an orderly close is the only sign that the answer is complete, and the endpoint is not expected to leave. */
	bool _must_confirm_end() const;
	/** Probes whether the endpoint still listens: one that crashed closes its connections in an orderly way too, but refuses new ones. */
	void _confirm_end();
	void _on_judged(answer_end p_end);
	void _log_end_of_answer(answer_end p_end);
	void _record_interrupted_run();
	void _judge_end(answer_end p_end);
	void _on_stream_end(answer_end p_end);
	/** Handles that the endpoint of the latest send answered that it did not run the request. */
	void _on_rejected();
	/** Handles that another endpoint answered at the address. */
	void _on_other_endpoint();
	void _on_complete_answer();
	void _on_not_run();
	void _on_failure(reason p_reason);
	void _log_send(const endpoint_state &p_endpoint, duration p_remaining);
	void _learn_first_event();
	void _observe(const outcome &p_result);
	bool _resume();
	void _pass_answer();
	/** Whether each send of the request is proved not to have run, and none is in progress. */
	bool _is_proved_not_to_run() const;
	void _refuse(reason p_reason, duration p_retry_after);
	void _fail(reason p_reason);
	void _on_give_up_time();
	void _give_up(reason p_reason);
	void _on_caller_disconnected();
	void _finish(const outcome &p_result, int p_status);

public:
	gateway_request(request_services &p_services, admitted_request p_request, std::function<void()> p_on_end);
	~gateway_request();
	gateway_request(const gateway_request &) = delete;
	gateway_request &operator=(const gateway_request &) = delete;

	void start();

	/** Sets the unreachable zones. If the request waits for an answer from one of them, it is sent elsewhere if permitted. */
	void on_reachability_changed(const std::set<std::string> &p_unreached_zones);

	/** Sends the final answer to a request whose answer has not started, as this node is about to exit. */
	void end_for_stop();
};

} // namespace calicoscale

#endif // GATEWAY_REQUEST_H
