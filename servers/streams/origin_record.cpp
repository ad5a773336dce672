/*
 * calicoscale: origin_record.cpp
 * The software versions at which streams may have begun, as the store keeps them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/origin_record.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

using json = nlohmann::json;

bool origin_record::contains(const std::string &p_service, const std::string &p_version) const {
	const auto service = _versions.find(p_service);
	return service != _versions.end() && service->second.contains(p_version);
}

std::optional<std::string> origin_record::find_only(const std::string &p_service) const {
	const auto service = _versions.find(p_service);
	return service != _versions.end() && service->second.size() == 1 ? std::optional(*service->second.begin()) : std::nullopt;
}

void origin_record::add(const service_versions &p_versions) {
	for (const auto &[service, versions] : p_versions) {
		_versions[service].insert(versions.begin(), versions.end());
	}
}

void origin_record::keep(const std::string &p_service, const std::set<std::string> &p_versions) {
	const auto service = _versions.find(p_service);
	if (service != _versions.end()) {
		std::erase_if(service->second, [&p_versions](const std::string &p_version) { return !p_versions.contains(p_version); });
	}
}

std::string write_origin_record(const origin_record &p_record) {
	return json{ { "era", p_record.get_era() }, { "versions", p_record.get_versions() } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<origin_record> read_origin_record(std::string_view p_text) {
	const json document = json::parse(p_text, nullptr, false);
	if (!document.is_object()) {
		return std::nullopt;
	}
	try {
		return origin_record(document.at("era").get<std::uint64_t>(), document.at("versions").get<service_versions>());
	} catch (const json::exception &) {
		return std::nullopt;
	}
}

} // namespace calicoscale
