/*
 * calicoscale: service_reach.cpp
 * Which endpoints, and which services as a whole, this node can connect to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/reach/service_reach.h"

#include <algorithm>

namespace calicoscale {

std::size_t service_reach::_get_required(const service_state &p_state) {
	return std::clamp<std::size_t>(p_state.endpoints.size(), 1, REQUIRED_ENDPOINTS);
}

void service_reach::_drop_unlisted(service_state &r_state) {
	const auto is_unlisted = [&r_state](const std::string &p_vm) { return !r_state.endpoints.contains(p_vm); };
	std::erase_if(r_state.failed, is_unlisted);
	std::erase_if(r_state.failed_in_row, is_unlisted);
	std::erase_if(r_state.contacts, [&is_unlisted](const auto &p_entry) { return is_unlisted(p_entry.first); });
}

void service_reach::_set_reached(const std::string &p_service, service_state &r_state, bool p_is_reached, instant p_now) {
	if (r_state.is_reached == p_is_reached) {
		return;
	}
	r_state.is_reached = p_is_reached;
	const std::optional<duration> age = r_state.contact_at ? std::optional<duration>(p_now - *r_state.contact_at) : std::nullopt;
	_changes.push_back(reach_change{ p_service, p_is_reached, r_state.failed.size(), age });
}

std::vector<service_endpoint> service_reach::set_endpoints(const std::map<std::string, std::set<std::string>> &p_endpoints) {
	std::erase_if(_services, [&p_endpoints](const auto &p_entry) { return !p_endpoints.contains(p_entry.first); });
	std::vector<service_endpoint> to_probe;
	for (const auto &[service, endpoints] : p_endpoints) {
		service_state &state = _services[service];
		for (const std::string &vm : endpoints) {
			if (!state.is_reached && !state.endpoints.contains(vm)) {
				to_probe.push_back(service_endpoint{ service, vm });
			}
		}
		state.endpoints = endpoints;
		_drop_unlisted(state);
	}
	return to_probe;
}

void service_reach::on_contact(const std::string &p_service, const std::string &p_endpoint, instant p_now) {
	const auto found = _services.find(p_service);
	if (found == _services.end()) {
		return;
	}
	service_state &state = found->second;
	state.failed.erase(p_endpoint);
	_set_reached(p_service, state, true, p_now);
	state.failed_in_row.clear();
	state.contact_at = p_now;
	if (state.endpoints.contains(p_endpoint)) {
		state.contacts[p_endpoint] = p_now;
	}
}

void service_reach::on_failure(const std::string &p_service, const std::string &p_endpoint, instant p_now) {
	const auto found = _services.find(p_service);
	if (found == _services.end() || !found->second.endpoints.contains(p_endpoint)) {
		return;
	}
	service_state &state = found->second;
	state.failed.insert(p_endpoint);
	state.failed_in_row.insert(p_endpoint);
	if (state.failed_in_row.size() >= _get_required(state)) {
		_set_reached(p_service, state, false, p_now);
	}
}

void service_reach::on_probe_failed(const std::string &p_service, const std::string &p_endpoint, instant p_started_at) {
	const auto found = _services.find(p_service);
	if (found == _services.end() || !found->second.endpoints.contains(p_endpoint)) {
		return;
	}
	service_state &state = found->second;
	const auto contact = state.contacts.find(p_endpoint);
	if (contact == state.contacts.end() || contact->second < p_started_at) {
		state.failed.insert(p_endpoint);
	}
}

bool service_reach::is_reached(const std::string &p_service) const {
	const auto found = _services.find(p_service);
	return found == _services.end() || found->second.is_reached;
}

bool service_reach::is_endpoint_reached(const std::string &p_service, const std::string &p_endpoint) const {
	const auto found = _services.find(p_service);
	if (found == _services.end()) {
		return true;
	}
	const service_state &state = found->second;
	return state.is_reached && (!state.failed.contains(p_endpoint) || state.failed.size() < _get_required(state));
}

std::vector<service_endpoint> service_reach::get_unreached_endpoints() const {
	std::vector<service_endpoint> unreached;
	for (const auto &[service, state] : _services) {
		const bool is_any_unreached = !state.is_reached || state.failed.size() >= _get_required(state);
		for (const std::string &vm : is_any_unreached ? state.failed : std::set<std::string>()) {
			unreached.push_back(service_endpoint{ service, vm });
		}
	}
	return unreached;
}

std::vector<std::string> service_reach::get_unreached() const {
	std::vector<std::string> unreached;
	for (const auto &[service, state] : _services) {
		if (!state.is_reached) {
			unreached.push_back(service);
		}
	}
	return unreached;
}

std::vector<std::string> service_reach::get_mostly_unreached() const {
	std::vector<std::string> unreached;
	for (const auto &[service, state] : _services) {
		const bool are_most_failed = state.failed.size() >= _get_required(state) && 2 * state.failed.size() > state.endpoints.size();
		if (!state.is_reached || are_most_failed) {
			unreached.push_back(service);
		}
	}
	return unreached;
}

std::vector<reach_change> service_reach::take_changes() {
	std::vector<reach_change> changes;
	changes.swap(_changes);
	return changes;
}

} // namespace calicoscale
