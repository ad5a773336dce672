/*
 * calicoscale: peer_contacts.cpp
 * Last contact with each peer, schedule of heartbeats to it, and the endpoint updates sent to it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/peer_contacts.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration HEARTBEAT_INTERVAL = std::chrono::milliseconds(200);
/**
 * Interval between nodes that don't depend closely on each other. In a fleet of 60, heartbeats with all updates to all nodes each
 * 200 ms use half of a small node's link of 10 Mbit/s, until little else gets through.
 */
constexpr duration SLOW_HEARTBEAT_INTERVAL = std::chrono::milliseconds(1000);
/** A node is unresponsive after three missed heartbeats and some delay; work assigned to it is then assigned to another node. */
constexpr int MAX_MISSED_HEARTBEATS = 3;
constexpr duration HEARTBEAT_DELAY = std::chrono::milliseconds(150);
/** A peer's reported need of a link stays valid for three slow heartbeats and some delay, the same as its responsiveness. */
constexpr duration NEEDS_LIFETIME = std::chrono::milliseconds(3150);
/** A link that stays silent for this time after its peer became unresponsive is closed, so that a new one is attempted. */
constexpr duration SILENT_LINK_TIME = std::chrono::milliseconds(1750);
/** Lifetime of the update about an endpoint that leaves; peers that are linked later read it from the store. */
constexpr duration LEAVING_UPDATE_LIFETIME = std::chrono::seconds(5);
/** Lifetime of the update about a removed entry, for peers that were partitioned and can't distinguish the removal from an entry that the store lost. */
constexpr duration REMOVAL_UPDATE_LIFETIME = std::chrono::seconds(20);
constexpr std::size_t MAX_UPDATES = 512;

} // namespace

duration peer_contacts::get_interval(bool p_at_short_interval) {
	return p_at_short_interval ? HEARTBEAT_INTERVAL : SLOW_HEARTBEAT_INTERVAL;
}

duration peer_contacts::_get_silence(const contact &p_contact) {
	return p_contact.next_in * MAX_MISSED_HEARTBEATS + HEARTBEAT_DELAY;
}

void peer_contacts::on_contact(const std::string &p_peer, duration p_next_heartbeat_in, instant p_now) {
	contact &entry = _contacts[p_peer];
	entry.last_contact_at = p_now;
	// A node of an older version, which reports no interval, sends at the short one. The value is bounded, as it determines when the peer counts as failed.
	entry.next_in = std::clamp(p_next_heartbeat_in, HEARTBEAT_INTERVAL, SLOW_HEARTBEAT_INTERVAL);
}

bool peer_contacts::is_responsive(const std::string &p_peer, instant p_now) const {
	const auto found = _contacts.find(p_peer);
	return found != _contacts.end() && found->second.last_contact_at != instant{} && p_now - found->second.last_contact_at < _get_silence(found->second);
}

void peer_contacts::extend_deadlines(duration p_stall) {
	for (auto &[peer, entry] : _contacts) {
		for (instant *last_time : { &entry.last_contact_at, &entry.link_needed_at, &entry.followed_at }) {
			*last_time += *last_time == instant{} ? duration::zero() : p_stall;
		}
	}
}

std::vector<std::string> peer_contacts::get_silent_peers(instant p_now) const {
	std::vector<std::string> dead;
	for (const auto &[peer, entry] : _contacts) {
		if (entry.last_contact_at != instant{} && p_now - entry.last_contact_at > _get_silence(entry) + SILENT_LINK_TIME) {
			dead.push_back(peer);
		}
	}
	return dead;
}

void peer_contacts::on_linked(const std::string &p_peer) {
	_contacts[p_peer].sent_update_number = 0;
	_contacts[p_peer].announced_short_interval = false;
}

const peer_contacts::contact *peer_contacts::_find(const std::string &p_peer) const {
	const auto found = _contacts.find(p_peer);
	return found == _contacts.end() ? nullptr : &found->second;
}

void peer_contacts::on_needs_reported(const std::string &p_peer, bool p_needs_link, bool p_follows, instant p_now) {
	contact &entry = _contacts[p_peer];
	entry.link_needed_at = p_needs_link ? p_now : instant{};
	entry.followed_at = p_follows ? p_now : instant{};
}

bool peer_contacts::is_wanted(const std::string &p_peer, instant p_now) const {
	const contact *entry = _find(p_peer);
	return entry != nullptr && entry->link_needed_at != instant{} && p_now - entry->link_needed_at < NEEDS_LIFETIME;
}

bool peer_contacts::is_relied_on(const std::string &p_peer, instant p_now) const {
	const contact *entry = _find(p_peer);
	return entry != nullptr && entry->followed_at != instant{} && p_now - entry->followed_at < _get_silence(*entry);
}

std::vector<std::string> peer_contacts::get_followers(instant p_now) const {
	std::vector<std::string> followers;
	for (const auto &[peer, entry] : _contacts) {
		if (is_relied_on(peer, p_now)) {
			followers.push_back(peer);
		}
	}
	return followers;
}

bool peer_contacts::is_due(const std::string &p_peer, bool p_at_short_interval, bool p_receives_updates, instant p_now) const {
	const contact *entry = _find(p_peer);
	// A peer that was announced the short interval would take a longer pause for a failure of this node and release what it keeps for it.
	if (entry == nullptr || p_at_short_interval || entry->announced_short_interval) {
		return true;
	}
	const bool has_updates = p_receives_updates && !_updates.empty() && _updates.back().number > entry->sent_update_number;
	// The heartbeat timer may fire slightly early relative to the last heartbeat.
	return has_updates || p_now - entry->sent_at > SLOW_HEARTBEAT_INTERVAL - HEARTBEAT_INTERVAL / 2;
}

std::vector<endpoint_update> peer_contacts::on_sent(const std::string &p_peer, bool p_at_short_interval, bool p_receives_updates, instant p_now) {
	contact &entry = _contacts[p_peer];
	entry.sent_at = p_now;
	entry.announced_short_interval = p_at_short_interval;
	std::vector<endpoint_update> sent;
	if (!p_receives_updates) {
		return sent;
	}
	for (const numbered_update &item : _updates) {
		if (item.number > entry.sent_update_number) {
			entry.sent_update_number = item.number;
			sent.push_back(item.update);
		}
	}
	return sent;
}

void peer_contacts::add_update(endpoint_update p_update, instant p_now) {
	const instant expires_at = p_now + (p_update.is_gone ? REMOVAL_UPDATE_LIFETIME : LEAVING_UPDATE_LIFETIME);
	_updates.push_back(numbered_update{ _next_update_number++, std::move(p_update), expires_at });
	while (_updates.size() > MAX_UPDATES) {
		_updates.pop_front();
	}
}

void peer_contacts::expire_updates(const std::function<bool(const endpoint_update &)> &p_is_obsolete, instant p_now) {
	std::erase_if(_updates, [&p_is_obsolete, p_now](const numbered_update &p_item) { return p_item.expires_at < p_now || p_is_obsolete(p_item.update); });
}

} // namespace calicoscale
