/*
 * calicoscale: admission.h
 * Decides whether a request is started, or refused immediately with a retry time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ADMISSION_H
#define ADMISSION_H

#include "main/gateway/admitted_request.h"
#include "main/gateway/evacuation_follower.h"
#include "main/gateway/stream_resolver.h"

#include <functional>
#include <optional>

namespace calicoscale {

/** Reason why a request is not started. */
struct refusal {
	reason why = reason::NONE;
	duration retry_after = duration::zero();
	std::function<void(log_line &)> describe; ///< Adds the facts behind the decision to a log line.
};

/** Judges requests by what is known before any of their work runs. */
class admission {
	const gateway_context &_context;
	request_services &_shared;
	evacuation_follower &_evacuations;

	std::optional<refusal> _judge_crashes(const admitted_request &p_request) const;
	/** Refuses a request for which all endpoints of a service or pool that it needs are evacuated or outside its home regions. */
	std::optional<refusal> _judge_locations(const admitted_request &p_request) const;
	std::string _find_closed_off(const admitted_request &p_request) const;
	/** Refuses a request for a service that neither this node nor a peer with capacity reaches, before any work is done for it. */
	std::optional<refusal> _judge_reach(const admitted_request &p_request) const;
	/** Refuses to resume a stream if no endpoint of the version that began it may get the request. */
	std::optional<refusal> _judge_stream_version(const admitted_request &p_request) const;
	/** Refuses a request that is predicted to miss its route's objective. */
	std::optional<refusal> _judge_time(admitted_request &r_request);
	/** Refuses a request for which the limits of all endpoints of its service leave no capacity in time. */
	std::optional<refusal> _judge_limits(const admitted_request &p_request);
	/** Returns the time after which a request that would be late by p_late may be retried. */
	duration _get_return_time(duration p_late, const admitted_request &p_request);

public:
	admission(const gateway_context &p_context, request_services &p_shared, evacuation_follower &p_evacuations) :
			_context(p_context), _shared(p_shared), _evacuations(p_evacuations) {}

	/** Refuses a request that crashed endpoints before. Must be called before its service is chosen. */
	std::optional<refusal> judge_content(const admitted_request &p_request) const { return _judge_crashes(p_request); }

	/** Applies what was found about the stream that a request resumes, or refuses the request. */
	std::optional<refusal> judge_resumption(admitted_request &r_request, const stream_resolution &p_resolution) const;

	/** Refuses a request by where it may be sent and by its predicted answer time, which is stored in the request. */
	std::optional<refusal> judge(admitted_request &r_request);
};

} // namespace calicoscale

#endif // ADMISSION_H
