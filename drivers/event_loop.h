/*
 * calicoscale: event_loop.h
 * The one event loop of a process, its clocks and timers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVENT_LOOP_H
#define EVENT_LOOP_H

#include "core/process_stall.h"
#include "core/time.h"
#include "core/timer_queue.h"
#include "core/work_meter.h"
#include "drivers/suspension_alarm.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace calicoscale {

class timer;

/** Reads the clocks of the VM. */
using clock_reader = clock_reading (*)();

/**
 * Owns the libevent base and the timers. Timers go by the time since boot, which counts the time in which the VM was
 * suspended; libevent's own do not. Timers run before sockets in each turn: after a pause of the process an attempt whose
 * time has passed is cancelled before its connection can write. Where the process stood still, timers that judge others wait
 * until what came meanwhile was read, or it would take them for silent by its own absence.
 */
class event_loop {
	friend class timer;

	struct base_deleter {
		void operator()(event_base *p_base) const;
	};
	struct event_deleter {
		void operator()(event *p_event) const;
	};

	std::unique_ptr<event_base, base_deleter> _base;
	std::unique_ptr<event, event_deleter> _posted_event;
	std::unique_ptr<event, event_deleter> _timer_event; ///< For the timer that is due next.
	std::unique_ptr<event, event_deleter> _read_event; ///< Runs when nothing is left to read.
	std::unique_ptr<event, event_deleter> _read_limit_event; ///< Or after this, under load.
	suspension_alarm _alarm;
	timer_queue _queue;
	std::map<std::uint64_t, timer *> _timers; ///< That are set.
	std::deque<std::uint64_t> _due; ///< Timers whose hooks are still to run in this turn.
	std::uint64_t _next_timer = 1;
	instant _armed_for{}; ///< When the event of the timers is to come; zero for never.
	bool _is_reading_first = false; ///< The process stood still, and what came meanwhile is read now.
	stall_detector _hold_ups;
	work_meter _meter;
	sigc::signal<void(const process_stall &)> _held_up;
	std::vector<std::unique_ptr<event, event_deleter>> _signal_events;
	std::vector<std::function<void()>> _posted;
	sigc::signal<void(int)> _signal_received;

	static void _on_posted(int p_socket, short p_what, void *p_self);
	static void _on_signal(int p_signal, short p_what, void *p_self);
	static void _on_timers(int p_socket, short p_what, void *p_self);
	static void _on_read(int p_socket, short p_what, void *p_self);
	void _run_posted();
	void _set_timer(timer &p_timer, instant p_due, timer_order p_order);
	void _cancel_timer(const timer &p_timer);
	void _arm();
	void _run_timers();
	void _run_due(instant p_now);
	void _read_first(const process_stall &p_hold_up);

public:
	event_loop();
	~event_loop();
	event_loop(const event_loop &) = delete;
	event_loop &operator=(const event_loop &) = delete;

	/** Runs until stop(), and what was posted until then. */
	void run();

	/** Handles what is due now and returns without waiting. */
	void run_pending();

	/** Ends run() after the current turn. */
	void stop();

	/** Runs the hook in a coming turn of the loop, outside any callback. */
	void post(std::function<void()> p_hook);

	/** Starts to watch a process signal; signal_received tells when it comes. */
	void watch_signal(int p_signal);

	/** Emitted with the number of a watched signal. */
	sigc::signal<void(int)> &signal_received() { return _signal_received; }

	/** Looks at the time, and runs what is due. Done by itself at waking, before any socket is read or written. */
	void run_due_timers() { _run_timers(); }

	/** Emitted when the process stood still, before anything is judged by the time that has passed. */
	sigc::signal<void(const process_stall &)> &stalled() { return _held_up; }

	/** Time since boot now; never steps. */
	static instant now();

	/** Replaces the clocks, for tests; null takes those of the VM again. */
	static void set_clock_reader(clock_reader p_reader);

	/** Wall time now. */
	static unix_milliseconds wall();

	/** What the loop spends its time on; activity_scope books to it. */
	work_meter &get_meter() { return _meter; }

	event_base *get_base() const { return _base.get(); }
};

/** A timer; its hook runs on the loop. Destroying it cancels it. */
class timer {
	friend class event_loop;

	event_loop &_loop;
	std::uint64_t _id;
	timer_order _order;
	std::function<void()> _hook;

public:
	timer(event_loop &p_loop, std::function<void()> p_hook, timer_order p_order = timer_order::AFTER_SOCKETS);
	~timer() { cancel(); }
	timer(const timer &) = delete;
	timer &operator=(const timer &) = delete;

	/** Runs the hook once after the delay; replaces an earlier time. */
	void set(duration p_delay);

	/** Runs the hook once at the time, or at once when it has passed. */
	void set_at(instant p_at);

	/** Forgets the time set. */
	void cancel();
};

} // namespace calicoscale

#endif // EVENT_LOOP_H
