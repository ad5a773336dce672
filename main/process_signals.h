/*
 * calicoscale: process_signals.h
 * The signals that a supervisor sends to an entry node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROCESS_SIGNALS_H
#define PROCESS_SIGNALS_H

#include "drivers/event_loop.h"

#include <functional>

namespace calicoscale {

/** Callbacks of a node for signals; they run on the event loop. */
struct process_signal_hooks {
	std::function<void()> stop; ///< SIGTERM and SIGINT.
	std::function<void()> reload; ///< SIGHUP; called once for all SIGHUPs received before it runs.
};

/**
 * Handles SIGTERM, SIGINT and SIGHUP for a node. A signal without a handler terminates the process. SIGHUP is therefore
 * blocked from before the libraries are initialised until this object is constructed, and all three signals are blocked from
 * its destruction until the process exits. Must be constructed after the node and destroyed before it.
 */
class process_signals {
	event_loop &_loop;
	process_signal_hooks _hooks;
	bool _is_reload_posted = false;

	void _on_signal(int p_signal);

public:
	/** Installs the handlers and unblocks SIGHUP; a SIGHUP received earlier is delivered now. */
	process_signals(event_loop &p_loop, process_signal_hooks p_hooks);
	~process_signals();
	process_signals(const process_signals &) = delete;
	process_signals &operator=(const process_signals &) = delete;
};

} // namespace calicoscale

#endif // PROCESS_SIGNALS_H
