/*
 * calicoscale: list_guard.cpp
 * Protects the routing table from implausibly short platform lists.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/list_guard.h"

#include <algorithm>
#include <map>

namespace calicoscale {

namespace {

constexpr duration ACCEPT_AFTER = std::chrono::seconds(60);
/** A list is plausible if it contains at least one of this many known endpoints. */
constexpr std::size_t MAX_SHRINK_FACTOR = 2;

} // namespace

std::vector<endpoint_listing> list_guard::_merge(const std::vector<endpoint_listing> &p_old, const std::vector<endpoint_listing> &p_new) {
	std::map<std::string, endpoint_listing> merged;
	for (const endpoint_listing &listing : p_old) {
		merged[listing.vm] = listing;
	}
	for (const endpoint_listing &listing : p_new) {
		merged[listing.vm] = listing;
	}
	std::vector<endpoint_listing> result;
	result.reserve(merged.size());
	for (const auto &[vm, listing] : merged) {
		result.push_back(listing);
	}
	return result;
}

std::vector<endpoint_listing> list_guard::take(const std::vector<endpoint_listing> &p_list, instant p_now) {
	std::map<std::string, bool> listed;
	for (const endpoint_listing &listing : p_list) {
		listed[listing.vm] = true;
	}
	const auto kept = std::count_if(_accepted.begin(), _accepted.end(), [&listed](const endpoint_listing &p_listing) {
		return listed.contains(p_listing.vm);
	});
	const bool is_plausible = static_cast<std::size_t>(kept) * MAX_SHRINK_FACTOR >= _accepted.size() && !(p_list.empty() && !_accepted.empty());
	if (is_plausible) {
		_is_rejecting = false;
		_accepted = p_list;
		return _accepted;
	}
	if (!_is_rejecting) {
		_is_rejecting = true;
		_rejecting_since = p_now;
	}
	if (!p_list.empty() && p_now - _rejecting_since >= ACCEPT_AFTER) {
		_is_rejecting = false;
		_accepted = p_list;
		return _accepted;
	}
	_accepted = _merge(_accepted, p_list);
	return _accepted;
}

} // namespace calicoscale
