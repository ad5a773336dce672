/*
 * calicoscale: admission.h
 * Decides whether a request is begun, or refused at once with a time to come back.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ADMISSION_H
#define ADMISSION_H

#include "main/gateway/admitted_request.h"
#include "main/gateway/evacuation_follower.h"

#include <functional>
#include <optional>

namespace calicoscale {

/** Why a request is not begun. */
struct refusal {
	reason why = reason::NONE;
	duration retry_after = duration::zero();
	std::function<void(log_line &)> describe; ///< Adds what decided it.
};

/** Judges requests by what is known before anything runs. */
class admission {
	const gateway_context &_context;
	request_services &_shared;
	evacuation_follower &_evacuations;

	std::optional<refusal> _judge_crashes(const admitted_request &p_request) const;
	/** Whether all endpoints that it needs of some service are evacuated or outside its homes. */
	std::optional<refusal> _judge_places(const admitted_request &p_request) const;
	std::string _find_closed_off(const admitted_request &p_request) const;
	/** Whether it is predicted to be late. */
	std::optional<refusal> _judge_time(admitted_request &r_request);
	/** Whether all endpoints of its service take only so much, and what is left for it comes too late. */
	std::optional<refusal> _judge_limits(const admitted_request &p_request);
	/** When a request that would be late by so much may come back. */
	duration _get_return_time(duration p_late, const admitted_request &p_request);

public:
	admission(const gateway_context &p_context, request_services &p_shared, evacuation_follower &p_evacuations) :
			_context(p_context), _shared(p_shared), _evacuations(p_evacuations) {}

	/** Whether a request is refused, as endpoints ended under it before. Called before its service is chosen. */
	std::optional<refusal> judge_content(const admitted_request &p_request) const { return _judge_crashes(p_request); }

	/** Whether a request is refused, by where it may go and by when it would be answered; notes the latter in it. */
	std::optional<refusal> judge(admitted_request &r_request);
};

} // namespace calicoscale

#endif // ADMISSION_H
