/*
 * calicoscale: activity_report.cpp
 * Reports how a node uses its processor time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/activity_report.h"

namespace calicoscale {

namespace {

constexpr duration WINDOW = std::chrono::seconds(2);
/** A node that is busy for more than a window divided by this is logged, as it has no capacity for a burst. */
constexpr int LOGGED_WINDOW_DIVISOR = 4;
/** A turn of the event loop that is longer than this is logged. Peers expect a heartbeat after a few times this. */
constexpr duration MIN_LOGGED_TURN = std::chrono::milliseconds(100);

} // namespace

activity_report::activity_report(gateway_context &p_context) :
		_context(p_context), _timer(p_context.loop, [this] { _report(); }) {
}

void activity_report::start() {
	_window_began_at = event_loop::now();
	_timer.set(WINDOW);
}

void activity_report::_report() {
	const instant now = event_loop::now();
	const work_sum sum = _context.loop.get_meter().take();
	const duration window = now - _window_began_at;
	_window_began_at = now;
	for (std::size_t i = 0; i < ACTIVITY_COUNT; i++) {
		_context.metrics.count("busy_seconds_" + std::string(get_name(static_cast<activity>(i))), to_seconds(sum.amounts[i].time));
	}
	_context.metrics.set_gauge("longest_turn_seconds", to_seconds(sum.longest));
	if (sum.busy * LOGGED_WINDOW_DIVISOR > window || sum.longest > MIN_LOGGED_TURN) {
		_log(sum, window);
	}
	_timer.set(WINDOW);
}

void activity_report::_log(const work_sum &p_sum, duration p_window) {
	log_line line("node_busy");
	line.add("window_ms", p_window).add("busy_ms", p_sum.busy).add("longest_ms", p_sum.longest).add("longest_by", get_name(p_sum.longest_by));
	for (std::size_t i = 0; i < ACTIVITY_COUNT; i++) {
		const work_amount &amount = p_sum.amounts[i];
		if (amount.count > 0) {
			const std::string name(get_name(static_cast<activity>(i)));
			line.add(name + "_ms", amount.time).add(name, static_cast<long long>(amount.count));
		}
	}
	_context.log.write(line);
}

} // namespace calicoscale
