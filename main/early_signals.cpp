/*
 * calicoscale: early_signals.cpp
 * Keeps a process alive that is told to reload before it can.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/early_signals.h"

#include <csignal>
#include <cstring>

namespace calicoscale {

namespace {

sigset_t get_reload_signal() {
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	return signals;
}

/** Runs before the constructors of any library. Other commands do not reload, and end with their terminal. */
void block_reload_signal(int p_count, char **p_values, char **) {
	if (p_count > 1 && std::strcmp(p_values[1], "gateway") == 0) {
		const sigset_t signals = get_reload_signal();
		sigprocmask(SIG_BLOCK, &signals, nullptr);
	}
}

} // namespace

__attribute__((section(".preinit_array"), used)) void (*const BLOCK_RELOAD_SIGNAL)(int, char **, char **) = &block_reload_signal;

void unblock_reload_signal() {
	const sigset_t signals = get_reload_signal();
	sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace calicoscale
