/*
 * calicoscale: store_report.cpp
 * Reports how a node uses the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/store_report.h"

namespace calicoscale {

namespace {

constexpr duration INTERVAL = std::chrono::milliseconds(500);

} // namespace

store_report::store_report(gateway_context &p_context) :
		_context(p_context), _timer(p_context.loop, [this] { _report(); }) {
}

void store_report::start() {
	_timer.set(INTERVAL);
}

void store_report::_report() {
	for (const auto &[key, sum] : _context.traffic.take()) {
		const auto &[topic, reason] = key;
		log_line line("store_traffic");
		line.add("topic", topic).add("reason", get_name(reason)).add("calls", static_cast<long long>(sum.calls)).add("answered", static_cast<long long>(sum.answered)).add("refused", static_cast<long long>(sum.refused)).add("unanswered", static_cast<long long>(sum.unanswered));
		line.add("bytes", static_cast<long long>(sum.bytes)).add("unused_bytes", static_cast<long long>(sum.unused_bytes)).add("longest_ms", sum.longest);
		_context.log.write(line);
		const std::string suffix = "_" + std::string(get_name(reason));
		_context.metrics.count("store_calls" + suffix, static_cast<double>(sum.calls));
		_context.metrics.count("store_calls_failed" + suffix, static_cast<double>(sum.refused + sum.unanswered));
		_context.metrics.count("store_bytes" + suffix, static_cast<double>(sum.bytes));
		_context.metrics.count("store_bytes_unused" + suffix, static_cast<double>(sum.unused_bytes));
	}
	_timer.set(INTERVAL);
}

} // namespace calicoscale
