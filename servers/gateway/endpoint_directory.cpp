/*
 * calicoscale: endpoint_directory.cpp
 * List of endpoints, built from the keyed log in which endpoints register themselves.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_directory.h"

#include "core/digest.h"

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

/** The log is read about once a second; no answer for this long means that it was unavailable. */
constexpr duration OUTAGE = std::chrono::milliseconds(2600);
/** Endpoints that are alive and reach the log write their entry again within two seconds of its return. */
constexpr duration RECOVERY_TIME = std::chrono::milliseconds(2000);
/** A copy of the log is some seconds old, so entries removed earlier than this are not in it. */
constexpr duration REMOVAL_MEMORY = std::chrono::seconds(60);
/** An entry in the copy whose endpoint has exited expires again after a few missed heartbeats. */
constexpr duration STALE_ENTRY_EXPIRY = std::chrono::seconds(10);
/** When the last read is older than this, a read has failed after the normal interval and peers may have newer records. */
constexpr duration MAX_READ_AGE = std::chrono::milliseconds(1500);

} // namespace

bool endpoint_directory::_is_after_outage(instant p_now) const {
	return _returned_at != instant{} && p_now - _returned_at < RECOVERY_TIME;
}

void endpoint_directory::on_new_era(instant p_now) {
	_era_at = p_now;
	_returned_at = p_now;
}

bool endpoint_directory::_was_removed_before_era(const endpoint_identity &p_identity, instant p_now) const {
	const auto removed = _removed_at.find(p_identity);
	const bool is_recent = _era_at != instant{} && p_now - _era_at < STALE_ENTRY_EXPIRY;
	return is_recent && removed != _removed_at.end() && removed->second <= _era_at;
}

endpoint_delta endpoint_directory::make_snapshot_delta(const log_position &p_known) const {
	endpoint_delta delta;
	delta.to = p_known.offset;
	delta.era = p_known.era;
	delta.is_whole = true;
	for (const auto &[name, entry] : _endpoints) {
		if (!entry.dropped_at) {
			delta.written.push_back(entry.listing);
		}
	}
	delta.listed = get_listed();
	delta.listed_starts = get_listed_starts();
	return delta;
}

bool endpoint_directory::_is_read_recent(instant p_now) const {
	return _read_at != instant{} && p_now - _read_at <= MAX_READ_AGE;
}

void endpoint_directory::_erase(const std::string &p_name, instant p_now) {
	const auto found = _endpoints.find(p_name);
	if (found == _endpoints.end()) {
		return;
	}
	_new_removed.push_back(found->second.listing.get_identity());
	_removed_at[found->second.listing.get_identity()] = p_now;
	_endpoints.erase(found);
	_changed = true;
}

bool endpoint_directory::_has_left(const endpoint_identity &p_identity) const {
	const auto mark = _left.find(p_identity.vm);
	return mark != _left.end() && p_identity.incarnation <= mark->second;
}

bool endpoint_directory::_add_left(const endpoint_identity &p_identity) {
	if (_has_left(p_identity)) {
		return false;
	}
	_left[p_identity.vm] = p_identity.incarnation;
	_new_leaving.push_back(p_identity);
	return true;
}

void endpoint_directory::on_read(instant p_now) {
	if (_read_at != instant{} && p_now - _read_at > OUTAGE) {
		_returned_at = p_now;
	}
	// Removes reports from before the previous read: this read began after them, so it returns these removals itself.
	std::erase_if(_reported_removed, [this](const auto &p_entry) { return p_entry.second <= _read_at; });
	_read_at = p_now;
	_loaded = true;
}

std::optional<endpoint_listing> endpoint_directory::_find_listed(const std::string &p_name) const {
	const auto found = _endpoints.find(p_name);
	return found == _endpoints.end() || found->second.dropped_at ? std::nullopt : std::optional<endpoint_listing>(found->second.listing);
}

endpoint_delta endpoint_directory::apply_records(const std::vector<endpoint_record> &p_records, std::uint64_t p_from, std::uint64_t p_to, instant p_now) {
	endpoint_delta delta;
	delta.from = p_from;
	delta.to = p_to;
	std::map<std::string, bool> is_dropped; // Whether the newest record of a name is a removal.
	std::map<std::string, std::optional<endpoint_listing>> before;
	for (const endpoint_record &record : p_records) {
		is_dropped[record.name] = !record.listing;
		before.emplace(record.name, _find_listed(record.name));
	}
	for (const endpoint_record &record : p_records) {
		if (record.listing) {
			put(*record.listing);
		} else {
			drop(record.name, p_now);
		}
	}
	for (const auto &[name, dropped] : is_dropped) {
		// Uses the current entry and not the newest record: an earlier record may have marked it as leaving, which is never undone.
		const std::optional<endpoint_listing> now = _find_listed(name);
		const std::optional<endpoint_listing> &known = before.at(name);
		// An earlier start can follow a later one only if the entry was removed in between.
		const bool was_removed_between = known && (!now || now->incarnation < known->incarnation);
		if (dropped || was_removed_between) {
			delta.dropped.push_back(name);
		}
		if (!dropped && now && now != known) {
			delta.written.push_back(*now);
		}
	}
	delta.listed = get_listed();
	delta.listed_starts = get_listed_starts();
	return delta;
}

void endpoint_directory::apply_delta(const endpoint_delta &p_delta, instant p_now) {
	if (p_delta.is_whole) {
		replace(p_delta.written, p_now);
		return;
	}
	for (const std::string &name : p_delta.dropped) {
		drop(name, p_now);
	}
	_put_unordered(p_delta.written);
}

std::uint64_t endpoint_directory::get_listed() const {
	std::uint64_t digest = 0;
	for (const auto &[name, entry] : _endpoints) {
		digest = hash_bytes(name, digest + (entry.listing.leaving ? 1 : 0));
	}
	return digest;
}

std::uint64_t endpoint_directory::get_listed_starts() const {
	// Not 0 for an empty list: 0 stands for a reader that does not support incarnations.
	std::uint64_t digest = hash_bytes("starts", get_listed());
	for (const auto &[name, entry] : _endpoints) {
		digest = hash_bytes(name, digest + entry.listing.incarnation);
	}
	return digest;
}

bool endpoint_directory::is_like(const endpoint_delta &p_delta) const {
	return p_delta.listed_starts == get_listed_starts();
}

void endpoint_directory::put(const endpoint_listing &p_listing) {
	known_endpoint entry{ p_listing, std::nullopt, 0, false };
	const auto found = _endpoints.find(p_listing.vm);
	if (found != _endpoints.end()) {
		const std::uint64_t known = found->second.listing.incarnation;
		if (entry.listing.incarnation == 0) {
			entry.listing.incarnation = known;
		}
		if (entry.listing.incarnation < known) {
			return;
		}
	}
	if (entry.listing.leaving) {
		_add_left(entry.listing.get_identity());
	}
	entry.listing.leaving = _has_left(entry.listing.get_identity());
	if (found != _endpoints.end() && found->second.listing == entry.listing && !found->second.dropped_at) {
		return;
	}
	const bool is_start = found == _endpoints.end() || found->second.listing.address != entry.listing.address || is_replaced_by(found->second.listing.get_identity(), entry.listing.get_identity());
	_order += _is_order_known ? 1 : 0;
	entry.order = is_start ? _order : found->second.order;
	entry.is_superseded = !is_start && found->second.is_superseded;
	_endpoints[p_listing.vm] = std::move(entry);
	_changed = true;
	if (is_start) {
		_supersede_at_address(p_listing.vm);
	}
}

void endpoint_directory::_put_unordered(const std::vector<endpoint_listing> &p_listings) {
	_order++;
	_is_order_known = false;
	for (const endpoint_listing &listing : p_listings) {
		put(listing);
	}
	_is_order_known = true;
}

void endpoint_directory::_supersede_at_address(const std::string &p_name) {
	known_endpoint &started = _endpoints.at(p_name);
	if (started.listing.address.port == 0) {
		return;
	}
	for (auto &[name, other] : _endpoints) {
		if (name == p_name || other.listing.address != started.listing.address || other.is_superseded) {
			continue;
		}
		const std::uint64_t start = started.listing.incarnation;
		const std::uint64_t other_start = other.listing.incarnation;
		const bool are_starts_known = start != 0 && other_start != 0 && start != other_start;
		// Incarnations decide if both are known, as an older start may be read late; otherwise the start received later is the newer one.
		if (are_starts_known ? start < other_start : started.order < other.order) {
			_set_superseded(started);
		} else if (are_starts_known || started.order > other.order) {
			_set_superseded(other);
		}
	}
}

void endpoint_directory::_set_superseded(known_endpoint &r_endpoint) {
	r_endpoint.is_superseded = true;
	_superseded.push_back(r_endpoint.listing.get_identity());
}

void endpoint_directory::drop(const std::string &p_name, instant p_now) {
	const auto found = _endpoints.find(p_name);
	if (found == _endpoints.end()) {
		return;
	}
	if (_is_after_outage(p_now) && !found->second.listing.leaving) {
		found->second.dropped_at = found->second.dropped_at.value_or(p_now);
		return;
	}
	_erase(p_name, p_now);
}

bool endpoint_directory::_knows_less_than_peers(const known_endpoint &p_endpoint, instant p_now) const {
	return !_is_read_recent(p_now) || p_endpoint.dropped_at.has_value();
}

std::map<std::string, endpoint_directory::known_endpoint>::iterator endpoint_directory::_find_removed(const endpoint_identity &p_identity) {
	const auto found = _endpoints.find(p_identity.vm);
	// The entry of a later start is not the one that was removed.
	const bool is_later = found != _endpoints.end() && is_replaced_by(p_identity, found->second.listing.get_identity());
	return is_later ? _endpoints.end() : found;
}

bool endpoint_directory::mark_removed(const endpoint_identity &p_identity, instant p_now) {
	const auto found = _find_removed(p_identity);
	if (found == _endpoints.end()) {
		return false;
	}
	if (!_knows_less_than_peers(found->second, p_now)) {
		_reported_removed[p_identity] = p_now;
		return false;
	}
	_erase(p_identity.vm, p_now);
	return true;
}

std::vector<endpoint_identity> endpoint_directory::drop_reported_removals(instant p_now) {
	std::vector<endpoint_identity> dropped;
	for (const auto &[identity, reported_at] : _reported_removed) {
		const auto found = _find_removed(identity);
		if (found != _endpoints.end() && _knows_less_than_peers(found->second, p_now)) {
			dropped.push_back(identity);
		}
	}
	for (const endpoint_identity &identity : dropped) {
		_reported_removed.erase(identity);
		_erase(identity.vm, p_now);
	}
	return dropped;
}

bool endpoint_directory::contains_start(const endpoint_identity &p_identity) const {
	const auto found = _endpoints.find(p_identity.vm);
	return found != _endpoints.end() && found->second.listing.incarnation == p_identity.incarnation;
}

bool endpoint_directory::is_staying(const endpoint_identity &p_identity) const {
	return contains_start(p_identity) && !_endpoints.at(p_identity.vm).listing.leaving && !_has_left(p_identity) && !is_superseded(p_identity);
}

bool endpoint_directory::is_superseded(const endpoint_identity &p_identity) const {
	return contains_start(p_identity) && _endpoints.at(p_identity.vm).is_superseded;
}

std::vector<endpoint_identity> endpoint_directory::take_superseded() {
	std::vector<endpoint_identity> superseded;
	superseded.swap(_superseded);
	return superseded;
}

void endpoint_directory::replace(const std::vector<endpoint_listing> &p_listings, instant p_now) {
	std::vector<endpoint_listing> listings = p_listings;
	std::erase_if(listings, [this, p_now](const endpoint_listing &p_listing) { return _was_removed_before_era(p_listing.get_identity(), p_now); });
	std::set<std::string> names;
	for (const endpoint_listing &listing : listings) {
		names.insert(listing.vm);
	}
	_put_unordered(listings);
	std::vector<std::string> missing;
	for (const auto &[name, entry] : _endpoints) {
		if (!names.contains(name)) {
			missing.push_back(name);
		}
	}
	for (const std::string &name : missing) {
		drop(name, p_now);
	}
}

bool endpoint_directory::adopt(const std::vector<endpoint_listing> &p_listings) {
	if (_read_at != instant{} || p_listings.empty()) {
		return false;
	}
	_put_unordered(p_listings);
	_loaded = true;
	return true;
}

bool endpoint_directory::mark_leaving(const endpoint_identity &p_identity) {
	const auto found = _endpoints.find(p_identity.vm);
	endpoint_identity leaving = p_identity;
	if (found != _endpoints.end()) {
		const std::uint64_t known = found->second.listing.incarnation;
		leaving.incarnation = leaving.incarnation == 0 ? known : leaving.incarnation;
		if (leaving.incarnation < known) {
			return false;
		}
	}
	if (!_add_left(leaving)) {
		return false;
	}
	if (found != _endpoints.end()) {
		found->second.listing.leaving = true;
		_changed = true;
	}
	return true;
}

void endpoint_directory::tick(instant p_now) {
	std::erase_if(_removed_at, [p_now](const auto &p_entry) { return p_now - p_entry.second > REMOVAL_MEMORY; });
	if (p_now - _returned_at < RECOVERY_TIME) {
		return;
	}
	std::vector<std::string> missing;
	for (const auto &[name, entry] : _endpoints) {
		if (entry.dropped_at) {
			missing.push_back(name);
		}
	}
	for (const std::string &name : missing) {
		_erase(name, p_now);
	}
}

std::optional<instant> endpoint_directory::get_drop_time() const {
	const bool is_waiting = std::any_of(_endpoints.begin(), _endpoints.end(), [](const auto &p_entry) { return p_entry.second.dropped_at.has_value(); });
	return is_waiting ? std::optional<instant>(_returned_at + RECOVERY_TIME) : std::nullopt;
}

std::vector<endpoint_listing> endpoint_directory::get_entries() const {
	std::vector<endpoint_listing> entries;
	entries.reserve(_endpoints.size());
	for (const auto &[name, entry] : _endpoints) {
		entries.push_back(entry.listing);
	}
	return entries;
}

std::vector<endpoint_listing> endpoint_directory::get_listings() const {
	std::vector<endpoint_listing> listings;
	listings.reserve(_endpoints.size());
	for (const auto &[name, entry] : _endpoints) {
		if (!entry.is_superseded) {
			listings.push_back(entry.listing);
		}
	}
	return listings;
}

std::string endpoint_directory::find_zone(const network_address &p_address) const {
	for (const auto &[name, entry] : _endpoints) {
		if (entry.listing.address == p_address && !entry.is_superseded) {
			return entry.listing.zone;
		}
	}
	return "";
}

bool endpoint_directory::take_changed() {
	const bool changed = _changed;
	_changed = false;
	return changed;
}

std::vector<endpoint_identity> endpoint_directory::take_removed() {
	std::vector<endpoint_identity> removed;
	removed.swap(_new_removed);
	return removed;
}

std::vector<endpoint_identity> endpoint_directory::take_updates() {
	std::vector<endpoint_identity> leaving;
	leaving.swap(_new_leaving);
	return leaving;
}

} // namespace calicoscale
