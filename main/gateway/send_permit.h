/*
 * calicoscale: send_permit.h
 * Whether one request may be sent, as far as endpoints ended under it before.
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
enum class send_care {
	NONE,
	QUIETEST, ///< To the endpoint with the least work, as it may end.
};

/** What a permit answers. */
struct permit_hooks {
	std::function<void(send_care)> on_granted;
	std::function<void(duration)> on_refused; ///< Gets the time after which the request may be sent again.
};

/** The permit of one request; destroying it ends its trial. */
class send_permit {
	crash_guard &_guard;
	std::function<request_content()> _get_content;
	std::uint64_t _trial = 0;
	bool _is_kept = false; ///< The trial was granted and is not spent.

public:
	send_permit(crash_guard &p_guard, std::function<request_content()> p_get_content);
	~send_permit() { end(); }
	send_permit(const send_permit &) = delete;
	send_permit &operator=(const send_permit &) = delete;

	/** Asks for the next send. One hook is called: at once, or from the loop where other nodes have to be heard first. */
	void ask(const permit_hooks &p_hooks);

	/** What was granted was not sent, or did not reach an endpoint: if it was the trial, the next send may be it. */
	void keep() { _is_kept = _trial != 0; }

	/** The request ended, or is not sent any more. */
	void end();
};

} // namespace calicoscale

#endif // SEND_PERMIT_H
