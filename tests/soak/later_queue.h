/*
 * calicoscale: later_queue.h
 * Runs hooks at later times on one timer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LATER_QUEUE_H
#define LATER_QUEUE_H

#include "drivers/event_loop.h"

#include <functional>
#include <map>

namespace calicoscale {

/** Hooks to run later, in the order of their times. Destroying it forgets them. */
class later_queue {
	std::multimap<instant, std::function<void()>> _hooks;
	timer _timer;

	void _run_due();

public:
	explicit later_queue(event_loop &p_loop);

	/** Runs the hook once after the delay. */
	void add(duration p_delay, std::function<void()> p_hook);
};

} // namespace calicoscale

#endif // LATER_QUEUE_H
