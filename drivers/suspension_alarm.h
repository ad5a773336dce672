/*
 * calicoscale: suspension_alarm.h
 * Wakes an event loop as soon as the VM resumes from a suspension.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SUSPENSION_ALARM_H
#define SUSPENSION_ALARM_H

#include "core/time.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace calicoscale {

/**
 * libevent waits by a clock that stops while the VM is suspended, so that after resumption sockets would be read and written for
 * up to a timer's delay before the loop reads the clock. An alarm by the time since boot fires on resumption; it is postponed
 * while the loop runs, which costs about ten system calls a second. Where the system has no such alarm, nothing is set.
 */
class suspension_alarm {
	struct event_deleter {
		void operator()(event *p_event) const;
	};

	int _alarm;
	std::unique_ptr<event, event_deleter> _event;
	std::function<void()> _on_alarm;
	instant _set_for{};

	static void _on_event(int p_alarm, short p_what, void *p_self);

public:
	/** @param p_priority of the loop's timers. @param p_on_alarm called when the loop has not run for the alarm's delay. */
	suspension_alarm(event_base *p_base, int p_priority, std::function<void()> p_on_alarm);
	~suspension_alarm();
	suspension_alarm(const suspension_alarm &) = delete;
	suspension_alarm &operator=(const suspension_alarm &) = delete;

	/** Postpones the alarm; to be called whenever the loop runs. */
	void postpone(instant p_now);
};

} // namespace calicoscale

#endif // SUSPENSION_ALARM_H
