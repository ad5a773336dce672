/*
 * calicoscale: endpoint_record_filter.cpp
 * Filters out records of the endpoints' topic that don't describe a usable endpoint.
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

/** Returns an index by name, because one answer may have some ten thousand records to look up. */
listings_by_name sort_by_name(const std::vector<endpoint_listing> &p_listings) {
	listings_by_name sorted;
	for (const endpoint_listing &listing : p_listings) {
		sorted.emplace(listing.vm, &listing);
	}
	return sorted;
}

/** Returns whether more than half of the endpoints report their start, after applying the records. */
bool is_start_reported_by_most(const std::vector<endpoint_listing> &p_known, const std::vector<read_endpoint_record> &p_records) {
	std::map<std::string, bool> reports_start;
	for (const endpoint_listing &listing : p_known) {
		reports_start[listing.vm] = listing.incarnation != 0;
	}
	for (const read_endpoint_record &record : p_records) {
		const endpoint_listing *listing = find_listing(record);
		if (listing != nullptr) {
			reports_start[record.name] = listing->incarnation != 0;
		} else {
			reports_start.erase(record.name);
		}
	}
	std::size_t count = 0;
	for (const auto &[name, is_reported] : reports_start) {
		count += is_reported ? 1 : 0;
	}
	return 2 * count > reports_start.size();
}

bool has_entry_without_start(const std::vector<read_endpoint_record> &p_records) {
	return std::any_of(p_records.begin(), p_records.end(), [](const read_endpoint_record &p_record) {
		const endpoint_listing *listing = find_listing(p_record);
		return listing != nullptr && listing->incarnation == 0;
	});
}

/** Returns the fault of a record; empty for a usable entry and for a removed one. */
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

bool endpoint_record_filter::_keep_listed(const std::string &p_name, entry_fault p_fault, instant p_now) {
	if (p_fault == entry_fault::UNKNOWN_STATE) {
		_overwritten_at.erase(p_name);
		return false;
	}
	return p_now - _overwritten_at.try_emplace(p_name, p_now).first->second < HOLD;
}

void endpoint_record_filter::_expire_overwritten(const std::function<bool(const std::string &)> &p_is_known, instant p_now, std::vector<endpoint_record> &r_records) {
	for (auto entry = _overwritten_at.begin(); entry != _overwritten_at.end();) {
		if (p_now - entry->second < HOLD) {
			++entry;
			continue;
		}
		if (p_is_known(entry->first)) {
			r_records.push_back(endpoint_record{ entry->first, std::nullopt });
		}
		entry = _overwritten_at.erase(entry);
	}
}

void endpoint_record_filter::on_told(const endpoint_delta &p_delta) {
	for (const endpoint_listing &listing : p_delta.written) {
		_overwritten_at.erase(listing.vm);
	}
	for (const std::string &name : p_delta.dropped) {
		_overwritten_at.erase(name);
	}
}

std::vector<endpoint_record> endpoint_record_filter::take(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now) {
	const bool needs_start = has_entry_without_start(p_records) && is_start_reported_by_most(p_known, p_records);
	std::vector<endpoint_record> records;
	records.reserve(p_records.size());
	const listings_by_name known = sort_by_name(p_known);
	std::set<std::string> used; // Names written by these records, which the directory hasn't applied yet.
	for (const read_endpoint_record &record : p_records) {
		const std::optional<entry_fault> fault = find_fault(record, needs_start);
		if (!fault) {
			const endpoint_listing *listing = find_listing(record);
			_overwritten_at.erase(record.name);
			used.insert(record.name);
			records.push_back(endpoint_record{ record.name, listing == nullptr ? std::nullopt : std::optional<endpoint_listing>(*listing) });
			continue;
		}
		const bool is_in_use = known.contains(record.name) || used.contains(record.name);
		_rejected.push_back(rejected_entry{ record.name, *fault, is_in_use });
		if (is_in_use && !_keep_listed(record.name, *fault, p_now)) {
			records.push_back(endpoint_record{ record.name, std::nullopt });
		}
	}
	_expire_overwritten([&known](const std::string &p_name) { return known.contains(p_name); }, p_now, records);
	return records;
}

std::vector<endpoint_listing> endpoint_record_filter::apply_snapshot(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now) {
	const bool needs_start = is_start_reported_by_most({}, p_records);
	const listings_by_name known = sort_by_name(p_known);
	std::vector<endpoint_listing> listings;
	std::map<std::string, instant> still_overwritten;
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
		if (in_use != known.end() && _keep_listed(record.name, *fault, p_now)) {
			still_overwritten.emplace(record.name, _overwritten_at.at(record.name));
			listings.push_back(*in_use->second);
		}
	}
	// The other names are either valid again or missing from the result, so that the directory removes them.
	_overwritten_at = std::move(still_overwritten);
	return listings;
}

} // namespace calicoscale
