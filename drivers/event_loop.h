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
 * Owns the libevent base and the timers. Timers use the time since boot, which includes the time in which the VM was
 * suspended; libevent's own timers don't. Timers run before sockets in each turn: after a pause of the process an attempt whose
 * time-out has passed is cancelled before its connection can write. After a process stall, timers of the order AFTER_SOCKETS,
 * among them those that judge other nodes, are deferred until the input that arrived during the stall has been read; otherwise
 * the process would take peers for silent because of its own stall.
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
	std::unique_ptr<event, event_deleter> _timer_event; ///< Fires for the timer that is due next.
	std::unique_ptr<event, event_deleter> _read_event; ///< Fires when no input is left to read.
	std::unique_ptr<event, event_deleter> _read_limit_event; ///< Ends the reading after a time limit, under load.
	suspension_alarm _alarm;
	timer_queue _queue;
	std::map<std::uint64_t, timer *> _timers; ///< Timers that are set, by id.
	std::deque<std::uint64_t> _due; ///< Timers whose hooks are still to run in this turn.
	std::uint64_t _next_timer = 1;
	instant _armed_for{}; ///< When the timer event fires; zero if it isn't set.
	bool _is_reading_first = false; ///< After a process stall, while the input that arrived during it is read.
	stall_detector _stall_detector;
	work_meter _meter;
	sigc::signal<void(const process_stall &)> _stalled;
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
	void _read_first(const process_stall &p_stall);

public:
	event_loop();
	~event_loop();
	event_loop(const event_loop &) = delete;
	event_loop &operator=(const event_loop &) = delete;

	/** Runs until stop(), then runs the hooks that were posted by then. */
	void run();

	/** Handles what is due now and returns without waiting. */
	void run_pending();

	/** Ends run() after the current turn. */
	void stop();

	/** Runs the hook in a coming turn of the loop, outside any callback. */
	void post(std::function<void()> p_hook);

	/** Starts to watch a process signal; signal_received() is emitted when it arrives. */
	void watch_signal(int p_signal);

	/** Emitted with the number of a watched signal. */
	sigc::signal<void(int)> &signal_received() { return _signal_received; }

	/** Reads the clocks and runs timers that are due. The loop does so by itself when it wakes, before any socket is read or written. */
	void run_due_timers() { _run_timers(); }

	/** Emitted after a process stall, before any timer runs. */
	sigc::signal<void(const process_stall &)> &stalled() { return _stalled; }

	/** Current time since boot; never steps. */
	static instant now();

	/** Replaces the clocks, for tests; null restores those of the VM. */
	static void set_clock_reader(clock_reader p_reader);

	/** Current wall time. */
	static unix_milliseconds wall();

	/** Records the time that the loop spends on each activity; filled by activity_scope. */
	work_meter &get_meter() { return _meter; }

	/** Priority of events that wait until no other event is ready. */
	static constexpr int LAST_PRIORITY = 2;

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

	/** Runs the hook once after the delay; replaces any time set before. */
	void set(duration p_delay);

	/** Runs the hook once at the given time, or in the next turn if it has passed. */
	void set_at(instant p_at);

	void cancel();

	/** Whether a time is set at which the hook has not run yet. */
	bool is_set() const;
};

} // namespace calicoscale

#endif // EVENT_LOOP_H
