/*
 * calicoscale: timeline_merge.cpp
 * Sorts the events of many processes and formats them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/timeline/timeline_merge.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <tuple>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr unix_milliseconds MILLISECONDS_PER_DAY = 86'400'000;

std::string write_clock(const hybrid_time &p_time) {
	const unix_milliseconds of_day = p_time.wall % MILLISECONDS_PER_DAY;
	std::array<char, 32> buffer{};
	const int hours = static_cast<int>(of_day / 3'600'000);
	const int minutes = static_cast<int>(of_day / 60'000 % 60);
	const int seconds = static_cast<int>(of_day / 1000 % 60);
	const int thousandths = static_cast<int>(of_day % 1000);
	std::snprintf(buffer.data(), buffer.size(), "%02d:%02d:%02d.%03d+%u", hours, minutes, seconds, thousandths, p_time.counter);
	return buffer.data();
}

std::string pad(const std::string &p_text, std::size_t p_width) {
	return p_text.size() >= p_width ? p_text : p_text + std::string(p_width - p_text.size(), ' ');
}

std::string write_table(const std::vector<node_event> &p_events) {
	std::string text = pad("time (UTC)", 20) + pad("node", 16) + pad("event", 24) + pad("request", 35) + pad("subject", 26) + "detail\n";
	for (const node_event &entry : p_events) {
		const timeline_event &event = entry.event;
		text += pad(write_clock(event.at), 19) + " " + pad(entry.node, 15) + " " + pad(std::string(get_name(event.kind)), 23) + " ";
		text += pad(event.request.empty() ? "-" : event.request, 34) + " " + pad(event.subject, 25) + " " + event.detail;
		if (event.elapsed_microseconds >= 0) {
			text += " (" + std::to_string(event.elapsed_microseconds / 1000) + " ms)";
		}
		text += "\n";
	}
	return text;
}

std::string write_json_lines(const std::vector<node_event> &p_events) {
	std::string text;
	for (const node_event &entry : p_events) {
		json line;
		line["wall"] = entry.event.at.wall;
		line["counter"] = entry.event.at.counter;
		line["node"] = entry.node;
		line["incarnation"] = entry.incarnation;
		line["event"] = get_name(entry.event.kind);
		line["request"] = entry.event.request;
		line["subject"] = entry.event.subject;
		line["detail"] = entry.event.detail;
		if (entry.event.elapsed_microseconds >= 0) {
			line["elapsed_microseconds"] = entry.event.elapsed_microseconds;
		}
		text += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
	}
	return text;
}

std::string write_trace(const std::vector<node_event> &p_events) {
	json events = json::array();
	std::map<std::string, int> processes;
	for (const node_event &entry : p_events) {
		const auto [process, is_new] = processes.try_emplace(entry.node, static_cast<int>(processes.size()) + 1);
		if (is_new) {
			events.push_back({ { "ph", "M" }, { "name", "process_name" }, { "pid", process->second }, { "args", { { "name", entry.node } } } });
		}
		const std::int64_t end = entry.event.at.wall * 1000 + entry.event.at.counter;
		json event;
		event["name"] = std::string(get_name(entry.event.kind)) + " " + entry.event.subject;
		event["cat"] = get_name(entry.event.kind);
		event["pid"] = process->second;
		event["tid"] = 1;
		event["args"] = { { "request", entry.event.request }, { "detail", entry.event.detail } };
		if (entry.event.elapsed_microseconds >= 0) {
			event["ph"] = "X";
			event["ts"] = end - entry.event.elapsed_microseconds;
			event["dur"] = entry.event.elapsed_microseconds;
		} else {
			event["ph"] = "i";
			event["s"] = "p";
			event["ts"] = end;
		}
		events.push_back(std::move(event));
	}
	return json({ { "traceEvents", events } }).dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

void sort_events(std::vector<node_event> &r_events) {
	std::stable_sort(r_events.begin(), r_events.end(), [](const node_event &p_left, const node_event &p_right) {
		return std::tie(p_left.event.at, p_left.node) < std::tie(p_right.event.at, p_right.node);
	});
}

std::string write_timeline(const std::vector<node_event> &p_events, timeline_format p_format) {
	switch (p_format) {
		case timeline_format::TABLE:
			return write_table(p_events);
		case timeline_format::JSON_LINES:
			return write_json_lines(p_events);
		case timeline_format::TRACE:
			return write_trace(p_events);
	}
	return "";
}

} // namespace calicoscale
