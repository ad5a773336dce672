/*
 * calicoscale: request_timeline.cpp
 * Collects the log lines of all nodes on one request and explains its outcome.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/timeline/request_timeline.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

/** An event of an endpoint or a node up to this long before a request may explain its outcome. */
constexpr std::int64_t CONTEXT_BEFORE_MS = 3000;
/** A crashed node restarts in about a second; the event of its start shows that it crashed. */
constexpr std::int64_t CONTEXT_AFTER_MS = 3000;

struct reason_text {
	std::string_view reason;
	std::string_view text;
};

constexpr std::array<reason_text, 13> REASON_TEXTS{ {
		{ "not_ready", "the node had no configuration yet" },
		{ "not_found", "no route of the configuration in force matches its host and path" },
		{ "unauthorized", "its key is not in the configuration in force" },
		{ "configuration_unconfirmed", "its route or its key is not in the configuration known to the node, which had not been confirmed for longer than a change may take" },
		{ "bad_request", "it came without an id" },
		{ "deadline_unreachable", "the stage pools had more admitted work than would be done within the objective" },
		{ "no_endpoint", "no endpoint of the service could be used" },
		{ "connect_failed", "no endpoint of the service accepted a connection" },
		{ "refused_busy", "the endpoints that were asked were full" },
		{ "connection_lost", "the endpoint closed or reset the connection before the answer was whole" },
		{ "endpoint_error", "the endpoint, or a stage, failed" },
		{ "deadline_passed", "the deadline or the route's time-out passed" },
		{ "caller_gone", "the caller closed its connection" },
} };

std::string describe_reason(std::string_view p_reason) {
	for (const reason_text &entry : REASON_TEXTS) {
		if (entry.reason == p_reason) {
			return std::string(entry.text);
		}
	}
	return std::string(p_reason);
}

bool is_in_list(std::string_view p_list, std::string_view p_value) {
	while (!p_list.empty()) {
		const std::size_t comma = p_list.find(',');
		if (p_list.substr(0, comma) == p_value) {
			return true;
		}
		p_list.remove_prefix(comma == std::string_view::npos ? p_list.size() : comma + 1);
	}
	return false;
}

} // namespace

request_timeline::request_timeline(std::string p_request) :
		_request(std::move(p_request)) {
}

bool request_timeline::_is_about_request(const logged_event &p_entry) const {
	return p_entry.find("request") == _request || is_in_list(p_entry.find("requests"), _request);
}

bool request_timeline::_is_context(const std::string &p_node, const logged_event &p_entry) const {
	const std::string endpoint(p_entry.find("endpoint"));
	const std::string replica(p_entry.find("replica"));
	if (p_entry.event == "endpoint_changed" || p_entry.event == "endpoint_leaving") {
		return _endpoints.contains(endpoint);
	}
	if (p_entry.event == "stage_call_failed" || p_entry.event == "stage_call_overdue") {
		return _calls.contains({ p_node, std::string(p_entry.find("pool")) + "/" + std::string(p_entry.find("call")) });
	}
	if (p_entry.event == "peer_lost" || p_entry.event == "work_moved") {
		return _nodes.contains(p_node) || _nodes.contains(std::string(p_entry.find("vm"))) || _nodes.contains(std::string(p_entry.find("from")));
	}
	const bool is_lifecycle = p_entry.event == "started" || p_entry.event == "readiness" || p_entry.event == "stopping" || p_entry.event == "stopped" || p_entry.event == "work_forgotten_after_pause" || p_entry.event == "loop_held_up";
	const bool is_dependency = p_entry.event == "dependency_lost" || p_entry.event == "dependency_regained" || p_entry.event == "configuration_in_force";
	return (is_lifecycle || is_dependency || p_entry.event == "log_lines_dropped") && _nodes.contains(p_node);
}

std::int64_t request_timeline::_update_clock(node_log &r_log, const logged_event &p_entry) {
	const std::optional<std::int64_t> wall = p_entry.find_number("wall_ms");
	if (wall) {
		r_log.wall_offset = *wall - p_entry.steady_ms;
	}
	if (p_entry.event == "started" && !p_entry.find("vm").empty()) {
		r_log.node = p_entry.find("vm");
	}
	return p_entry.steady_ms + r_log.wall_offset.value_or(0);
}

void request_timeline::_add(const std::string &p_node, std::int64_t p_wall_ms, const logged_event &p_entry, bool p_is_own) {
	_lines.push_back(merged_line{ p_wall_ms, p_node, p_entry, p_is_own });
}

void request_timeline::read(const std::string &p_log, std::string_view p_line) {
	const std::optional<logged_event> entry = parse_logged_event(p_line);
	if (!entry) {
		return;
	}
	node_log &log = _logs.try_emplace(p_log, node_log{ p_log, std::nullopt }).first->second;
	const std::int64_t wall = _update_clock(log, *entry);
	if (!_is_about_request(*entry)) {
		return;
	}
	_first_ms = _lines.empty() ? wall : std::min(_first_ms, wall);
	_last_ms = _lines.empty() ? wall : std::max(_last_ms, wall);
	_has_finish = _has_finish || entry->event == "request_finished" || entry->event == "request_refused";
	_nodes.insert(log.node);
	for (const std::string_view key : { "endpoint", "replica" }) {
		if (!entry->find(key).empty()) {
			_endpoints.emplace(entry->find(key));
		}
	}
	if (!entry->find("node").empty()) {
		_nodes.emplace(entry->find("node"));
	}
	if (entry->event == "stage_call") {
		_calls.emplace(log.node, std::string(entry->find("pool")) + "/" + std::string(entry->find("call")));
	}
	_add(log.node, wall, *entry, true);
}

void request_timeline::read_context(const std::string &p_log, std::string_view p_line) {
	const std::optional<logged_event> entry = parse_logged_event(p_line);
	if (!entry || _lines.empty()) {
		return;
	}
	node_log &log = _logs.try_emplace(p_log, node_log{ p_log, std::nullopt }).first->second;
	const std::int64_t wall = _update_clock(log, *entry);
	const bool is_in_window = wall >= _first_ms - CONTEXT_BEFORE_MS && wall <= _last_ms + CONTEXT_AFTER_MS;
	if (is_in_window && !_is_about_request(*entry) && _is_context(log.node, *entry)) {
		_add(log.node, wall, *entry, false);
	}
}

const logged_event *request_timeline::_find_last(std::string_view p_event) const {
	const logged_event *last = nullptr;
	for (const merged_line &line : _lines) {
		if (line.is_own && line.entry.event == p_event) {
			last = &line.entry;
		}
	}
	return last;
}

std::string request_timeline::_explain_refusal(const logged_event &p_entry) const {
	std::string text = "Refused as not run with " + std::string(p_entry.find("status")) + ": " + describe_reason(p_entry.find("reason")) + ".";
	if (!p_entry.find("predicted_ms").empty()) {
		text += " Predicted " + std::string(p_entry.find("predicted_ms")) + " ms, allowed " + std::string(p_entry.find("allowed_ms")) + " ms.";
	}
	return text;
}

std::string request_timeline::_describe_longest_wait() const {
	std::string longest;
	std::int64_t longest_ms = 0;
	const auto update_longest = [&longest, &longest_ms](std::int64_t p_ms, const std::string &p_activity) {
		if (p_ms > longest_ms) {
			longest_ms = p_ms;
			longest = p_activity;
		}
	};
	for (const merged_line &line : _lines) {
		const std::optional<std::int64_t> ms = line.entry.find_number("took_ms");
		if (!line.is_own || !ms) {
			continue;
		}
		if (line.entry.event == "stage_done" || line.entry.event == "stage_failed") {
			update_longest(*ms, "stage " + std::string(line.entry.find("stage")) + " at pool " + std::string(line.entry.find("pool")));
		} else if (line.entry.event == "first_event") {
			update_longest(*ms, "the first event of endpoint " + std::string(line.entry.find("endpoint")));
		} else if (line.entry.event == "attempt_failed") {
			update_longest(*ms, "an attempt at endpoint " + std::string(line.entry.find("endpoint")) + " that failed");
		}
	}
	return longest.empty() ? "" : " The longest wait was " + std::to_string(longest_ms) + " ms, for " + longest + ".";
}

std::string request_timeline::_explain_finish(const logged_event &p_finish) const {
	const std::string took = std::string(p_finish.find("took_ms")) + " ms";
	if (p_finish.find("verdict") == "completed") {
		return "Answered in full after " + took + " and " + std::string(p_finish.find("sends")) + " sends." + _describe_longest_wait();
	}
	std::string text = p_finish.find("verdict") == "not_run" ? "Refused as not run after " : "Failed after ";
	text += took + ": " + describe_reason(p_finish.find("reason")) + ".";
	const logged_event *attempt = _find_last("attempt_failed");
	if (attempt != nullptr) {
		text += " The last attempt, at endpoint " + std::string(attempt->find("endpoint")) + ", ended by " + std::string(attempt->find("reason")) + ".";
	}
	const logged_event *stage = _find_last("stage_failed");
	if (stage != nullptr) {
		text += " Stage " + std::string(stage->find("stage")) + " at pool " + std::string(stage->find("pool")) + " ended by " + std::string(stage->find("end")) + ".";
	}
	return text + _describe_longest_wait();
}

std::string request_timeline::get_cause() const {
	if (!is_known()) {
		return "No line names the request: it reached none of these nodes, or its lines were dropped (see log_lines_dropped).";
	}
	const logged_event *refused = _find_last("request_refused");
	if (refused != nullptr) {
		return _explain_refusal(*refused);
	}
	const logged_event *finished = _find_last("request_finished");
	if (finished != nullptr) {
		return _explain_finish(*finished);
	}
	for (const merged_line &line : _lines) {
		if (!line.is_own && line.entry.event == "started" && line.wall_ms > _last_ms) {
			return "No end is logged: node " + line.node + " ended and started again while it had the request.";
		}
	}
	return "No end is logged: the node that had the request ended, or the line was dropped (see log_lines_dropped).";
}

std::string request_timeline::write() {
	std::stable_sort(_lines.begin(), _lines.end(), [](const merged_line &p_left, const merged_line &p_right) { return p_left.wall_ms < p_right.wall_ms; });
	std::string text;
	for (const merged_line &line : _lines) {
		text += (line.is_own ? "* " : "  ") + std::to_string(line.wall_ms - _first_ms) + " ms  " + line.node + "  " + line.entry.event;
		for (const auto &[key, value] : line.entry.fields) {
			const bool is_redundant = value == _request || key == "requests";
			text += is_redundant ? "" : " " + key + "=" + value;
		}
		text += "\n";
	}
	return text + get_cause() + "\n";
}

} // namespace calicoscale
