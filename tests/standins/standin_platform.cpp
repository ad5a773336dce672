/*
 * calicoscale: standin_platform.cpp
 * All stand-ins of one process and the switch for their faults.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_platform.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

network_address make_address(const json &p_spec, const char *p_name) {
	return network_address{ "127.0.0.1", p_spec.value(p_name, std::uint16_t(0)) };
}

endpoint_model read_model(const json &p_spec) {
	endpoint_model model;
	model.kind = find_stage_kind(p_spec.value("kind", "call")).value_or(stage_kind::CALL);
	model.slots = p_spec.value("slots", model.slots);
	model.queue = p_spec.value("queue", model.queue);
	model.base_ms = p_spec.value("base_ms", model.base_ms);
	model.per_kilobyte_ms = p_spec.value("per_kilobyte_ms", model.per_kilobyte_ms);
	model.token_ms = p_spec.value("token_ms", model.token_ms);
	model.tokens = p_spec.value("tokens", model.tokens);
	model.cached_prefixes = p_spec.value("cached_prefixes", model.cached_prefixes);
	model.reports_load = p_spec.value("reports_load", model.reports_load);
	model.report_lag_ms = p_spec.value("report_lag_ms", model.report_lag_ms);
	model.checks_give_up = p_spec.value("checks_give_up", model.checks_give_up);
	return model;
}

template <typename fault_type, std::size_t count>
bool read_fault(const std::array<enum_name<fault_type>, count> &p_names, const json &p_body, fault_setting<fault_type> &r_fault) {
	const std::optional<fault_type> fault = find_value(p_names, p_body.value("fault", "none"));
	if (!fault) {
		return false;
	}
	r_fault = fault_setting<fault_type>{ *fault, p_body.value("amount", 0.0), p_body.value("share", 1.0) };
	return true;
}

} // namespace

standin_platform::standin_platform(event_loop &p_loop, const json &p_spec) :
		_loop(p_loop),
		_log(p_loop, make_address(p_spec, "log_port")),
		_list(p_loop, make_address(p_spec, "vm_list_port"), [this](std::unique_ptr<http_exchange> p_exchange) { _show_list(*p_exchange); }),
		_control(p_loop, make_address(p_spec, "control_port"), [this](std::unique_ptr<http_exchange> p_exchange) { _on_control(std::move(p_exchange)); }) {
	_add_endpoints(p_spec);
}

void standin_platform::_add_endpoints(const json &p_spec) {
	std::uint64_t seed = p_spec.value("seed", std::uint64_t(1));
	for (const json &group : p_spec.at("pools")) {
		const std::string pool = group.at("pool").get<std::string>();
		const std::vector<std::string> zones = group.at("zones").get<std::vector<std::string>>();
		const int count = group.at("count").get<int>();
		const json labels = group.value("labels", json::object());
		for (int i = 0; i < count; i++) {
			endpoint_listing listing;
			listing.vm = pool + "-" + std::to_string(i);
			listing.incarnation = 1;
			listing.zone = zones[static_cast<std::size_t>(i) % zones.size()];
			listing.pool = pool;
			for (const auto &[key, value] : labels.items()) {
				listing.labels.values.emplace(key, value.get<std::string>());
			}
			_endpoints.push_back(std::make_unique<standin_endpoint>(_loop, network_address{ "127.0.0.1", 0 }, listing, read_model(group), seed++));
		}
	}
}

standin_endpoint *standin_platform::find_endpoint(const std::string &p_vm) {
	for (const std::unique_ptr<standin_endpoint> &endpoint : _endpoints) {
		if (endpoint->get_listing().vm == p_vm) {
			return endpoint.get();
		}
	}
	return nullptr;
}

std::string standin_platform::describe() const {
	json endpoints = json::array();
	for (const std::unique_ptr<standin_endpoint> &endpoint : _endpoints) {
		endpoints.push_back({ { "vm", endpoint->get_listing().vm }, { "pool", endpoint->get_listing().pool }, { "address", to_string(endpoint->get_listing().address) } });
	}
	return json({ { "log", to_string(_log.get_address()) }, { "vm_list", to_string(_list.get_address()) }, { "control", to_string(_control.get_address()) }, { "endpoints", endpoints } }).dump();
}

std::string standin_platform::_write_list() const {
	json vms = json::array();
	std::size_t shown = 0;
	for (const std::unique_ptr<standin_endpoint> &endpoint : _endpoints) {
		const endpoint_listing &listing = endpoint->get_listing();
		const bool is_hidden = _list_fault.fault == list_fault::SHRUNKEN && shown >= static_cast<std::size_t>(_list_fault.amount);
		if (is_hidden || _list_fault.fault == list_fault::EMPTY) {
			continue;
		}
		shown++;
		vms.push_back({ { "role", "endpoint" }, { "vm", listing.vm }, { "incarnation", listing.incarnation }, { "zone", listing.zone }, { "pool", listing.pool }, { "address", to_string(listing.address) }, { "state", listing.leaving ? "leaving" : "live" }, { "labels", listing.labels.values } });
	}
	for (const entry_vm &entry : _entries) {
		if (_list_fault.fault != list_fault::EMPTY) {
			vms.push_back({ { "role", "entry" }, { "vm", entry.vm }, { "incarnation", entry.incarnation }, { "zone", entry.zone }, { "address", entry.address }, { "state", entry.state } });
		}
	}
	return json({ { "vms", vms } }).dump();
}

void standin_platform::_show_list(http_exchange &r_exchange) {
	r_exchange.reply(200, "application/json", _list_fault.fault == list_fault::STALE ? _stale_list : _write_list());
}

void standin_platform::_on_control(std::unique_ptr<http_exchange> p_exchange) {
	http_exchange &exchange = *p_exchange;
	const std::string path = exchange.get_path();
	if (path == "/truth") {
		_show_truth(exchange);
		return;
	}
	if (path == "/most_runs") {
		const int most = _count_most_runs(exchange.find_parameter("pool").value_or(""));
		exchange.reply(200, "text/plain", std::to_string(most) + "\n");
		return;
	}
	const json body = json::parse(exchange.take_body(), nullptr, false);
	if (!body.is_object()) {
		exchange.reply(400, "text/plain", "the body must be a JSON object\n");
	} else if (path == "/fault") {
		_set_fault(exchange, body);
	} else if (path == "/entries") {
		_set_entries(exchange, body);
	} else if (path == "/truncate") {
		_log.truncate(body.value("stream", ""), body.value("earliest", std::uint64_t(0)));
		exchange.reply(200, "text/plain", "truncated\n");
	} else {
		exchange.reply(404, "text/plain", "paths: /fault /entries /truncate /truth\n");
	}
}

int standin_platform::_count_most_runs(const std::string &p_pool) const {
	std::map<std::string, int> runs;
	int most = 0;
	for (const std::unique_ptr<standin_endpoint> &endpoint : _endpoints) {
		if (endpoint->get_listing().pool != p_pool) {
			continue;
		}
		for (const auto &[marker, count] : endpoint->get_truth().runs_by_marker) {
			runs[marker] += count;
			most = std::max(most, runs[marker]);
		}
	}
	return most;
}

void standin_platform::_set_fault(http_exchange &r_exchange, const json &p_body) {
	const std::string target = p_body.value("target", "");
	bool is_known = false;
	if (target == "log") {
		fault_setting<log_fault> fault;
		is_known = read_fault(LOG_FAULT_NAMES, p_body, fault);
		if (is_known) {
			_log.set_fault(fault);
		}
	} else if (target == "vm_list") {
		fault_setting<list_fault> fault;
		is_known = read_fault(LIST_FAULT_NAMES, p_body, fault);
		if (is_known) {
			_stale_list = _write_list();
			_list_fault = fault;
			_list.set_open(fault.fault != list_fault::DOWN);
		}
	} else if (standin_endpoint *endpoint = find_endpoint(target)) {
		if (p_body.value("fault", "") == "listed_leaving") {
			endpoint->set_listed_leaving();
			is_known = true;
		} else {
			fault_setting<endpoint_fault> fault;
			is_known = read_fault(ENDPOINT_FAULT_NAMES, p_body, fault);
			if (is_known) {
				endpoint->set_fault(fault);
			}
		}
	}
	r_exchange.reply(is_known ? 200 : 400, "text/plain", is_known ? "set\n" : "unknown target or fault\n");
}

void standin_platform::_set_entries(http_exchange &r_exchange, const json &p_body) {
	_entries.clear();
	for (const json &entry : p_body.at("entries")) {
		_entries.push_back(entry_vm{ entry.at("vm").get<std::string>(), entry.value("incarnation", std::uint64_t(1)), entry.at("zone").get<std::string>(), entry.at("address").get<std::string>(), entry.value("state", "live") });
	}
	r_exchange.reply(200, "text/plain", "set\n");
}

void standin_platform::_show_truth(http_exchange &r_exchange) const {
	json pools = json::object();
	json units = json::object();
	std::map<std::string, std::map<std::string, int>> markers;
	for (const std::unique_ptr<standin_endpoint> &endpoint : _endpoints) {
		const endpoint_truth &truth = endpoint->get_truth();
		json &pool = pools.emplace(endpoint->get_listing().pool, json::object()).first.value();
		pool["runs"] = pool.value("runs", std::uint64_t(0)) + truth.runs;
		pool["refused"] = pool.value("refused", std::uint64_t(0)) + truth.refused;
		pool["prefix_hits"] = pool.value("prefix_hits", std::uint64_t(0)) + truth.prefix_hits;
		pool["prefix_misses"] = pool.value("prefix_misses", std::uint64_t(0)) + truth.prefix_misses;
		pool["by_vm"][endpoint->get_listing().vm] = truth.runs;
		for (const auto &[customer, amount] : truth.units_by_customer) {
			json &cell = units[endpoint->get_listing().pool][customer];
			cell = (cell.is_null() ? 0.0 : cell.get<double>()) + amount;
		}
		for (const auto &[marker, runs] : truth.runs_by_marker) {
			markers[endpoint->get_listing().pool][marker] += runs;
		}
	}
	for (const auto &[pool, runs] : markers) {
		int most = 0;
		std::uint64_t repeated = 0;
		for (const auto &[marker, count] : runs) {
			most = std::max(most, count);
			repeated += count > 1 ? 1 : 0;
		}
		pools[pool]["most_runs_of_one_request"] = most;
		pools[pool]["requests_run_more_than_once"] = repeated;
	}
	r_exchange.reply(200, "application/json", json({ { "pools", pools }, { "units", units }, { "log_appends", _log.get_appends() }, { "log_reads", _log.get_reads() } }).dump() + "\n");
}

} // namespace calicoscale
