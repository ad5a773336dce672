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

/** What a node does at a signal; runs on the event loop. */
struct process_signal_hooks {
	std::function<void()> stop; ///< SIGTERM and SIGINT.
	std::function<void()> reload; ///< SIGHUP. Once for all that came before it runs.
};

/**
 * Takes SIGTERM, SIGINT and SIGHUP for a node. A signal that meets no handler ends the process, so SIGHUP is blocked from
 * before the libraries are initialised until this is made, and all three from its end until the process is gone. To be made
 * after the node and destroyed before it.
 */
class process_signals {
	event_loop &_loop;
	process_signal_hooks _hooks;
	bool _is_reload_posted = false;

	void _on_signal(int p_signal);

public:
	/** Lets the signals through; a SIGHUP that came before is delivered now. */
	process_signals(event_loop &p_loop, process_signal_hooks p_hooks);
	~process_signals();
	process_signals(const process_signals &) = delete;
	process_signals &operator=(const process_signals &) = delete;
};

} // namespace calicoscale

#endif // PROCESS_SIGNALS_H
