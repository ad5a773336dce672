/*
 * calicoscale: endpoint_limits.cpp
 * Rate limits for endpoints that accept only a bounded number of requests from all nodes together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_limits.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

/** Time span in which requests to a cold endpoint are counted. */
constexpr duration COLD_SPAN = std::chrono::seconds(1);
/** Minimum interval of a node's requests that check whether a limit still holds that hasn't been reported for long. */
constexpr duration CHECK_SPAN = std::chrono::seconds(1);
/** Requests a second; bounds the slots of a very high limit. No node sends this much to one endpoint. */
constexpr double MAX_RATE = 1e6;

const gateway_service *find_limited(const gateway_configuration &p_configuration, const std::string &p_pool) {
	const gateway_service *service = p_configuration.find_service(p_pool);
	return service == nullptr || service->cold_rate <= 0.0 ? nullptr : service;
}

} // namespace

void endpoint_limits::_set_cold(const endpoint_identity &p_endpoint, double p_rate, duration p_left, instant p_now) {
	cold_time &entry = _cold[p_endpoint];
	entry.rate = p_rate;
	entry.since = entry.since == instant{} ? p_now : entry.since;
	entry.until = std::max(entry.until, p_now + p_left);
}

void endpoint_limits::set_listings(const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now) {
	_listed.clear();
	for (const endpoint_listing &listing : p_listings) {
		_listed.emplace(listing.get_identity(), listed_endpoint{ listing.zone, listing.pool, listing.address });
		const auto known = _cold.find(listing.get_identity());
		// The list is also set again for other reasons; the cold time of an unchanged entry has been running since it was applied.
		const bool is_new = known == _cold.end() ? listing.cold_left > duration::zero() : known->second.reported != listing.cold_left;
		const gateway_service *service = is_new ? find_limited(p_configuration, listing.pool) : nullptr;
		if (service != nullptr) {
			_set_cold(listing.get_identity(), service->cold_rate, listing.cold_left, p_now);
			_cold.at(listing.get_identity()).reported = listing.cold_left;
		}
	}
	std::erase_if(_cold, [this](const auto &p_entry) { return !_listed.contains(p_entry.first); });
}

void endpoint_limits::on_cold(const endpoint_identity &p_endpoint, const gateway_configuration &p_configuration, duration p_left, instant p_now) {
	const auto listed = _listed.find(p_endpoint);
	const gateway_service *service = listed == _listed.end() ? nullptr : find_limited(p_configuration, listed->second.pool);
	if (service != nullptr && p_left > duration::zero()) {
		_set_cold(p_endpoint, service->cold_rate, p_left, p_now);
	}
}

void endpoint_limits::on_zone_restored(const std::string &p_zone, const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now) {
	for (const endpoint_listing &listing : p_listings) {
		const gateway_service *service = listing.zone == p_zone ? find_limited(p_configuration, listing.pool) : nullptr;
		if (service != nullptr) {
			_set_cold(listing.get_identity(), service->cold_rate, service->cold_time, p_now);
		}
	}
}

std::vector<endpoint_limits::rate_bound> endpoint_limits::_get_bounds(const endpoint_identity &p_endpoint, instant p_now) const {
	std::vector<rate_bound> bounds;
	const auto cold = _cold.find(p_endpoint);
	if (cold != _cold.end() && cold->second.until > p_now) {
		const double rate = cold->second.rate;
		// Below one request a second there is one slot, in a span long enough for the rate.
		bounds.push_back(rate >= 1.0 ? rate_bound{ static_cast<std::size_t>(rate), COLD_SPAN, cold->second.since } : rate_bound{ 1, from_seconds(1.0 / rate), cold->second.since });
	}
	const std::optional<double> advertised = _advertised.find_rate(p_endpoint);
	if (advertised && !_advertised.is_confirmed(p_endpoint, p_now)) {
		bounds.push_back(rate_bound{ 1, CHECK_SPAN, instant{}, true });
	} else if (advertised) {
		bounds.push_back(_make_advertised_bound(*advertised, _advertised.get_advertised_since(p_endpoint)));
	}
	return bounds;
}

endpoint_limits::rate_bound endpoint_limits::_make_advertised_bound(double p_rate, instant p_since) {
	if (p_rate <= 0.0) {
		return rate_bound{ 0, std::chrono::seconds(1), p_since };
	}
	const double slots = std::max(1.0, std::floor(std::min(p_rate, MAX_RATE)));
	return rate_bound{ static_cast<std::size_t>(slots), from_seconds(slots / p_rate), p_since };
}

std::size_t endpoint_limits::_count_own(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_share p_share, instant p_now) {
	if (p_share == sender_share::FULL || p_bound.is_own) {
		return p_bound.slots;
	}
	return _slots.count_own(p_endpoint, _find_zone(p_endpoint), p_bound.slots, p_now);
}

std::size_t endpoint_limits::_count_soon(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_share p_share) {
	if (p_share == sender_share::FULL || p_bound.is_own) {
		return p_bound.slots;
	}
	return _slots.count_future_slots(p_endpoint, _find_zone(p_endpoint), p_bound.slots);
}

std::string endpoint_limits::_find_zone(const endpoint_identity &p_endpoint) const {
	const auto listed = _listed.find(p_endpoint);
	return listed == _listed.end() ? "" : listed->second.zone;
}

std::optional<duration> endpoint_limits::_get_wait_by_rank(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_share p_share, instant p_now) {
	const std::size_t own = _count_own(p_endpoint, p_bound, p_share, p_now);
	if (own == 0) {
		return _count_soon(p_endpoint, p_bound, p_share) > 0 ? std::optional(_slots.get_activation_delay(p_now)) : std::nullopt;
	}
	const std::deque<instant> &sent = _sent_at[p_endpoint];
	if (sent.size() < own) {
		return duration::zero();
	}
	return std::max(duration::zero(), sent[sent.size() - own] + p_bound.span - p_now);
}

std::optional<duration> endpoint_limits::_get_wait_evenly(const endpoint_identity &p_endpoint, const rate_bound &p_bound, instant p_now) const {
	if (!_slots.is_settled()) {
		return std::nullopt;
	}
	const duration interval = p_bound.span * static_cast<duration::rep>(_slots.get_fleet_nodes()) / static_cast<duration::rep>(p_bound.slots);
	const auto sent = _sent_at.find(p_endpoint);
	// Each node starts at its own phase; otherwise all would send within the first span.
	const bool has_sent = sent != _sent_at.end() && !sent->second.empty();
	const instant next = has_sent ? sent->second.back() + interval : p_bound.since + from_seconds(to_seconds(interval) * _slots.get_phase(p_endpoint));
	return std::max(duration::zero(), next - p_now);
}

std::optional<duration> endpoint_limits::get_wait(const endpoint_identity &p_endpoint, sender_share p_share, instant p_now) {
	if (_backoffs.get_left(p_endpoint, p_now) > duration::zero()) {
		return std::nullopt;
	}
	duration longest = duration::zero();
	for (const rate_bound &bound : _get_bounds(p_endpoint, p_now)) {
		const bool is_even = _sharing == limit_sharing::EVEN && p_share == sender_share::SHARE && bound.slots > 0 && !bound.is_own;
		const std::optional<duration> wait = is_even ? _get_wait_evenly(p_endpoint, bound, p_now) : _get_wait_by_rank(p_endpoint, bound, p_share, p_now);
		if (!wait) {
			return std::nullopt;
		}
		longest = std::max(longest, *wait);
	}
	return longest;
}

bool endpoint_limits::may_send(const endpoint_identity &p_endpoint, sender_share p_share, instant p_now) {
	const std::optional<duration> wait = get_wait(p_endpoint, p_share, p_now);
	const bool is_allowed = wait && *wait == duration::zero();
	_deferred_count += is_allowed ? 0 : 1;
	return is_allowed;
}

void endpoint_limits::on_sent(const endpoint_identity &p_endpoint, instant p_now) {
	const std::vector<rate_bound> bounds = _get_bounds(p_endpoint, p_now);
	if (bounds.empty()) {
		return;
	}
	std::deque<instant> &sent = _sent_at[p_endpoint];
	sent.push_back(p_now);
	duration longest = duration::zero();
	for (const rate_bound &bound : bounds) {
		longest = std::max(longest, bound.span);
	}
	while (p_now - sent.front() > longest) {
		sent.pop_front();
	}
}

void endpoint_limits::_add_free_slots(const endpoint_identity &p_endpoint, const rate_bound &p_bound, std::size_t p_max, instant p_now, std::vector<instant> &r_free_at) {
	const std::optional<duration> wait = get_wait(p_endpoint, sender_share::SHARE, p_now);
	if (!wait) {
		return;
	}
	const std::size_t own = _count_soon(p_endpoint, p_bound, sender_share::SHARE);
	const std::deque<instant> &sent = _sent_at[p_endpoint];
	for (std::size_t i = 0; i < std::min(own, p_max); i++) {
		const bool is_used = sent.size() + i >= own;
		const instant free_at = is_used ? sent[sent.size() + i - own] + p_bound.span : p_now;
		r_free_at.push_back(std::max(free_at, p_now + *wait));
	}
}

send_prospect endpoint_limits::predict(const std::vector<endpoint_identity> &p_endpoints, std::size_t p_before, instant p_now) {
	send_prospect prospect;
	std::vector<instant> free_at;
	duration longest_limit_span = duration::zero();
	for (const endpoint_identity &endpoint : p_endpoints) {
		const duration backoff = _backoffs.get_left(endpoint, p_now);
		if (backoff > duration::zero()) {
			prospect.backoff_left = std::min(prospect.backoff_left.value_or(backoff), backoff);
			continue;
		}
		const std::vector<rate_bound> bounds = _get_bounds(endpoint, p_now);
		if (bounds.empty()) {
			prospect.wait = duration::zero();
			return prospect;
		}
		const auto get_rate = [](const rate_bound &p_bound) { return static_cast<double>(p_bound.slots) / to_seconds(p_bound.span); };
		const auto tightest = std::min_element(bounds.begin(), bounds.end(), [&get_rate](const rate_bound &p_left, const rate_bound &p_right) { return get_rate(p_left) < get_rate(p_right); });
		_add_free_slots(endpoint, *tightest, p_before + 1, p_now, free_at);
		longest_limit_span = std::max(longest_limit_span, tightest->span);
	}
	if (!free_at.empty()) {
		const auto next = free_at.begin() + static_cast<std::ptrdiff_t>(p_before % free_at.size());
		std::nth_element(free_at.begin(), next, free_at.end());
		prospect.wait = *next - p_now + longest_limit_span * static_cast<duration::rep>(p_before / free_at.size());
	}
	return prospect;
}

std::optional<endpoint_identity> endpoint_limits::find_at(const network_address &p_address) const {
	const auto found = std::find_if(_listed.begin(), _listed.end(), [&p_address](const auto &p_entry) { return p_entry.second.address == p_address; });
	return found == _listed.end() ? std::nullopt : std::optional(found->first);
}

void endpoint_limits::_forget_unbounded() {
	std::erase_if(_sent_at, [this](const auto &p_entry) {
		const bool is_bounded = _cold.contains(p_entry.first) || _advertised.find_rate(p_entry.first);
		if (!is_bounded) {
			_slots.forget(p_entry.first);
		}
		return !is_bounded;
	});
}

std::vector<endpoint_identity> endpoint_limits::forget_old(instant p_now) {
	std::vector<endpoint_identity> lapsed = _advertised.forget_old(p_now);
	std::erase_if(_cold, [p_now](const auto &p_entry) { return p_entry.second.until <= p_now && p_entry.second.reported == duration::zero(); });
	_backoffs.forget_old(p_now);
	_forget_unbounded();
	return lapsed;
}

std::size_t endpoint_limits::get_cold_count(instant p_now) const {
	return static_cast<std::size_t>(std::count_if(_cold.begin(), _cold.end(), [p_now](const auto &p_entry) { return p_entry.second.until > p_now; }));
}

} // namespace calicoscale
