/*
 * calicoscale: named_contacts.cpp
 * Finds the nodes that the store names and that no known node is in contact with.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/named_contacts.h"

#include "core/digest.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace calicoscale {

namespace {

constexpr duration MIN_READ_INTERVAL = std::chrono::seconds(4);
/** Share of the time since the last change after which the names are read again. */
constexpr double READ_INTERVAL_SHARE = 0.5;
/** The interval varies by this share to both sides, so that the parts of a fleet do not read at the same moment each time. */
constexpr double READ_JITTER = 0.25;
constexpr duration MIN_DIAL_PAUSE = std::chrono::seconds(2);
constexpr duration MAX_DIAL_PAUSE = std::chrono::seconds(60);

/** Nodes that were dialled least come first, then in an order that differs between the nodes that seek. */
using dial_order = std::pair<duration, std::uint64_t>;

} // namespace

bool named_contacts::take_read(bool p_is_seeking, std::size_t p_known_nodes, double p_unit, instant p_now) {
	if (p_known_nodes != _known_nodes) {
		_known_nodes = p_known_nodes;
		_changed_at = p_now;
		_read_at = std::min(_read_at, p_now + MIN_READ_INTERVAL);
	}
	const bool has_started = p_is_seeking && !_is_seeking;
	_is_seeking = p_is_seeking;
	if (has_started) {
		// Another node may turn out to be the one that seeks, as in a fleet that starts.
		_sought.clear();
		_read_at = p_now + MIN_READ_INTERVAL;
	}
	if (!_is_seeking || p_now < _read_at) {
		return false;
	}
	const duration since_change = from_seconds(to_seconds(p_now - _changed_at) * READ_INTERVAL_SHARE);
	const duration interval = std::clamp(since_change, MIN_READ_INTERVAL, MAX_READ_INTERVAL);
	_read_at = p_now + from_seconds(to_seconds(interval) * (1.0 - READ_JITTER + 2.0 * READ_JITTER * p_unit));
	return true;
}

void named_contacts::_forget(const std::map<std::string, const named_node *> &p_sought) {
	std::erase_if(_sought, [&p_sought](const auto &p_entry) {
		const auto found = p_sought.find(p_entry.first);
		return found == p_sought.end() || !(found->second->address == p_entry.second.address);
	});
}

named_contact_plan named_contacts::plan(const std::vector<named_node> &p_names, const std::function<named_state(const named_node &)> &p_get_state, instant p_now) {
	named_contact_plan plan;
	std::map<std::string, const named_node *> sought;
	std::vector<std::pair<dial_order, const named_node *>> due;
	const std::uint64_t own_hash = hash_bytes(_vm);
	for (const named_node &name : p_names) {
		const named_state state = name.vm == _vm ? named_state::KNOWN : p_get_state(name);
		if (state != named_state::KNOWN) {
			sought.emplace(name.vm, &name);
		}
		plan.unknown += state == named_state::UNKNOWN ? 1 : 0;
	}
	_forget(sought);
	for (const auto &[vm, name] : sought) {
		const contact &entry = _sought.try_emplace(vm, contact{ name->address, p_now, p_now, duration::zero() }).first->second;
		if (p_now - entry.found_at >= REMOVAL_TIME && plan.removed.size() < MAX_ACTIONS) {
			plan.removed.push_back(vm);
		} else if (p_now >= entry.next_dial_at && p_get_state(*name) == named_state::UNKNOWN) {
			due.emplace_back(dial_order(entry.pause, hash_bytes(vm, own_hash)), name);
		}
	}
	std::sort(due.begin(), due.end());
	due.resize(std::min(due.size(), MAX_ACTIONS));
	for (const auto &[order, name] : due) {
		contact &entry = _sought.at(name->vm);
		entry.pause = entry.pause == duration::zero() ? MIN_DIAL_PAUSE : std::min(entry.pause * 2, MAX_DIAL_PAUSE);
		entry.next_dial_at = p_now + entry.pause;
		plan.dialled.push_back(*name);
	}
	return plan;
}

} // namespace calicoscale
