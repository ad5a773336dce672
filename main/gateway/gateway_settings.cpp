/*
 * calicoscale: gateway_settings.cpp
 * Settings of a gateway, read from a checked JSON document.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/gateway_settings.h"

#include "servers/configuration/document_schema.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr double BYTES_PER_MB = 1e6;
constexpr double BYTES_PER_MBIT = 1e6 / 8.0;

network_address read_address(const json &p_document, const char *p_name, std::vector<document_problem> &r_problems) {
	const std::string text = p_document.at(p_name).get<std::string>();
	const network_address address = parse_network_address(text);
	if (address.port == 0 && !text.ends_with(":0")) {
		r_problems.push_back(document_problem{ std::string("/") + p_name, "\"" + text + "\"", "an IPv4 address and a port" });
	}
	return address;
}

} // namespace

gateway_settings parse_gateway_settings(std::string_view p_text) {
	const json document = parse_checked(schema_name::GATEWAY_SETTINGS, p_text);
	std::vector<document_problem> problems;
	gateway_settings settings;
	settings.vm = document.at("vm").get<std::string>();
	settings.zone = document.at("zone").get<std::string>();
	settings.region = document.value("region", "");
	settings.caller_address = read_address(document, "caller_address", problems);
	settings.readiness_address = read_address(document, "readiness_address", problems);
	settings.link_address = read_address(document, "link_address", problems);
	settings.store_address = read_address(document, "store_address", problems);
	if (document.contains("metrics_address")) {
		settings.metrics_address = read_address(document, "metrics_address", problems);
	}
	for (const json &peer : document.value("peers", json::array())) {
		settings.peers.push_back(parse_network_address(peer.get<std::string>()));
	}
	const json store = document.value("store", json::object());
	settings.store.reads_per_second = store.value("reads_per_second", settings.store.reads_per_second);
	const double read_bytes = store.value("read_mb_per_second", settings.store.bytes_per_second / BYTES_PER_MB) * BYTES_PER_MB;
	const double topic_bytes = store.value("topic_mb_per_second", settings.store.bytes_per_second / BYTES_PER_MB) * BYTES_PER_MB;
	settings.store.bytes_per_second = std::min(read_bytes, topic_bytes);
	settings.fleet_key = document.value("fleet_key", "");
	const json retries = document.value("retries", json::object());
	settings.retries.ratio = retries.value("ratio", settings.retries.ratio);
	settings.retries.slack = retries.value("slack", settings.retries.slack);
	settings.retries.window = from_seconds(retries.value("window_seconds", to_seconds(settings.retries.window)));
	settings.cores = document.value("cores", settings.cores);
	settings.memory_bytes = document.value("memory_mb", settings.memory_bytes / BYTES_PER_MB) * BYTES_PER_MB;
	settings.descriptors = document.value("descriptors", settings.descriptors);
	settings.link_bytes = document.value("link_mbps", settings.link_bytes / BYTES_PER_MBIT) * BYTES_PER_MBIT;
	settings.configuration_apply = std::chrono::milliseconds(document.value("configuration_apply_ms", static_cast<long long>(to_milliseconds(settings.configuration_apply))));
	settings.evacuation_apply = std::chrono::milliseconds(document.value("evacuation_apply_ms", static_cast<long long>(to_milliseconds(settings.evacuation_apply))));
	const json rollouts = document.value("rollouts", json::object());
	settings.rollouts.exposure_share = rollouts.value("exposure_share", settings.rollouts.exposure_share);
	settings.rollouts.rollback = std::chrono::milliseconds(rollouts.value("rollback_ms", static_cast<long long>(to_milliseconds(settings.rollouts.rollback))));
	settings.regions = document.value("regions", settings.regions);
	settings.is_first_start = document.value("first_start", settings.is_first_start);
	settings.stop_grace = from_seconds(document.value("stop_grace_seconds", to_seconds(settings.stop_grace)));
	for (const json &name : document.value("ablation", json::array())) {
		const std::optional<mechanism> found = find_mechanism(name.get<std::string>());
		if (found) {
			settings.mechanisms.switch_off(*found);
		} else {
			problems.push_back(document_problem{ "/ablation", "\"" + name.get<std::string>() + "\"", "the name of a mechanism" });
		}
	}
	if (!problems.empty()) {
		throw document_error(std::move(problems));
	}
	return settings;
}

} // namespace calicoscale
