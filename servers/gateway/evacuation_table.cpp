/*
 * calicoscale: evacuation_table.cpp
 * Evacuated availability zones, according to the newest known read of the operator's records.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/evacuation_table.h"

#include <algorithm>

namespace calicoscale {

void evacuation_table::_set(const log_position &p_known, std::set<std::string> p_zones, instant p_now) {
	const bool is_new_era = _known != log_position() && p_known.era != _known.era;
	if (is_new_era) {
		for (const std::string &zone : _zones) {
			_retained.emplace(zone, p_now + RETENTION_AFTER_RESTORE);
		}
	}
	std::erase_if(_retained, [&p_zones](const auto &p_entry) { return p_zones.contains(p_entry.first); });
	_known = p_known;
	_zones = std::move(p_zones);
}

void evacuation_table::apply_records(const std::vector<evacuation_record> &p_records, std::uint64_t p_era) {
	if (p_era != _known.era) {
		return;
	}
	for (const evacuation_record &record : p_records) {
		if (record.offset < _known.offset) {
			continue;
		}
		_known.offset = record.offset + 1;
		_retained.erase(record.zone);
		if (record.is_evacuated) {
			_zones.insert(record.zone);
		} else {
			_zones.erase(record.zone);
		}
	}
}

void evacuation_table::apply_snapshot(const std::vector<std::string> &p_zones, const log_position &p_known, instant p_now) {
	if (p_known < _known) {
		return;
	}
	_set(p_known, std::set<std::string>(p_zones.begin(), p_zones.end()), p_now);
}

bool evacuation_table::apply_update(const evacuation_state &p_state, instant p_now) {
	if (p_state.known <= _known) {
		return false;
	}
	_set(p_state.known, std::set<std::string>(p_state.zones.begin(), p_state.zones.end()), p_now);
	return true;
}

void evacuation_table::tick(instant p_now) {
	std::erase_if(_retained, [p_now](const auto &p_entry) { return p_entry.second <= p_now; });
}

std::set<std::string> evacuation_table::get_zones() const {
	std::set<std::string> zones = _zones;
	for (const auto &[zone, ends_at] : _retained) {
		zones.insert(zone);
	}
	return zones;
}

evacuation_state evacuation_table::get_state() const {
	return evacuation_state{ _known, std::vector<std::string>(_zones.begin(), _zones.end()) };
}

std::optional<instant> evacuation_table::get_next_end() const {
	std::optional<instant> next;
	for (const auto &[zone, ends_at] : _retained) {
		next = std::min(next.value_or(ends_at), ends_at);
	}
	return next;
}

std::vector<evacuation_change> evacuation_table::take_changes() {
	const std::set<std::string> zones = get_zones();
	std::vector<evacuation_change> changes;
	for (const std::string &zone : zones) {
		if (!_in_force.contains(zone)) {
			changes.push_back(evacuation_change{ zone, true });
		}
	}
	for (const std::string &zone : _in_force) {
		if (!zones.contains(zone)) {
			changes.push_back(evacuation_change{ zone, false });
		}
	}
	_in_force = zones;
	return changes;
}

} // namespace calicoscale
