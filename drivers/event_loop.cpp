/*
 * calicoscale: event_loop.cpp
 * The one event loop of a process, its clocks and timers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/event_loop.h"

#include "drivers/activity_scope.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <optional>
#include <stdexcept>
#include <utility>

namespace calicoscale {

namespace {

constexpr int LOOP_PRIORITY_COUNT = event_loop::LAST_PRIORITY + 1;
constexpr int TIMER_PRIORITY = 0;
constexpr int POSTED_PRIORITY = 0;
/** Time limit for reading after a process stall: under load there is always more input to read. */
constexpr duration MAX_READ_FIRST_TIME = std::chrono::milliseconds(20);
/**
 * libevent waits by a clock that stops while the VM is suspended, so a timer that is due on resumption is noticed at most this
 * much later. The loops of entry nodes have timers more often than that.
 */
constexpr duration MAX_SLEEP = std::chrono::milliseconds(100);

instant read_clock(clockid_t p_clock) {
	timespec time{};
	clock_gettime(p_clock, &time);
	return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

clock_reading read_clocks() {
	// The steady clock is read only to distinguish a suspension of the VM from a pause of the process.
	return clock_reading{ read_clock(CLOCK_BOOTTIME), read_clock(CLOCK_MONOTONIC) };
}

clock_reader replaced_reader = nullptr;

clock_reading read_clocks_or_replaced() {
	return replaced_reader == nullptr ? read_clocks() : replaced_reader();
}

event_base *make_base() {
	event_base *base = event_base_new();
	if (base == nullptr) {
		throw std::runtime_error("cannot create an event loop");
	}
	event_base_priority_init(base, LOOP_PRIORITY_COUNT);
	return base;
}

timeval to_timeval(duration p_delay) {
	const duration::rep count = std::max<duration::rep>(0, p_delay.count());
	timeval result{};
	result.tv_sec = static_cast<time_t>(count / 1'000'000);
	result.tv_usec = static_cast<suseconds_t>(count % 1'000'000);
	return result;
}

} // namespace

void event_loop::base_deleter::operator()(event_base *p_base) const {
	event_base_free(p_base);
}

void event_loop::event_deleter::operator()(event *p_event) const {
	event_free(p_event);
}

event_loop::event_loop() :
		_base(make_base()),
		_alarm(_base.get(), TIMER_PRIORITY, [this] { _run_timers(); }) {
	_posted_event.reset(event_new(_base.get(), -1, 0, &event_loop::_on_posted, this));
	event_priority_set(_posted_event.get(), POSTED_PRIORITY);
	_timer_event.reset(evtimer_new(_base.get(), &event_loop::_on_timers, this));
	event_priority_set(_timer_event.get(), TIMER_PRIORITY);
	_read_event.reset(event_new(_base.get(), -1, 0, &event_loop::_on_read, this));
	event_priority_set(_read_event.get(), LAST_PRIORITY);
	_read_limit_event.reset(evtimer_new(_base.get(), &event_loop::_on_read, this));
	event_priority_set(_read_limit_event.get(), TIMER_PRIORITY);
	std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() = default;

void event_loop::run() {
	event_base_loop(_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
	// No hook may remain: it may hold an object whose owner is destroyed before the loop.
	_run_posted();
}

void event_loop::run_pending() {
	event_base_loop(_base.get(), EVLOOP_NONBLOCK | EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
	event_base_loopbreak(_base.get());
}

void event_loop::post(std::function<void()> p_hook) {
	_posted.push_back(std::move(p_hook));
	event_active(_posted_event.get(), 0, 0);
}

void event_loop::_on_posted(int, short, void *p_self) {
	static_cast<event_loop *>(p_self)->_run_posted();
}

void event_loop::_run_posted() {
	std::vector<std::function<void()>> hooks;
	hooks.swap(_posted);
	for (const std::function<void()> &hook : hooks) {
		const activity_scope scope(*this, activity::POSTED);
		hook();
	}
}

void event_loop::watch_signal(int p_signal) {
	std::unique_ptr<event, event_deleter> watch(evsignal_new(_base.get(), p_signal, &event_loop::_on_signal, this));
	event_add(watch.get(), nullptr);
	_signal_events.push_back(std::move(watch));
}

void event_loop::_on_signal(int p_signal, short, void *p_self) {
	static_cast<event_loop *>(p_self)->_signal_received.emit(p_signal);
}

void event_loop::_set_timer(timer &p_timer, instant p_due, timer_order p_order) {
	std::erase(_due, p_timer._id);
	_timers[p_timer._id] = &p_timer;
	_queue.set(p_timer._id, p_due, p_order);
	if (_armed_for == instant{} || p_due < _armed_for) {
		_arm();
	}
}

void event_loop::_cancel_timer(const timer &p_timer) {
	if (_timers.erase(p_timer._id) > 0) {
		std::erase(_due, p_timer._id);
		_queue.cancel(p_timer._id);
	}
}

void event_loop::_arm() {
	const std::optional<instant> next = _queue.get_next(_is_reading_first);
	if (!next) {
		_armed_for = instant{};
		evtimer_del(_timer_event.get());
		return;
	}
	const instant now_at = now();
	_armed_for = std::min(*next, now_at + MAX_SLEEP);
	const timeval delay = to_timeval(_armed_for - now_at);
	evtimer_add(_timer_event.get(), &delay);
}

void event_loop::_on_timers(int, short, void *p_self) {
	static_cast<event_loop *>(p_self)->_run_timers();
}

void event_loop::_run_timers() {
	const clock_reading clocks = read_clocks_or_replaced();
	_alarm.postpone(clocks.since_boot);
	const duration late = _armed_for == instant{} ? duration::zero() : clocks.since_boot - _armed_for;
	const process_stall stall = _stall_detector.note(clocks, late);
	if (stall.late > duration::zero() && !_is_reading_first) {
		_read_first(stall);
	}
	_run_due(clocks.since_boot);
	_arm();
}

void event_loop::_run_due(instant p_now) {
	for (std::optional<std::uint64_t> due = _queue.take_due(_is_reading_first, p_now); due; due = _queue.take_due(_is_reading_first, p_now)) {
		_due.push_back(*due);
	}
	// A timer that a hook sets again waits for the next turn; one that a hook cancels does not run.
	while (!_due.empty()) {
		const auto found = _timers.find(_due.front());
		_due.pop_front();
		timer &expired = *found->second;
		_timers.erase(found);
		const activity_scope scope(*this, activity::TIMERS);
		expired._hook();
	}
}

void event_loop::_read_first(const process_stall &p_stall) {
	_is_reading_first = true;
	_stalled.emit(p_stall);
	event_active(_read_event.get(), 0, 0);
	const timeval limit = to_timeval(MAX_READ_FIRST_TIME);
	evtimer_add(_read_limit_event.get(), &limit);
}

void event_loop::_on_read(int, short, void *p_self) {
	event_loop &self = *static_cast<event_loop *>(p_self);
	evtimer_del(self._read_limit_event.get());
	if (!self._is_reading_first) {
		return;
	}
	self._is_reading_first = false;
	self._run_due(now());
	self._arm();
}

instant event_loop::now() {
	return replaced_reader == nullptr ? read_clock(CLOCK_BOOTTIME) : replaced_reader().since_boot;
}

void event_loop::set_clock_reader(clock_reader p_reader) {
	replaced_reader = p_reader;
}

unix_milliseconds event_loop::wall() {
	const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

timer::timer(event_loop &p_loop, std::function<void()> p_hook, timer_order p_order) :
		_loop(p_loop), _id(p_loop._next_timer++), _order(p_order), _hook(std::move(p_hook)) {
}

void timer::set(duration p_delay) {
	set_at(event_loop::now() + p_delay);
}

void timer::set_at(instant p_at) {
	_loop._set_timer(*this, p_at, _order);
}

bool timer::is_set() const {
	return _loop._timers.contains(_id);
}

void timer::cancel() {
	_loop._cancel_timer(*this);
}

} // namespace calicoscale
