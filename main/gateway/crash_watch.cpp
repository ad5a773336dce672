/*
 * calicoscale: crash_watch.cpp
 * Finds out which requests were running at endpoints that crashed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/crash_watch.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Interval between checks of the list for removed endpoints. The list is read each 0.9 s. */
constexpr duration LIST_CHECK_INTERVAL = std::chrono::milliseconds(300);
/** Maximum number of parts of a prompt in a log line. */
constexpr std::size_t MAX_LOGGED_PARTS = 16;

std::string list_parts(const std::vector<request_fingerprint> &p_parts) {
	std::string list;
	for (std::size_t i = 0; i < std::min(p_parts.size(), MAX_LOGGED_PARTS); i++) {
		list += (i == 0 ? "" : ",") + to_string(p_parts[i]);
	}
	return list;
}

} // namespace

crash_watch::crash_watch(gateway_context &p_context, endpoint_follower &p_endpoints, endpoint_exchanges &p_exchanges, std::function<void(const crashed_endpoint &)> p_on_crashed) :
		_context(p_context),
		_endpoints(p_endpoints),
		_exchanges(p_exchanges),
		_on_crashed(std::move(p_on_crashed)),
		_probe(p_context.loop, p_context.channels.get_path_faults()),
		_list_check_timer(p_context.loop, [this] { _check_list(); }) {
}

void crash_watch::on_run_interrupted(const interrupted_run &p_run) {
	if (!_endpoints.get_directory().is_staying(p_run.endpoint)) {
		return;
	}
	const instant now = event_loop::now();
	_context.metrics.count("runs_lost");
	_context.log.write_request(log_line("run_lost").add("request", p_run.attempt).add("fingerprint", to_string(p_run.fingerprint)).add("endpoint", p_run.endpoint.vm).add("address", to_string(p_run.address)).add("parts", list_parts(p_run.parts)));
	bool must_probe = _interrupted.add(p_run.endpoint, p_run.fingerprint, now);
	for (const request_fingerprint &part : p_run.parts) {
		must_probe = _interrupted.add(p_run.endpoint, part, now) || must_probe;
	}
	if (!must_probe) {
		return;
	}
	_probe.start(p_run.address, [this, p_run, now](probe_end p_end) { _on_probed(p_run, p_end, now); });
}

void crash_watch::_on_probed(const interrupted_run &p_run, probe_end p_end, instant p_interrupted_at) {
	if (p_end == probe_end::REFUSED) {
		_exchanges.on_connection_failed(p_run.service, p_run.endpoint.vm);
	}
	// A lost path may also refuse connections. While it is in doubt, only the endpoint's entry shows whether the endpoint has exited.
	const probe_end end = _exchanges.is_reached(p_run.service) ? p_end : probe_end::SILENT;
	const crashed_endpoint crashed{ p_run.endpoint, _interrupted.on_probed(p_run.endpoint, end), p_interrupted_at };
	_context.log.write(log_line("endpoint_probed").add("endpoint", p_run.endpoint.vm).add("end", get_name(p_end)).add("is_reached", _exchanges.is_reached(p_run.service) ? "yes" : "no").add("took_ms", event_loop::now() - p_interrupted_at).add("runs", static_cast<long long>(crashed.runs.size())));
	if (!crashed.runs.empty()) {
		_report_crashed(crashed, "probe");
	}
	if (!_interrupted.is_empty()) {
		_list_check_timer.set(LIST_CHECK_INTERVAL);
	}
}

void crash_watch::_check_list() {
	const auto is_listed = [this](const endpoint_identity &p_endpoint) { return _endpoints.get_directory().contains_start(p_endpoint) && !_endpoints.get_directory().is_superseded(p_endpoint); };
	for (const crashed_endpoint &crashed : _interrupted.take_ended(is_listed, event_loop::now())) {
		_report_crashed(crashed, "entry");
	}
	if (!_interrupted.is_empty()) {
		_list_check_timer.set(LIST_CHECK_INTERVAL);
	}
}

void crash_watch::_report_crashed(const crashed_endpoint &p_crashed, std::string_view p_evidence) {
	for (const request_fingerprint &run : p_crashed.runs) {
		_context.metrics.count("runs_lost_with_endpoint");
		_context.log.write_request(log_line("endpoint_ended_under_run").add("fingerprint", to_string(run)).add("endpoint", p_crashed.endpoint.vm).add("evidence", p_evidence).add("runs", static_cast<long long>(p_crashed.runs.size())));
	}
	_on_crashed(p_crashed);
}

} // namespace calicoscale
