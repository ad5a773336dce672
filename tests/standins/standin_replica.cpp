/*
 * calicoscale: standin_replica.cpp
 * Stand-in for a replica of the platform: plain services, streams and stages.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_replica.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr int EVENTS_IN_STREAM = 4;

std::uint64_t make_start_time() {
	static std::uint64_t newest = 0;
	newest = std::max(newest + 1, static_cast<std::uint64_t>(event_loop::wall()));
	return newest;
}

} // namespace

standin_replica::standin_replica(event_loop &p_loop, std::string p_name) :
		_loop(p_loop),
		_name(std::move(p_name)),
		_born(make_start_time()),
		_server(std::make_unique<caller_server>(p_loop, network_address{ "127.0.0.1", 0 }, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _on_exchange(p_exchange); })),
		_address(_server->get_address()) {
}

void standin_replica::end_process() {
	if (has_ended()) {
		return;
	}
	_server.reset();
	if (on_ended) {
		on_ended();
	}
}

std::string standin_replica::get_entry(const std::string &p_service, bool p_leaving) const {
	return json{ { "service", p_service }, { "address", to_string(get_address()) }, { "zone", zone }, { "version", version }, { "slots", 4 }, { "state", p_leaving ? "draining" : "ready" }, { "seq_no", 1 }, { "born", _born } }.dump();
}

bool standin_replica::is_held_gone() const {
	return !_held.empty() && std::all_of(_held.begin(), _held.end(), [](const std::shared_ptr<caller_exchange> &p_entry) { return p_entry->is_gone(); });
}

std::size_t standin_replica::get_most_arrivals(duration p_span, instant p_since) const {
	std::size_t most = 0;
	for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), p_since); first != arrivals.end(); ++first) {
		const auto behind = std::lower_bound(first, arrivals.end(), *first + p_span);
		most = std::max(most, static_cast<std::size_t>(behind - first));
	}
	return most;
}

std::vector<http_header> standin_replica::_make_notices() const {
	std::vector<http_header> headers;
	if (cold_ms > 0) {
		headers.push_back({ "X-Cold-Ms", std::to_string(cold_ms) });
	}
	if (says_leaving) {
		headers.push_back({ "Server-Leaving", "1" });
	}
	if (!rate_limit.empty()) {
		headers.push_back({ "Server-Limit", rate_limit });
	}
	return headers;
}

std::vector<http_header> standin_replica::_make_headers(const caller_exchange &p_exchange) const {
	const std::string *attempt = p_exchange.head.find("X-Attempt-Id");
	std::vector<http_header> headers = _make_notices();
	headers.push_back({ "X-Replica-Seal", _name });
	if (attempt != nullptr) {
		headers.push_back({ "X-Attempt-Id", *attempt });
	}
	return headers;
}

void standin_replica::_on_exchange(const std::shared_ptr<caller_exchange> &p_exchange) {
	const std::string *expected = p_exchange->head.find("X-Expect-Replica");
	if (expected != nullptr && *expected != _name) {
		meant_for_others++;
		p_exchange->reply(421, { { "X-Replica-Id", _name } }, "");
		return;
	}
	arrivals.push_back(event_loop::now());
	if (const std::string *attempt = p_exchange->head.find("X-Attempt-Id")) {
		arrivals_by_request[*attempt]++;
	}
	const bool is_release = p_exchange->head.target == "/stage-free";
	if (mode == replica_mode::SHED && !is_release) {
		std::vector<http_header> headers = _make_notices();
		headers.push_back({ "X-Not-Executed", "1" });
		if (!retry_after.empty()) {
			headers.push_back({ "Retry-After", retry_after });
		}
		p_exchange->reply(503, headers, "");
		return;
	}
	if (p_exchange->head.target == "/stage-run") {
		if (on_stage_call) {
			on_stage_call();
		}
		if (!ending_key.empty() && p_exchange->body.find('"' + ending_key + '"') != std::string::npos) {
			_loop.post([this] { end_process(); });
			return;
		}
		if (hold_stages) {
			_held_stages.push_back(p_exchange);
		} else {
			_run_stage(*p_exchange);
		}
		return;
	}
	if (p_exchange->head.target == "/stage-free") {
		const json document = json::parse(p_exchange->body);
		for (const json &handle : document.at("handles")) {
			results.erase(handle.get<std::string>());
		}
		p_exchange->reply(200, {}, "");
		return;
	}
	runs.push_back(seen_request{ p_exchange->head, p_exchange->body });
	if (mode == replica_mode::END || (!ending_body.empty() && p_exchange->body == ending_body)) {
		// From the loop, as this runs inside one of its connections.
		_loop.post([this] { end_process(); });
		return;
	}
	if (_has_ending_part()) {
		_end_while_answering(*p_exchange);
		return;
	}
	switch (mode) {
		case replica_mode::FAIL:
			p_exchange->reply(500, _make_headers(*p_exchange), "failed");
			return;
		case replica_mode::RESET_AFTER_RUN:
			p_exchange->abort();
			return;
		case replica_mode::WITHOUT_SEAL:
			p_exchange->reply(200, { { "X-Attempt-Id", runs.back().get("X-Attempt-Id") } }, "forged");
			return;
		case replica_mode::HOLD:
			_held.push_back(p_exchange);
			return;
		default:
			break;
	}
	if (p_exchange->head.target.starts_with("/stream/")) {
		_stream(*p_exchange);
		return;
	}
	p_exchange->reply(200, _make_headers(*p_exchange), "made by " + _name);
}

bool standin_replica::_has_ending_part() const {
	const std::string prompt = runs.back().get("X-Prefix-Hash");
	const std::string before_last = prompt.substr(0, prompt.rfind(',') + 1);
	return std::any_of(ending_parts.begin(), ending_parts.end(), [&before_last](const std::string &p_part) { return ("," + before_last).find("," + p_part + ":") != std::string::npos; });
}

void standin_replica::_end_while_answering(caller_exchange &p_exchange) {
	p_exchange.start(200, _make_headers(p_exchange));
	p_exchange.send("id: 1\nda");
	_loop.post([this] { end_process(); });
}

void standin_replica::_stream(caller_exchange &p_exchange) {
	const std::string last = runs.back().get("Last-Event-Id");
	const int first = last.empty() ? 1 : std::stoi(last) + 1;
	std::vector<http_header> headers = _make_headers(p_exchange);
	headers.push_back({ "Content-Type", "text/event-stream" });
	p_exchange.start(200, headers);
	for (int id = first; id <= EVENTS_IN_STREAM; id++) {
		const std::string event = "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + (names_version ? "@" + version : "") + "\n\n";
		if (mode == replica_mode::BREAK_STREAM && first == 1 && id == 2) {
			p_exchange.send(event.substr(0, event.size() / 2));
			p_exchange.abort();
			return;
		}
		p_exchange.send(event);
		if (mode == replica_mode::HOLD_STREAM && first == 1) {
			return;
		}
	}
	p_exchange.end();
}

void standin_replica::run_held_stages() {
	hold_stages = false;
	for (const std::shared_ptr<caller_exchange> &exchange : _held_stages) {
		if (!exchange->is_gone()) {
			_run_stage(*exchange);
		}
	}
	_held_stages.clear();
}

void standin_replica::_run_stage(caller_exchange &p_exchange) {
	stage_calls++;
	json items = json::array();
	const json document = json::parse(p_exchange.body);
	for (const json &item : document.at("items")) {
		const std::vector<std::string> inputs = item.value("inputs", std::vector<std::string>());
		if (!missing_input.empty() && std::find(inputs.begin(), inputs.end(), missing_input) != inputs.end()) {
			missing_input.clear();
			items.push_back({ { "reason", "gone" } });
			continue;
		}
		stage_items.push_back(item.at("id").get<std::string>() + "." + std::to_string(item.at("stage").get<int>()) + "." + std::to_string(item.at("segment").get<int>()));
		item_inputs[stage_items.back()] = inputs;
		if (results.size() >= most_results) {
			pieces_without_room++;
			items.push_back({ { "reason", "room" } });
			continue;
		}
		const std::string handle = to_string(get_address()) + "/" + std::to_string(_next_handle++);
		results.insert(handle);
		items.push_back({ { "handle", handle } });
	}
	std::vector<http_header> headers = _make_notices();
	headers.push_back({ "Content-Type", "application/json" });
	p_exchange.reply(200, headers, json{ { "items", items } }.dump());
}

} // namespace calicoscale
