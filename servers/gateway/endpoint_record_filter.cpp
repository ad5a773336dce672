/*
 * calicoscale: endpoint_record_filter.cpp
 * Which records of the endpoints' topic name an endpoint to use.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_record_filter.h"

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

const endpoint_listing *find_listing(const read_endpoint_record &p_record) {
	return p_record.entry ? std::get_if<endpoint_listing>(&*p_record.entry) : nullptr;
}

using listings_by_name = std::map<std::string, const endpoint_listing *>;

/** A flood of records is looked up here: some ten thousand fit into one answer. */
listings_by_name sort_by_name(const std::vector<endpoint_listing> &p_listings) {
	listings_by_name sorted;
	for (const endpoint_listing &listing : p_listings) {
		sorted.emplace(listing.vm, &listing);
	}
	return sorted;
}

/** Whether more endpoints tell their start than do not, the records counted in. */
bool is_start_told(const std::vector<endpoint_listing> &p_known, const std::vector<read_endpoint_record> &p_records) {
	std::map<std::string, bool> is_told;
	for (const endpoint_listing &listing : p_known) {
		is_told[listing.vm] = listing.incarnation != 0;
	}
	for (const read_endpoint_record &record : p_records) {
		const endpoint_listing *listing = find_listing(record);
		if (listing != nullptr) {
			is_told[record.name] = listing->incarnation != 0;
		} else {
			is_told.erase(record.name);
		}
	}
	std::size_t told = 0;
	for (const auto &[name, is_one] : is_told) {
		told += is_one ? 1 : 0;
	}
	return 2 * told > is_told.size();
}

bool has_startless(const std::vector<read_endpoint_record> &p_records) {
	return std::any_of(p_records.begin(), p_records.end(), [](const read_endpoint_record &p_record) {
		const endpoint_listing *listing = find_listing(p_record);
		return listing != nullptr && listing->incarnation == 0;
	});
}

/** Why a record names no endpoint to use; empty also for an entry that went. */
std::optional<entry_fault> find_fault(const read_endpoint_record &p_record, bool p_needs_start) {
	if (!p_record.entry) {
		return std::nullopt;
	}
	const endpoint_listing *listing = find_listing(p_record);
	if (listing == nullptr) {
		return std::get<entry_fault>(*p_record.entry);
	}
	return p_needs_start && listing->incarnation == 0 ? std::optional<entry_fault>(entry_fault::MISSING_START) : std::nullopt;
}

} // namespace

bool endpoint_record_filter::_hold(const std::string &p_name, entry_fault p_fault, instant p_now) {
	if (p_fault == entry_fault::UNKNOWN_STATE) {
		_held.erase(p_name);
		return false;
	}
	return p_now - _held.try_emplace(p_name, p_now).first->second < HOLD;
}

void endpoint_record_filter::_end_holds(const std::function<bool(const std::string &)> &p_is_known, instant p_now, std::vector<endpoint_record> &r_records) {
	for (auto held = _held.begin(); held != _held.end();) {
		if (p_now - held->second < HOLD) {
			++held;
			continue;
		}
		if (p_is_known(held->first)) {
			r_records.push_back(endpoint_record{ held->first, std::nullopt });
		}
		held = _held.erase(held);
	}
}

void endpoint_record_filter::on_told(const endpoint_reading &p_reading) {
	for (const endpoint_listing &listing : p_reading.written) {
		_held.erase(listing.vm);
	}
	for (const std::string &name : p_reading.dropped) {
		_held.erase(name);
	}
}

std::vector<endpoint_record> endpoint_record_filter::take(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now) {
	const bool needs_start = has_startless(p_records) && is_start_told(p_known, p_records);
	std::vector<endpoint_record> records;
	records.reserve(p_records.size());
	const listings_by_name known = sort_by_name(p_known);
	std::set<std::string> used; // By these records, before the directory has taken them.
	for (const read_endpoint_record &record : p_records) {
		const std::optional<entry_fault> fault = find_fault(record, needs_start);
		if (!fault) {
			const endpoint_listing *listing = find_listing(record);
			_held.erase(record.name);
			used.insert(record.name);
			records.push_back(endpoint_record{ record.name, listing == nullptr ? std::nullopt : std::optional<endpoint_listing>(*listing) });
			continue;
		}
		const bool is_in_use = known.contains(record.name) || used.contains(record.name);
		_rejected.push_back(rejected_entry{ record.name, *fault, is_in_use });
		if (is_in_use && !_hold(record.name, *fault, p_now)) {
			records.push_back(endpoint_record{ record.name, std::nullopt });
		}
	}
	_end_holds([&known](const std::string &p_name) { return known.contains(p_name); }, p_now, records);
	return records;
}

std::vector<endpoint_listing> endpoint_record_filter::take_whole(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now) {
	const bool needs_start = is_start_told({}, p_records);
	const listings_by_name known = sort_by_name(p_known);
	std::vector<endpoint_listing> listings;
	std::map<std::string, instant> still_held;
	for (const read_endpoint_record &record : p_records) {
		const std::optional<entry_fault> fault = find_fault(record, needs_start);
		if (!fault) {
			if (record.entry) {
				listings.push_back(*find_listing(record));
			}
			continue;
		}
		const auto in_use = known.find(record.name);
		_rejected.push_back(rejected_entry{ record.name, *fault, in_use != known.end() });
		if (in_use != known.end() && _hold(record.name, *fault, p_now)) {
			still_held.emplace(record.name, _held.at(record.name));
			listings.push_back(*in_use->second);
		}
	}
	// What is not held any more is either sound again or left out, and so dropped by the directory.
	_held = std::move(still_held);
	return listings;
}

} // namespace calicoscale
