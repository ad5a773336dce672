/*
 * calicoscale: standin_log.cpp
 * Stand-in for the platform's append-only log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_log.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::string_view PREFIX = "/v1/streams/";
constexpr std::string_view SUFFIX = "/records";

} // namespace

standin_log::standin_log(event_loop &p_loop, const network_address &p_address) :
		_loop(p_loop),
		_server(p_loop, p_address, [this](std::unique_ptr<http_exchange> p_exchange) { _on_exchange(std::move(p_exchange)); }) {
}

void standin_log::set_fault(const fault_setting<log_fault> &p_fault) {
	_fault = p_fault;
	_server.set_open(p_fault.fault != log_fault::DOWN);
	if (p_fault.fault != log_fault::HANG) {
		_hanging.clear();
	}
}

void standin_log::truncate(const std::string &p_stream, std::uint64_t p_earliest) {
	std::deque<record> &records = _streams[p_stream].records;
	while (!records.empty() && records.front().offset < p_earliest) {
		records.pop_front();
	}
}

std::uint64_t standin_log::append(const std::string &p_stream, const std::string &p_data) {
	stream &target = _streams[p_stream];
	target.records.push_back(record{ target.next, p_data });
	_appends++;
	return target.next++;
}

void standin_log::_delayed(std::function<void()> p_hook) {
	std::erase_if(_delays, [](const delayed_answer &p_delay) { return p_delay.is_over; });
	delayed_answer &delay = _delays.emplace_back();
	delay.wait = std::make_unique<timer>(_loop, [&delay, hook = std::move(p_hook)] {
		hook();
		delay.is_over = true;
	});
	delay.wait->set(duration(static_cast<duration::rep>(_fault.amount * 1000.0)));
}

void standin_log::_on_exchange(std::unique_ptr<http_exchange> p_exchange) {
	const std::shared_ptr<http_exchange> exchange = std::move(p_exchange);
	const std::string path = exchange->get_path();
	if (!path.starts_with(PREFIX) || !path.ends_with(SUFFIX)) {
		exchange->reply(404, "text/plain", "no such path\n");
		return;
	}
	const std::string name = path.substr(PREFIX.size(), path.size() - PREFIX.size() - SUFFIX.size());
	if (_fault.fault == log_fault::HANG) {
		_hanging.push_back(exchange);
		return;
	}
	const auto act = [this, exchange, name] {
		if (exchange->is_post()) {
			_append(exchange, name);
		} else {
			_read(*exchange, name);
		}
	};
	if (_fault.fault == log_fault::SLOW) {
		_delayed(act);
		return;
	}
	act();
}

void standin_log::_append(const std::shared_ptr<http_exchange> &p_exchange, const std::string &p_stream) {
	if (_fault.fault == log_fault::REFUSE) {
		p_exchange->reply(503, "text/plain", "refused\n", { { "Not-Appended", "true" } });
		return;
	}
	_turn++;
	if (_fault.fault == log_fault::ERROR && _turn % 2 == 0) {
		p_exchange->reply(500, "text/plain", "error\n");
		return;
	}
	const std::uint64_t offset = append(p_stream, p_exchange->take_body());
	if (_fault.fault == log_fault::ERROR) {
		p_exchange->reply(500, "text/plain", "error\n");
		return;
	}
	if (_fault.fault == log_fault::LOSE_ANSWER) {
		p_exchange->start_stream(200, "application/json");
		p_exchange->break_stream();
		return;
	}
	p_exchange->reply(200, "application/json", json({ { "offset", offset } }).dump());
}

void standin_log::_read(http_exchange &r_exchange, const std::string &p_stream) {
	_reads++;
	const stream &source = _streams[p_stream];
	const std::uint64_t from = std::stoull(r_exchange.find_parameter("from").value_or("0"));
	const std::size_t most = std::stoull(r_exchange.find_parameter("most").value_or("100"));
	json records = json::array();
	for (const record &entry : source.records) {
		if (entry.offset >= from && records.size() < most) {
			records.push_back({ { "offset", entry.offset }, { "data", entry.data } });
		}
	}
	const std::uint64_t earliest = source.records.empty() ? source.next : source.records.front().offset;
	r_exchange.reply(200, "application/json", json({ { "earliest", earliest }, { "next", source.next }, { "records", records } }).dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace calicoscale
