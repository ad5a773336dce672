/*
 * calicoscale: node_settings.cpp
 * Settings of one node, read from a checked JSON document.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/node_settings.h"

#include "servers/configuration/document_schema.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

/** Reads addresses and records a problem for each that is invalid. */
class address_reader {
	std::vector<document_problem> &_problems;

public:
	explicit address_reader(std::vector<document_problem> &r_problems) :
			_problems(r_problems) {}

	network_address read(const json &p_value, const std::string &p_path, bool p_may_be_zero) const {
		const std::string text = p_value.get<std::string>();
		const network_address address = parse_network_address(text);
		in_addr parsed{};
		const bool is_host = inet_pton(AF_INET, address.host.c_str(), &parsed) == 1;
		const bool is_zero_port = address.port == 0 && text.ends_with(":0");
		if (!is_host || (address.port == 0 && !(is_zero_port && p_may_be_zero))) {
			const std::string expected = p_may_be_zero ? "an IPv4 address and a port, 0 for any" : "an IPv4 address and a port from 1 to 65535";
			_problems.push_back(document_problem{ p_path, "\"" + text + "\"", expected });
		}
		return address;
	}
};

caller_limits read_limits(const json &p_document) {
	caller_limits limits;
	limits.header_bytes = p_document.value("header_bytes", limits.header_bytes);
	limits.body_bytes = p_document.value("body_bytes", limits.body_bytes);
	limits.open_requests = p_document.value("open_requests", limits.open_requests);
	limits.idle_seconds = p_document.value("caller_idle_seconds", limits.idle_seconds);
	limits.queued_requests = p_document.value("queued_requests", limits.queued_requests);
	if (p_document.contains("longest_deadline_ms")) {
		limits.longest_deadline = std::chrono::milliseconds(p_document.at("longest_deadline_ms").get<int>());
	}
	return limits;
}

drain_settings read_drain(const json &p_document) {
	drain_settings drain;
	drain.listen = from_seconds(p_document.value("listen_seconds", to_seconds(drain.listen)));
	drain.longest = from_seconds(p_document.value("longest_seconds", to_seconds(drain.longest)));
	return drain;
}

void check_consistency(const node_settings &p_settings, std::vector<document_problem> &r_problems) {
	const duration idle = std::chrono::seconds(p_settings.limits.idle_seconds);
	if (idle <= p_settings.limits.longest_deadline) {
		const std::string found = std::to_string(p_settings.limits.idle_seconds) + " seconds";
		r_problems.push_back(document_problem{ "/limits/caller_idle_seconds", found, "more than longest_deadline_ms, or waiting callers are cut off" });
	}
	if (p_settings.drain.longest < p_settings.drain.listen) {
		r_problems.push_back(document_problem{ "/drain/longest_seconds", "less than listen_seconds", "at least listen_seconds" });
	}
	const bool is_same = p_settings.caller_address == p_settings.admin_address || p_settings.admin_address == p_settings.link_address || p_settings.caller_address == p_settings.link_address;
	if (is_same && p_settings.caller_address.port != 0) {
		r_problems.push_back(document_problem{ "/link_address", "an address used twice", "three different addresses for callers, operators and links" });
	}
}

} // namespace

node_settings parse_settings(std::string_view p_text) {
	const json document = parse_checked(schema_name::SETTINGS, p_text);
	std::vector<document_problem> problems;
	const address_reader addresses(problems);
	node_settings settings;
	settings.vm = document.at("vm").get<std::string>();
	settings.zone = document.at("zone").get<std::string>();
	settings.region = document.at("region").get<std::string>();
	settings.caller_address = addresses.read(document.at("caller_address"), "/caller_address", true);
	settings.admin_address = addresses.read(document.at("admin_address"), "/admin_address", true);
	settings.link_address = addresses.read(document.at("link_address"), "/link_address", true);
	settings.admin_key = document.value("admin_key", "");
	settings.fleet_key = document.value("fleet_key", "");
	const json &platform = document.at("platform");
	settings.platform.log = addresses.read(platform.at("log"), "/platform/log", false);
	settings.platform.vm_list = addresses.read(platform.at("vm_list"), "/platform/vm_list", false);
	if (platform.contains("log_retention_seconds")) {
		settings.platform.log_retention = std::chrono::seconds(platform.at("log_retention_seconds").get<int>());
	}
	const json peers = document.value("peers", json::array());
	for (std::size_t i = 0; i < peers.size(); i++) {
		settings.peers.push_back(addresses.read(peers[i], "/peers/" + std::to_string(i), false));
	}
	settings.limits = read_limits(document.value("limits", json::object()));
	settings.drain = read_drain(document.value("drain", json::object()));
	settings.timeline_events = document.value("timeline_events", settings.timeline_events);
	settings.log_level = document.value("log_level", settings.log_level);
	settings.random_seed = document.value("random_seed", settings.random_seed);
	settings.allow_fault_injection = document.value("allow_fault_injection", settings.allow_fault_injection);
	check_consistency(settings, problems);
	if (!problems.empty()) {
		throw document_error(std::move(problems));
	}
	return settings;
}

} // namespace calicoscale
