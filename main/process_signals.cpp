/*
 * calicoscale: process_signals.cpp
 * The signals that a supervisor sends to an entry node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/process_signals.h"

#include <array>
#include <csignal>
#include <cstring>
#include <span>
#include <utility>

namespace calicoscale {

namespace {

constexpr std::array<int, 1> RELOAD_SIGNALS{ SIGHUP };
constexpr std::array<int, 3> HANDLED_SIGNALS{ SIGTERM, SIGINT, SIGHUP };

void change_mask(int p_how, std::span<const int> p_signals) {
	sigset_t signals;
	sigemptyset(&signals);
	for (const int signal : p_signals) {
		sigaddset(&signals, signal);
	}
	sigprocmask(p_how, &signals, nullptr);
}

/**
 * Runs before the constructors of any library. Only the two node commands block SIGHUP: other commands don't reload, and SIGHUP
 * must terminate them when their terminal closes.
 */
void block_reload_signal(int p_count, char **p_values, char **) {
	if (p_count > 1 && (std::strcmp(p_values[1], "gateway") == 0 || std::strcmp(p_values[1], "serve") == 0)) {
		change_mask(SIG_BLOCK, RELOAD_SIGNALS);
	}
}

} // namespace

__attribute__((section(".preinit_array"), used)) void (*const BLOCK_RELOAD_SIGNAL)(int, char **, char **) = &block_reload_signal;

process_signals::process_signals(event_loop &p_loop, process_signal_hooks p_hooks) :
		_loop(p_loop), _hooks(std::move(p_hooks)) {
	_loop.signal_received().connect([this](int p_signal) { _on_signal(p_signal); });
	for (const int handled : HANDLED_SIGNALS) {
		_loop.watch_signal(handled);
	}
	change_mask(SIG_UNBLOCK, RELOAD_SIGNALS);
}

process_signals::~process_signals() {
	change_mask(SIG_BLOCK, HANDLED_SIGNALS);
}

void process_signals::_on_signal(int p_signal) {
	if (p_signal != SIGHUP) {
		_hooks.stop();
		return;
	}
	if (_is_reload_posted) {
		return;
	}
	_is_reload_posted = true;
	_loop.post([this] {
		_is_reload_posted = false;
		_hooks.reload();
	});
}

} // namespace calicoscale
