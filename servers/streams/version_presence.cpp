/*
 * calicoscale: version_presence.cpp
 * Which software versions a service has had in the recent past.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/version_presence.h"

namespace calicoscale {

void version_presence::set_listings(const std::vector<endpoint_listing> &p_listings, instant p_now) {
	_note_listed(p_now);
	_listings = p_listings;
	_note_listed(p_now);
}

void version_presence::_note_listed(instant p_now) {
	for (const endpoint_listing &listing : _listings) {
		_services[listing.pool][listing.version] = p_now;
	}
	for (auto service = _services.begin(); service != _services.end();) {
		std::erase_if(service->second, [p_now](const auto &p_entry) { return p_now - p_entry.second > MAX_MEMORY; });
		service = service->second.empty() ? _services.erase(service) : std::next(service);
	}
}

void version_presence::on_confirmed(instant p_now) {
	if (!_confirmed_at || p_now - *_confirmed_at > MAX_GAP) {
		_known_since = p_now;
	}
	_confirmed_at = p_now;
}

std::optional<std::set<std::string>> version_presence::find_recent(const std::string &p_service, duration p_age, instant p_now) const {
	const bool is_known = _confirmed_at && p_now - *_confirmed_at <= MAX_GAP && p_now - _known_since >= p_age && p_age < MAX_MEMORY;
	if (!is_known) {
		return std::nullopt;
	}
	std::set<std::string> recent;
	const auto service = _services.find(p_service);
	if (service != _services.end()) {
		for (const auto &[version, listed_at] : service->second) {
			if (p_now - listed_at < p_age) {
				recent.insert(version);
			}
		}
	}
	for (const endpoint_listing &listing : _listings) {
		if (listing.pool == p_service) {
			recent.insert(listing.version);
		}
	}
	return recent;
}

} // namespace calicoscale
