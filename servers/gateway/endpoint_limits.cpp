/*
 * calicoscale: endpoint_limits.cpp
 * What endpoints that take only so much may be sent by all nodes together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_limits.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Within it a cold endpoint's requests are counted. */
constexpr duration COLD_SPAN = std::chrono::seconds(1);

const gateway_service *find_limited(const gateway_configuration &p_configuration, const std::string &p_pool) {
	const gateway_service *service = p_configuration.find_service(p_pool);
	return service == nullptr || service->cold_rate <= 0.0 ? nullptr : service;
}

} // namespace

void endpoint_limits::_note_cold(const endpoint_listing &p_listing, double p_rate, duration p_left, instant p_now) {
	cold_time &entry = _cold[p_listing.get_identity()];
	entry.rate = p_rate;
	entry.since = entry.since == instant{} ? p_now : entry.since;
	entry.until = std::max(entry.until, p_now + p_left);
}

void endpoint_limits::set_listings(const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now) {
	_zones.clear();
	for (const endpoint_listing &listing : p_listings) {
		_zones[listing.get_identity()] = listing.zone;
		const auto known = _cold.find(listing.get_identity());
		// The list is taken again for other reasons too; what an entry said before has been running down since.
		const bool is_news = known == _cold.end() ? listing.cold_left > duration::zero() : known->second.told != listing.cold_left;
		const gateway_service *service = is_news ? find_limited(p_configuration, listing.pool) : nullptr;
		if (service != nullptr) {
			_note_cold(listing, service->cold_rate, listing.cold_left, p_now);
			_cold.at(listing.get_identity()).told = listing.cold_left;
		}
	}
	std::vector<endpoint_identity> unlisted;
	for (const auto &[endpoint, entry] : _cold) {
		if (!_zones.contains(endpoint)) {
			unlisted.push_back(endpoint);
		}
	}
	for (const endpoint_identity &endpoint : unlisted) {
		_cold.erase(endpoint);
		_forget(endpoint);
	}
}

void endpoint_limits::on_told(const endpoint_listing &p_listing, const gateway_configuration &p_configuration, duration p_left, instant p_now) {
	const gateway_service *service = find_limited(p_configuration, p_listing.pool);
	if (service != nullptr && p_left > duration::zero()) {
		_note_cold(p_listing, service->cold_rate, p_left, p_now);
	}
}

void endpoint_limits::on_taken_back(const std::string &p_zone, const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now) {
	for (const endpoint_listing &listing : p_listings) {
		const gateway_service *service = listing.zone == p_zone ? find_limited(p_configuration, listing.pool) : nullptr;
		if (service != nullptr) {
			_note_cold(listing, service->cold_rate, service->cold_time, p_now);
		}
	}
}

std::vector<endpoint_limits::rate_bound> endpoint_limits::_get_bounds(const endpoint_identity &p_endpoint, instant p_now) const {
	std::vector<rate_bound> bounds;
	const auto cold = _cold.find(p_endpoint);
	if (cold != _cold.end() && cold->second.until > p_now) {
		const double rate = cold->second.rate;
		// Less than one a second: the first of the senders sends one, and the next when the endpoint bears it.
		bounds.push_back(rate >= 1.0 ? rate_bound{ static_cast<std::size_t>(rate), COLD_SPAN, cold->second.since } : rate_bound{ 1, from_seconds(1.0 / rate), cold->second.since });
	}
	return bounds;
}

std::size_t endpoint_limits::_count_own(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_part p_part, instant p_now) {
	if (p_part == sender_part::WHOLE) {
		return p_bound.places;
	}
	const auto zone = _zones.find(p_endpoint);
	return _places.count_own(p_endpoint, zone == _zones.end() ? "" : zone->second, p_bound.places, p_now);
}

std::optional<duration> endpoint_limits::_get_wait_by_rank(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_part p_part, instant p_now) {
	const std::size_t own = _count_own(p_endpoint, p_bound, p_part, p_now);
	if (own == 0) {
		return std::nullopt;
	}
	const std::deque<instant> &sent = _sent[p_endpoint];
	if (sent.size() < own) {
		return duration::zero();
	}
	return std::max(duration::zero(), sent[sent.size() - own] + p_bound.span - p_now);
}

std::optional<duration> endpoint_limits::_get_wait_evenly(const endpoint_identity &p_endpoint, const rate_bound &p_bound, instant p_now) const {
	if (!_places.is_settled()) {
		return std::nullopt;
	}
	const duration interval = p_bound.span * static_cast<duration::rep>(_places.get_fleet_nodes()) / static_cast<duration::rep>(p_bound.places);
	const auto sent = _sent.find(p_endpoint);
	// Nodes begin at different moments, or all would send in the first span.
	const bool has_sent = sent != _sent.end() && !sent->second.empty();
	const instant next = has_sent ? sent->second.back() + interval : p_bound.since + from_seconds(to_seconds(interval) * _places.get_phase(p_endpoint));
	return std::max(duration::zero(), next - p_now);
}

std::optional<duration> endpoint_limits::get_wait(const endpoint_identity &p_endpoint, sender_part p_part, instant p_now) {
	duration longest = duration::zero();
	for (const rate_bound &bound : _get_bounds(p_endpoint, p_now)) {
		const bool is_even = _sharing == limit_sharing::EVEN && p_part == sender_part::SHARE;
		const std::optional<duration> wait = is_even ? _get_wait_evenly(p_endpoint, bound, p_now) : _get_wait_by_rank(p_endpoint, bound, p_part, p_now);
		if (!wait) {
			return std::nullopt;
		}
		longest = std::max(longest, *wait);
	}
	return longest;
}

bool endpoint_limits::may_send(const endpoint_identity &p_endpoint, sender_part p_part, instant p_now) {
	const std::optional<duration> wait = get_wait(p_endpoint, p_part, p_now);
	return wait && *wait == duration::zero();
}

void endpoint_limits::on_sent(const endpoint_identity &p_endpoint, instant p_now) {
	const std::vector<rate_bound> bounds = _get_bounds(p_endpoint, p_now);
	if (bounds.empty()) {
		return;
	}
	std::deque<instant> &sent = _sent[p_endpoint];
	sent.push_back(p_now);
	std::size_t most = 1;
	for (const rate_bound &bound : bounds) {
		most = std::max(most, bound.places);
	}
	while (sent.size() > most) {
		sent.pop_front();
	}
}

void endpoint_limits::_forget(const endpoint_identity &p_endpoint) {
	_sent.erase(p_endpoint);
	_places.forget(p_endpoint);
}

void endpoint_limits::forget_warm(instant p_now) {
	std::vector<endpoint_identity> warm;
	for (const auto &[endpoint, entry] : _cold) {
		if (entry.until <= p_now && entry.told == duration::zero()) {
			warm.push_back(endpoint);
		}
	}
	for (const endpoint_identity &endpoint : warm) {
		_cold.erase(endpoint);
		_forget(endpoint);
	}
}

std::size_t endpoint_limits::get_cold_count(instant p_now) const {
	return static_cast<std::size_t>(std::count_if(_cold.begin(), _cold.end(), [p_now](const auto &p_entry) { return p_entry.second.until > p_now; }));
}

} // namespace calicoscale
