/*
 * calicoscale: vm_list.cpp
 * The platform's list of live and leaving VMs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/vm_list.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr duration FETCH_TIMEOUT = std::chrono::seconds(2);
constexpr std::size_t MAX_LIST_BYTES = 16 * 1024 * 1024;
constexpr int STATUS_OK = 200;

endpoint_listing read_endpoint(const json &p_vm) {
	endpoint_listing listing;
	listing.vm = p_vm.at("vm").get<std::string>();
	listing.incarnation = p_vm.at("incarnation").get<std::uint64_t>();
	listing.zone = p_vm.at("zone").get<std::string>();
	listing.pool = p_vm.at("pool").get<std::string>();
	listing.address = parse_network_address(p_vm.at("address").get<std::string>());
	listing.leaving = p_vm.value("state", "live") == "leaving";
	if (p_vm.contains("labels")) {
		for (const auto &[key, value] : p_vm.at("labels").items()) {
			listing.labels.values.emplace(key, value.get<std::string>());
		}
	}
	listing.labels.values.insert_or_assign("zone", listing.zone);
	listing.labels.values.insert_or_assign("pool", listing.pool);
	return listing;
}

entry_listing read_entry(const json &p_vm) {
	entry_listing listing;
	listing.vm = p_vm.at("vm").get<std::string>();
	listing.incarnation = p_vm.at("incarnation").get<std::uint64_t>();
	listing.zone = p_vm.at("zone").get<std::string>();
	listing.link = parse_network_address(p_vm.at("address").get<std::string>());
	listing.leaving = p_vm.value("state", "live") == "leaving";
	return listing;
}

std::optional<vm_listing> parse_listing(const http_result &p_result) {
	if (p_result.failure != http_failure::NONE || p_result.status != STATUS_OK || !p_result.has_length) {
		return std::nullopt;
	}
	const json answer = json::parse(p_result.body, nullptr, false);
	try {
		vm_listing listing;
		listing.bytes = p_result.body.size();
		for (const json &vm : answer.at("vms")) {
			const std::string role = vm.at("role").get<std::string>();
			if (role == "endpoint") {
				listing.endpoints.push_back(read_endpoint(vm));
			} else if (role == "entry") {
				listing.entries.push_back(read_entry(vm));
			}
		}
		return listing;
	} catch (const json::exception &) {
		return std::nullopt;
	}
}

} // namespace

vm_list::vm_list(http_client &p_client, network_address p_address) :
		_client(p_client), _address(std::move(p_address)) {
}

void vm_list::fetch(std::function<void(const std::optional<vm_listing> &)> p_hook) {
	http_call call;
	call.to = _address;
	call.path = "/v1/vms";
	call.timeout = FETCH_TIMEOUT;
	call.largest_answer = MAX_LIST_BYTES;
	http_hooks hooks;
	hooks.on_end = [hook = std::move(p_hook)](const http_result &p_result) { hook(parse_listing(p_result)); };
	_client.start(call, std::move(hooks));
}

} // namespace calicoscale
