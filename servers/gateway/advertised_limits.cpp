/*
 * calicoscale: advertised_limits.cpp
 * Limits that endpoints advertise in their answers, and how long each is valid.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/advertised_limits.h"

#include "core/digest.h"
#include "core/enum_names.h"

#include <algorithm>
#include <array>
#include <limits>

namespace calicoscale {

namespace {

/** Minimum interval between reports of changed limits of one endpoint, which may advertise another limit with each answer. */
constexpr duration MIN_CHANGE_INTERVAL = std::chrono::milliseconds(500);
/** Reports of the same limit that arrive over two paths differ in their time by the difference in latency. */
constexpr duration UPDATE_TIME_TOLERANCE = std::chrono::seconds(1);
/** Number of lifetimes after which an unconfirmed limit is removed. */
constexpr int MAX_LIFETIMES = 4;

constexpr std::array<enum_name<limit_change>, static_cast<std::size_t>(limit_change::COUNT)> CHANGE_NAMES{ {
		{ limit_change::NONE, "none" },
		{ limit_change::ADVERTISED, "named" },
		{ limit_change::CHANGED, "changed" },
		{ limit_change::RENEWED, "renewed" },
		{ limit_change::ENDED, "ended" },
} };

} // namespace

std::string_view get_name(limit_change p_change) {
	return find_name(CHANGE_NAMES, p_change);
}

limit_change advertised_limits::_apply(const limit_record &p_record) {
	const bool was_known = _limits.contains(p_record.endpoint);
	if (!was_known && !p_record.rate) {
		return limit_change::NONE;
	}
	known_limit &limit = _limits[p_record.endpoint];
	const std::optional<double> before = limit.rate;
	limit.rate = p_record.rate;
	limit.at = p_record.at;
	if (!p_record.rate) {
		return before ? limit_change::ENDED : limit_change::NONE;
	}
	if (!before) {
		limit.first_named_at = p_record.at;
		return limit_change::ADVERTISED;
	}
	return *before == *p_record.rate ? limit_change::RENEWED : limit_change::CHANGED;
}

void advertised_limits::_queue_update(const endpoint_identity &p_endpoint, instant p_now) {
	known_limit &limit = _limits.at(p_endpoint);
	limit.reported_at = p_now;
	_updates.push_back(limit_record{ p_endpoint, limit.rate, limit.at });
}

limit_change advertised_limits::on_answer(const endpoint_identity &p_endpoint, const endpoint_notice &p_notice, bool p_is_signed, instant p_sent_at, instant p_now) {
	if (p_notice.limit == limit_statement::UNREADABLE) {
		return limit_change::NONE;
	}
	const auto known = _limits.find(p_endpoint);
	if (p_notice.limit == limit_statement::NONE) {
		const bool ends = known != _limits.end() && known->second.rate && p_is_signed && p_sent_at > known->second.at;
		if (!ends) {
			return limit_change::NONE;
		}
	}
	const std::optional<double> rate = p_notice.limit == limit_statement::ADVERTISED ? std::optional(p_notice.rate_limit) : std::nullopt;
	const limit_change change = _apply(limit_record{ p_endpoint, rate, p_now });
	const duration since_report = p_now - _limits.at(p_endpoint).reported_at;
	const bool is_begin_or_end = change == limit_change::ADVERTISED || change == limit_change::ENDED;
	if (is_begin_or_end || since_report >= RENEWAL || (change == limit_change::CHANGED && since_report >= MIN_CHANGE_INTERVAL)) {
		_queue_update(p_endpoint, p_now);
	}
	return change;
}

limit_change advertised_limits::take(const limit_record &p_record, instant p_now) {
	const auto known = _limits.find(p_record.endpoint);
	if (known != _limits.end()) {
		const bool is_same = known->second.rate == p_record.rate;
		if (p_record.at <= known->second.at + (is_same ? UPDATE_TIME_TOLERANCE : duration::zero())) {
			return limit_change::NONE;
		}
	}
	const limit_change change = _apply(p_record);
	if (change != limit_change::NONE) {
		_limits.at(p_record.endpoint).reported_at = p_now;
	}
	return change;
}

std::optional<double> advertised_limits::find_rate(const endpoint_identity &p_endpoint) const {
	const auto known = _limits.find(p_endpoint);
	return known == _limits.end() ? std::nullopt : known->second.rate;
}

instant advertised_limits::_get_confirmed_until(const endpoint_identity &p_endpoint, const known_limit &p_limit) const {
	const std::uint64_t score = hash_bytes(_vm, hash_bytes(p_endpoint.vm, p_endpoint.incarnation));
	const double phase = static_cast<double>(score) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
	return p_limit.at + LIFETIME + from_seconds(to_seconds(LIFETIME) * phase);
}

bool advertised_limits::is_confirmed(const endpoint_identity &p_endpoint, instant p_now) const {
	const auto known = _limits.find(p_endpoint);
	return known != _limits.end() && p_now < _get_confirmed_until(p_endpoint, known->second);
}

std::vector<endpoint_identity> advertised_limits::forget_old(instant p_now) {
	std::vector<endpoint_identity> removed;
	std::erase_if(_limits, [&removed, p_now](const auto &p_entry) {
		const known_limit &limit = p_entry.second;
		const bool is_old = p_now - limit.at >= LIFETIME * (limit.rate ? MAX_LIFETIMES : 1);
		if (is_old && limit.rate) {
			removed.push_back(p_entry.first);
		}
		return is_old;
	});
	return removed;
}

std::vector<limit_record> advertised_limits::take_updates() {
	std::vector<limit_record> updates;
	updates.swap(_updates);
	return updates;
}

std::vector<limit_record> advertised_limits::get_records(std::size_t p_max) const {
	std::vector<limit_record> records;
	for (const auto &[endpoint, limit] : _limits) {
		if (records.size() < p_max) {
			records.push_back(limit_record{ endpoint, limit.rate, limit.at });
		}
	}
	return records;
}

std::size_t advertised_limits::count() const {
	return static_cast<std::size_t>(std::count_if(_limits.begin(), _limits.end(), [](const auto &p_entry) { return p_entry.second.rate.has_value(); }));
}

} // namespace calicoscale
