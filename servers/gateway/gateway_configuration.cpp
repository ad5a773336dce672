/*
 * calicoscale: gateway_configuration.cpp
 * One version of a gateway's configuration: routes, services, customers and limits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/gateway_configuration.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

std::string make_host_key(std::string_view p_host) {
	const std::size_t port = p_host.find(':');
	std::string key(p_host.substr(0, port));
	std::transform(key.begin(), key.end(), key.begin(), [](char p_char) {
		return p_char >= 'A' && p_char <= 'Z' ? static_cast<char>(p_char - 'A' + 'a') : p_char;
	});
	return key;
}

} // namespace

void gateway_configuration::add_key(std::string_view p_key, std::size_t p_customer) {
	_customers_by_key[sha256_hex(p_key)] = p_customer;
}

void gateway_configuration::index() {
	for (std::size_t i = 0; i < routes.size(); i++) {
		_routes_by_host[make_host_key(routes[i].host)].push_back(i);
	}
	for (auto &[host, indices] : _routes_by_host) {
		std::stable_sort(indices.begin(), indices.end(), [this](std::size_t p_left, std::size_t p_right) {
			return routes[p_left].path_prefix.size() > routes[p_right].path_prefix.size();
		});
	}
}

const gateway_route *gateway_configuration::find_route(std::string_view p_host, std::string_view p_path) const {
	const auto found = _routes_by_host.find(make_host_key(p_host));
	if (found == _routes_by_host.end()) {
		return nullptr;
	}
	for (const std::size_t index : found->second) {
		if (p_path.starts_with(routes[index].path_prefix)) {
			return &routes[index];
		}
	}
	return nullptr;
}

const gateway_customer *gateway_configuration::find_customer(std::string_view p_key) const {
	const auto found = _customers_by_key.find(sha256_hex(p_key));
	return found == _customers_by_key.end() ? nullptr : &customers[found->second];
}

const gateway_service *gateway_configuration::find_service(const std::string &p_name) const {
	const auto found = services.find(p_name);
	return found == services.end() ? nullptr : &found->second;
}

const std::string &choose_service(const gateway_route &p_route, double p_unit) {
	double total = 0.0;
	for (const service_share &share : p_route.services) {
		total += share.weight;
	}
	double remaining = p_unit * total;
	for (const service_share &share : p_route.services) {
		remaining -= share.weight;
		if (remaining < 0.0 && share.weight > 0.0) {
			return share.service;
		}
	}
	return p_route.services.front().service;
}

} // namespace calicoscale
