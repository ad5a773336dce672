/*
 * calicoscale: suspension_alarm.cpp
 * Wakes an event loop as soon as the VM resumes from a suspension.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/suspension_alarm.h"

#include <event2/event.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <cstdint>

namespace calicoscale {

namespace {

/** Delay after the loop last ran; twice its longest sleep, so that the alarm fires only when the loop was kept from running. */
constexpr duration ALARM_DELAY = std::chrono::milliseconds(200);
/** The alarm is postponed only once half of its delay has passed, to save system calls. */
constexpr duration MIN_REMAINING = ALARM_DELAY / 2;

} // namespace

void suspension_alarm::event_deleter::operator()(event *p_event) const {
	event_free(p_event);
}

suspension_alarm::suspension_alarm(event_base *p_base, int p_priority, std::function<void()> p_on_alarm) :
		_alarm(timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)), _on_alarm(std::move(p_on_alarm)) {
	if (_alarm < 0) {
		return;
	}
	_event.reset(event_new(p_base, _alarm, EV_READ | EV_PERSIST, &suspension_alarm::_on_event, this));
	event_priority_set(_event.get(), p_priority);
	event_add(_event.get(), nullptr);
}

suspension_alarm::~suspension_alarm() {
	_event.reset();
	if (_alarm >= 0) {
		close(_alarm);
	}
}

void suspension_alarm::postpone(instant p_now) {
	if (_alarm < 0 || _set_for - p_now > MIN_REMAINING) {
		return;
	}
	_set_for = p_now + ALARM_DELAY;
	itimerspec time{};
	time.it_value.tv_nsec = std::chrono::nanoseconds(ALARM_DELAY).count();
	timerfd_settime(_alarm, 0, &time, nullptr);
}

void suspension_alarm::_on_event(int p_alarm, short, void *p_self) {
	std::uint64_t count = 0;
	if (read(p_alarm, &count, sizeof(count)) > 0) {
		static_cast<suspension_alarm *>(p_self)->_on_alarm();
	}
}

} // namespace calicoscale
