/*
 * calicoscale: later_queue.cpp
 * Runs hooks at later times on one timer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/later_queue.h"

namespace calicoscale {

later_queue::later_queue(event_loop &p_loop) :
		_timer(p_loop, [this] { _run_due(); }) {
}

void later_queue::_run_due() {
	while (!_hooks.empty() && _hooks.begin()->first <= event_loop::now()) {
		const std::function<void()> hook = std::move(_hooks.begin()->second);
		_hooks.erase(_hooks.begin());
		hook();
	}
	if (!_hooks.empty()) {
		_timer.set_at(_hooks.begin()->first);
	}
}

void later_queue::add(duration p_delay, std::function<void()> p_hook) {
	_hooks.emplace(event_loop::now() + p_delay, std::move(p_hook));
	_timer.set_at(_hooks.begin()->first);
}

} // namespace calicoscale
