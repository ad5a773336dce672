/*
 * calicoscale: stream_table.cpp
 * Records of streams that callers may still resume.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/stream_table.h"

#include <algorithm>
#include <vector>

namespace calicoscale {

bool stream_table::take(const stream_record &p_record, instant p_now) {
	stream_record record = p_record;
	record.expires_at = std::min(record.expires_at, p_now + MAX_LIFETIME);
	if (record.expires_at <= p_now) {
		return false;
	}
	const auto known = _entries.find(record.key);
	if (known == _entries.end()) {
		_insert(record);
		return true;
	}
	entry &found = known->second;
	found.is_contradicted = found.is_contradicted || !(found.record.origin == record.origin);
	_extend(found, record.expires_at);
	return false;
}

void stream_table::_insert(const stream_record &p_record) {
	_entries.emplace(p_record.key, entry{ p_record, false });
	expiry_order &own = _by_customer[p_record.customer];
	own.emplace(p_record.expires_at, p_record.key);
	if (own.size() > MAX_RECORDS_PER_CUSTOMER) {
		_drop_first(p_record.customer);
	} else if (_entries.size() > MAX_RECORDS) {
		_drop_first(_find_largest_customer());
	}
}

void stream_table::_extend(entry &r_entry, instant p_expires_at) {
	stream_record &record = r_entry.record;
	if (p_expires_at <= record.expires_at) {
		return;
	}
	expiry_order &own = _by_customer[record.customer];
	own.erase({ record.expires_at, record.key });
	record.expires_at = p_expires_at;
	own.emplace(record.expires_at, record.key);
}

void stream_table::_erase(const stream_key &p_key) {
	const auto found = _entries.find(p_key);
	const stream_record &record = found->second.record;
	const auto own = _by_customer.find(record.customer);
	own->second.erase({ record.expires_at, p_key });
	if (own->second.empty()) {
		_by_customer.erase(own);
	}
	_entries.erase(found);
}

void stream_table::_drop_first(std::uint32_t p_customer) {
	const stream_key first = _by_customer.at(p_customer).begin()->second;
	_erase(first);
	_dropped++;
}

std::uint32_t stream_table::_find_largest_customer() const {
	return std::max_element(_by_customer.begin(), _by_customer.end(), [](const auto &p_left, const auto &p_right) { return p_left.second.size() < p_right.second.size(); })->first;
}

const stream_record *stream_table::find(const stream_key &p_key, instant p_now) const {
	const auto found = _entries.find(p_key);
	if (found == _entries.end() || found->second.is_contradicted || found->second.record.expires_at <= p_now) {
		return nullptr;
	}
	return &found->second.record;
}

void stream_table::expire(instant p_now) {
	std::vector<stream_key> expired;
	for (const auto &[customer, order] : _by_customer) {
		for (auto next = order.begin(); next != order.end() && next->first <= p_now; ++next) {
			expired.push_back(next->second);
		}
	}
	for (const stream_key &key : expired) {
		_erase(key);
	}
}

} // namespace calicoscale
