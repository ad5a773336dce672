/*
 * calicoscale: result_capacity.cpp
 * Memory that stored results occupy at the replicas of a stage pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/result_capacity.h"

#include <algorithm>
#include <limits>

namespace calicoscale {

void result_capacity::set_bounds(double p_capacity_bytes, duration p_time_to_live) {
	_capacity_bytes = p_capacity_bytes;
	_time_to_live = p_time_to_live;
}

void result_capacity::keep(const std::string &p_handle, const endpoint_identity &p_replica, double p_bytes, const std::string &p_owner, instant p_now) {
	if (_results.emplace(p_handle, stored_result{ p_replica, p_bytes, p_now + _time_to_live, p_owner }).second) {
		_replicas[p_replica].used += p_bytes;
	}
}

void result_capacity::set_owner(const std::vector<std::string> &p_handles, const std::string &p_owner) {
	for (const std::string &handle : p_handles) {
		const auto found = _results.find(handle);
		if (found != _results.end()) {
			found->second.owner = p_owner;
		}
	}
}

std::vector<std::string> result_capacity::get_results_of(const std::string &p_owner) const {
	std::vector<std::string> handles;
	for (const auto &[handle, result] : _results) {
		if (result.owner == p_owner) {
			handles.push_back(handle);
		}
	}
	return handles;
}

void result_capacity::release(const std::vector<std::string> &p_handles) {
	for (const std::string &handle : p_handles) {
		const auto found = _results.find(handle);
		if (found == _results.end()) {
			continue;
		}
		const auto replica = _replicas.find(found->second.replica);
		if (replica != _replicas.end()) {
			replica->second.used = std::max(0.0, replica->second.used - found->second.bytes);
		}
		_results.erase(found);
	}
}

void result_capacity::expire(instant p_now) {
	std::vector<std::string> expired;
	for (const auto &[handle, result] : _results) {
		if (p_now >= result.expires_at) {
			expired.push_back(handle);
		}
	}
	release(expired);
}

void result_capacity::on_refused(const endpoint_identity &p_replica, double p_known_bytes, instant p_now) {
	replica_usage &replica = _replicas[p_replica];
	replica.unknown = std::max(0.0, _capacity_bytes - p_known_bytes);
	replica.unknown_at = p_now;
}

double result_capacity::get_used(const endpoint_identity &p_replica) const {
	const auto found = _replicas.find(p_replica);
	return found == _replicas.end() ? 0.0 : found->second.used;
}

double result_capacity::get_left(const endpoint_identity &p_replica, instant p_now) const {
	if (_capacity_bytes <= 0.0) {
		return std::numeric_limits<double>::infinity();
	}
	const auto found = _replicas.find(p_replica);
	if (found == _replicas.end()) {
		return _capacity_bytes;
	}
	const replica_usage &replica = found->second;
	// Results that are not known here expire within their time to live, or are released earlier by another node.
	const double age = _time_to_live > duration::zero() ? to_seconds(p_now - replica.unknown_at) / to_seconds(_time_to_live) : 1.0;
	const double unknown = replica.unknown * std::max(0.0, 1.0 - age);
	return _capacity_bytes - replica.used - unknown;
}

void result_capacity::forget_replica(const endpoint_identity &p_replica) {
	_replicas.erase(p_replica);
	std::erase_if(_results, [&p_replica](const auto &p_entry) { return p_entry.second.replica == p_replica; });
}

} // namespace calicoscale
