/*
 * calicoscale: list_guard.cpp
 * Distrusts a platform list that shrank implausibly.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/list_guard.h"

#include <algorithm>
#include <map>

namespace calicoscale {

namespace {

constexpr duration BELIEVE_AFTER = std::chrono::seconds(60);
constexpr std::size_t SMALLEST_PLAUSIBLE_PART = 2;

} // namespace

std::vector<endpoint_listing> list_guard::_join(const std::vector<endpoint_listing> &p_old, const std::vector<endpoint_listing> &p_new) {
	std::map<std::string, endpoint_listing> joined;
	for (const endpoint_listing &listing : p_old) {
		joined[listing.vm] = listing;
	}
	for (const endpoint_listing &listing : p_new) {
		joined[listing.vm] = listing;
	}
	std::vector<endpoint_listing> result;
	result.reserve(joined.size());
	for (const auto &[vm, listing] : joined) {
		result.push_back(listing);
	}
	return result;
}

std::vector<endpoint_listing> list_guard::take(const std::vector<endpoint_listing> &p_list, instant p_now) {
	std::map<std::string, bool> present;
	for (const endpoint_listing &listing : p_list) {
		present[listing.vm] = true;
	}
	const auto kept = std::count_if(_accepted.begin(), _accepted.end(), [&present](const endpoint_listing &p_listing) {
		return present.contains(p_listing.vm);
	});
	const bool is_plausible = static_cast<std::size_t>(kept) * SMALLEST_PLAUSIBLE_PART >= _accepted.size() && !(p_list.empty() && !_accepted.empty());
	if (is_plausible) {
		_doubting = false;
		_accepted = p_list;
		return _accepted;
	}
	if (!_doubting) {
		_doubting = true;
		_doubted_since = p_now;
	}
	if (!p_list.empty() && p_now - _doubted_since >= BELIEVE_AFTER) {
		_doubting = false;
		_accepted = p_list;
		return _accepted;
	}
	_accepted = _join(_accepted, p_list);
	return _accepted;
}

} // namespace calicoscale
