/*
 * calicoscale: crash_watch.cpp
 * Finds out which requests were at work at endpoints that ended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/crash_watch.h"

namespace calicoscale {

namespace {

/** Between looks for entries that went; they are read each 0.9 s. */
constexpr duration LOOK_INTERVAL = std::chrono::milliseconds(300);

} // namespace

crash_watch::crash_watch(gateway_context &p_context, endpoint_follower &p_endpoints, std::function<void(const ended_endpoint &)> p_on_ended) :
		_context(p_context),
		_endpoints(p_endpoints),
		_on_ended(std::move(p_on_ended)),
		_probe(p_context.loop),
		_look_timer(p_context.loop, [this] { _look(); }) {
}

void crash_watch::on_run_lost(const lost_run &p_run) {
	if (!_endpoints.get_directory().is_staying(p_run.endpoint)) {
		return;
	}
	const instant now = event_loop::now();
	_context.metrics.count("runs_lost");
	_context.log.write_request(log_line("run_lost").add("request", p_run.attempt).add("fingerprint", to_string(p_run.fingerprint)).add("endpoint", p_run.endpoint.vm).add("address", to_string(p_run.address)));
	if (!_lost.add(p_run.endpoint, p_run.fingerprint, now)) {
		return;
	}
	_probe.start(p_run.address, [this, endpoint = p_run.endpoint, now](probe_end p_end) { _on_probed(endpoint, p_end, now); });
}

void crash_watch::_on_probed(const endpoint_identity &p_endpoint, probe_end p_end, instant p_lost_at) {
	const ended_endpoint ended{ p_endpoint, _lost.on_probed(p_endpoint, p_end), p_lost_at };
	_context.log.write(log_line("endpoint_probed").add("endpoint", p_endpoint.vm).add("end", get_name(p_end)).add("took_ms", event_loop::now() - p_lost_at).add("runs", static_cast<long long>(ended.runs.size())));
	if (!ended.runs.empty()) {
		_blame(ended, "probe");
	}
	if (!_lost.is_empty()) {
		_look_timer.set(LOOK_INTERVAL);
	}
}

void crash_watch::_look() {
	const auto is_listed = [this](const endpoint_identity &p_endpoint) { return _endpoints.get_directory().contains_start(p_endpoint) && !_endpoints.get_directory().is_superseded(p_endpoint); };
	for (const ended_endpoint &ended : _lost.take_ended(is_listed, event_loop::now())) {
		_blame(ended, "entry");
	}
	if (!_lost.is_empty()) {
		_look_timer.set(LOOK_INTERVAL);
	}
}

void crash_watch::_blame(const ended_endpoint &p_ended, std::string_view p_evidence) {
	for (const request_fingerprint &run : p_ended.runs) {
		_context.metrics.count("runs_lost_with_endpoint");
		_context.log.write_request(log_line("endpoint_ended_under_run").add("fingerprint", to_string(run)).add("endpoint", p_ended.endpoint.vm).add("evidence", p_evidence).add("runs", static_cast<long long>(p_ended.runs.size())));
	}
	_on_ended(p_ended);
}

} // namespace calicoscale
