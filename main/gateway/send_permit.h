/*
 * calicoscale: send_permit.h
 * Decides whether one request may be sent, given the endpoints that crashed while running it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SEND_PERMIT_H
#define SEND_PERMIT_H

#include "main/gateway/crash_guard.h"

#include <functional>

namespace calicoscale {

/** How a request is sent. */
enum class send_mode {
	NONE,
	QUIETEST, ///< To the endpoint with the least work, as the request may crash it.
};

/** Outcomes of a permit request. */
struct permit_hooks {
	std::function<void(send_mode)> on_granted;
	std::function<void(duration)> on_refused; ///< Receives the time after which the request may be retried.
};

/** Permit of one request. Destroying it ends its trial. */
class send_permit {
	crash_guard &_guard;
	std::function<request_content()> _get_content;
	std::uint64_t _trial = 0;
	bool _has_unused_trial = false; ///< The trial was granted and has not been used.

public:
	send_permit(crash_guard &p_guard, std::function<request_content()> p_get_content);
	~send_permit() { end(); }
	send_permit(const send_permit &) = delete;
	send_permit &operator=(const send_permit &) = delete;

	/** Requests permission for the next send. One hook is called: immediately, or from the loop if other nodes must be queried first. */
	void ask(const permit_hooks &p_hooks);

	/** Records that a granted send did not reach an endpoint. If it was the trial, the next send may use the trial. */
	void keep() { _has_unused_trial = _trial != 0; }

	/** Ends the trial, as the request ended or is not sent any more. */
	void end();
};

} // namespace calicoscale

#endif // SEND_PERMIT_H
