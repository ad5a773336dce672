/*
 * calicoscale: member_table.cpp
 * Table of the entry nodes of the fleet, as known to this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/member_table.h"

#include "core/digest.h"
#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::size_t RING_NEIGHBOURS = 2;
constexpr std::size_t DIGESTS_PER_HEARTBEAT = 6;
constexpr std::size_t MAX_DEMANDS = 8;
constexpr duration SUSPECT_AFTER_BASE = std::chrono::milliseconds(4000);
/** Each heartbeat carries the digests of a few members in rotation, so that the time between digests of a member grows with the fleet. */
constexpr duration SUSPECT_AFTER_PER_MEMBER = std::chrono::milliseconds(60);
constexpr int GONE_AFTER_FACTOR = 6;
constexpr int ERASED_AFTER_FACTOR = 40;
constexpr std::size_t MAX_MEMBERS = 4096;

constexpr std::array<enum_name<member_state>, 4> STATE_NAMES{ {
		{ member_state::ALIVE, "alive" },
		{ member_state::SUSPECT, "suspect" },
		{ member_state::LEAVING, "leaving" },
		{ member_state::GONE, "gone" },
} };

bool is_newer(const member_digest &p_left, const member_digest &p_right) {
	if (p_left.incarnation != p_right.incarnation) {
		return p_left.incarnation > p_right.incarnation;
	}
	return p_left.heartbeat > p_right.heartbeat;
}

} // namespace

std::string_view get_name(member_state p_state) {
	return find_name(STATE_NAMES, p_state);
}

member_table::member_table(member_digest p_self) :
		_self(std::move(p_self)) {
}

void member_table::update_self(bool p_ready, bool p_leaving, std::uint64_t p_configuration_version, customer_demands p_demand) {
	_self.ready = p_ready;
	_self.leaving = _self.leaving || p_leaving;
	_self.configuration_version = p_configuration_version;
	while (p_demand.size() > MAX_DEMANDS) {
		const auto smallest = std::min_element(p_demand.begin(), p_demand.end(), [](const auto &p_left, const auto &p_right) {
			return p_left.second < p_right.second;
		});
		p_demand.erase(smallest);
	}
	_self.demand = std::move(p_demand);
}

void member_table::_set_state(member &p_member, member_state p_state) {
	if (p_member.state == p_state) {
		return;
	}
	p_member.state = p_state;
	_changes.push_back(member_change{ p_member.digest.vm, p_state });
}

std::vector<member_digest> member_table::make_own_heartbeat() {
	_self.heartbeat++;
	return { _self };
}

std::vector<member_digest> member_table::make_heartbeat() {
	std::vector<member_digest> digests = make_own_heartbeat();
	std::vector<const member *> known;
	for (const auto &[vm, entry] : _members) {
		if (entry.digest.heartbeat > 0 && entry.state != member_state::GONE) {
			known.push_back(&entry);
		}
	}
	const std::size_t count = std::min(known.size(), DIGESTS_PER_HEARTBEAT);
	for (std::size_t i = 0; i < count; i++) {
		digests.push_back(known[(_rotation + i) % known.size()]->digest);
	}
	_rotation = known.empty() ? 0 : (_rotation + count) % known.size();
	return digests;
}

void member_table::merge_digests(const std::vector<member_digest> &p_digests, instant p_now) {
	for (const member_digest &digest : p_digests) {
		if (digest.vm == _self.vm) {
			// After the wall clock stepped back, an earlier incarnation of this VM would count as the newer one.
			_self.incarnation = std::max(_self.incarnation, digest.incarnation > _self.incarnation ? digest.incarnation + 1 : 0);
			continue;
		}
		const auto found = _members.find(digest.vm);
		if (found == _members.end()) {
			if (_members.size() >= MAX_MEMBERS) {
				continue;
			}
			const member_state state = digest.leaving ? member_state::LEAVING : member_state::ALIVE;
			_members.emplace(digest.vm, member{ digest, state, p_now, false });
			_changes.push_back(member_change{ digest.vm, state });
			continue;
		}
		member &known = found->second;
		if (!is_newer(digest, known.digest)) {
			continue;
		}
		const bool is_same_incarnation = digest.incarnation == known.digest.incarnation;
		const bool leaving = digest.leaving || (is_same_incarnation && known.digest.leaving);
		known.digest = digest;
		known.digest.leaving = leaving;
		known.last_contact_at = p_now;
		_set_state(known, leaving ? member_state::LEAVING : member_state::ALIVE);
	}
}

void member_table::apply_listings(const std::vector<entry_listing> &p_listings, instant p_now) {
	if (p_listings.empty()) {
		return;
	}
	for (auto &[vm, entry] : _members) {
		entry.listed = false;
	}
	for (const entry_listing &listing : p_listings) {
		if (listing.vm == _self.vm) {
			continue;
		}
		const auto [found, is_new] = _members.try_emplace(listing.vm);
		member &known = found->second;
		known.listed = true;
		if (is_new) {
			known.digest.vm = listing.vm;
			known.digest.incarnation = listing.incarnation;
			known.digest.zone = listing.zone;
			known.digest.link = listing.link;
			known.state = member_state::SUSPECT;
			known.last_contact_at = p_now;
		}
		if (listing.leaving && listing.incarnation >= known.digest.incarnation) {
			known.digest.leaving = true;
			_set_state(known, member_state::LEAVING);
		}
	}
}

std::size_t member_table::_count_alive() const {
	return static_cast<std::size_t>(std::count_if(_members.begin(), _members.end(), [](const auto &p_entry) {
		return p_entry.second.state != member_state::GONE;
	}));
}

std::size_t member_table::count_senders(duration p_window, instant p_now) const {
	const auto may_have_sent = [p_window, p_now](const auto &p_entry) {
		return !p_entry.second.digest.leaving || p_now - p_entry.second.last_contact_at < p_window;
	};
	return 1 + static_cast<std::size_t>(std::count_if(_members.begin(), _members.end(), may_have_sent));
}

duration member_table::get_suspect_after() const {
	return SUSPECT_AFTER_BASE + SUSPECT_AFTER_PER_MEMBER * static_cast<duration::rep>(_count_alive());
}

void member_table::tick(instant p_now) {
	const duration suspect_after = get_suspect_after();
	for (auto &[vm, entry] : _members) {
		const duration silence = p_now - entry.last_contact_at;
		if (silence >= suspect_after * GONE_AFTER_FACTOR) {
			_set_state(entry, member_state::GONE);
		} else if (silence >= suspect_after && entry.state == member_state::ALIVE) {
			_set_state(entry, member_state::SUSPECT);
		}
	}
	// A listed member is kept even when it is silent: links to it are still attempted, so that no operator is needed after a partition.
	std::erase_if(_members, [p_now, suspect_after](const auto &p_entry) {
		return !p_entry.second.listed && p_now - p_entry.second.last_contact_at >= suspect_after * ERASED_AFTER_FACTOR;
	});
}

std::vector<std::string> member_table::choose_neighbours() const {
	std::vector<std::pair<std::uint64_t, const member *>> ring;
	for (const auto &[vm, entry] : _members) {
		const bool may_link = entry.digest.link.port != 0 && (entry.listed || entry.state != member_state::GONE);
		if (may_link) {
			ring.emplace_back(hash_bytes(vm), &entry);
		}
	}
	std::sort(ring.begin(), ring.end());
	const std::uint64_t own = hash_bytes(_self.vm);
	const auto start = std::find_if(ring.begin(), ring.end(), [own](const auto &p_point) { return p_point.first > own; });
	const std::size_t first = static_cast<std::size_t>(start - ring.begin());
	std::vector<std::string> neighbours;
	bool has_other_zone = false;
	for (std::size_t i = 0; i < ring.size(); i++) {
		const member &candidate = *ring[(first + i) % ring.size()].second;
		const bool is_other_zone = candidate.digest.zone != _self.zone;
		const bool wanted = neighbours.size() < RING_NEIGHBOURS || (is_other_zone && !has_other_zone);
		if (!wanted) {
			continue;
		}
		neighbours.push_back(candidate.digest.vm);
		has_other_zone = has_other_zone || is_other_zone;
		if (neighbours.size() > RING_NEIGHBOURS && has_other_zone) {
			break;
		}
	}
	return neighbours;
}

std::vector<share_member> member_table::get_share_members(instant p_now) const {
	std::vector<share_member> members;
	members.push_back(share_member{ _self.vm, _self.zone, true, _self.demand });
	const duration grant = get_suspect_after();
	for (const auto &[vm, entry] : _members) {
		if (entry.state == member_state::GONE || entry.state == member_state::LEAVING) {
			continue;
		}
		const bool is_valid = entry.state == member_state::ALIVE && p_now - entry.last_contact_at < grant;
		members.push_back(share_member{ vm, entry.digest.zone, is_valid, entry.digest.demand });
	}
	return members;
}

const member *member_table::find(const std::string &p_vm) const {
	const auto found = _members.find(p_vm);
	return found == _members.end() ? nullptr : &found->second;
}

std::vector<member_change> member_table::take_changes() {
	std::vector<member_change> changes;
	changes.swap(_changes);
	return changes;
}

} // namespace calicoscale
