/*
 * calicoscale: rollout_table.cpp
 * State of all roll-outs at one node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/rollout_table.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

rollout_change::kind get_kind(const rollout &p_rollout) {
	if (p_rollout.get_order().is_withdrawn) {
		return rollout_change::kind::WITHDRAWN;
	}
	switch (p_rollout.get_state()) {
		case rollout_state::COMPLETED:
			return rollout_change::kind::COMPLETED;
		case rollout_state::ROLLED_BACK:
			return rollout_change::kind::ROLLED_BACK;
		default:
			break;
	}
	if (p_rollout.is_moving()) {
		return rollout_change::kind::MOVING;
	}
	return p_rollout.is_confirmed() ? rollout_change::kind::CONFIRMED : rollout_change::kind::ORDERED;
}

} // namespace

std::string_view get_name(rollout_change::kind p_kind) {
	static constexpr std::array<std::string_view, static_cast<std::size_t>(rollout_change::kind::COUNT)> NAMES{ "ordered", "withdrawn", "confirmed", "moving", "completed", "rolled_back" };
	return NAMES.at(static_cast<std::size_t>(p_kind));
}

rollout *rollout_table::_find(const std::string &p_service) {
	const auto found = _rollouts.find(p_service);
	return found == _rollouts.end() ? nullptr : &found->second;
}

const rollout *rollout_table::find(const std::string &p_service) const {
	const auto found = _rollouts.find(p_service);
	return found == _rollouts.end() ? nullptr : &found->second;
}

bool rollout_table::_must_wait(const rollout_order &p_order) const {
	const rollout *known = find(p_order.service);
	const bool opens = !p_order.is_withdrawn && !p_order.target_version.empty() && (known == nullptr || (known->is_over() && known->get_order().at < p_order.at));
	const auto open = std::count_if(_rollouts.begin(), _rollouts.end(), [](const auto &p_entry) { return !p_entry.second.is_over(); });
	return opens && static_cast<std::size_t>(open) >= MAX_SERVICES;
}

void rollout_table::_apply(const rollout_order &p_order, instant p_now) {
	const auto waiting_order = _waiting_orders.find(p_order.service);
	if (waiting_order != _waiting_orders.end() && p_order.at < waiting_order->second.at) {
		return;
	}
	if (_must_wait(p_order)) {
		_waiting_orders[p_order.service] = p_order;
		return;
	}
	_waiting_orders.erase(p_order.service);
	rollout *known = _find(p_order.service);
	if (known != nullptr) {
		known->apply_order(p_order, p_now);
	} else if (!p_order.target_version.empty()) {
		rollout &created = _rollouts.emplace(p_order.service, rollout(_bounds, p_order, p_now)).first->second;
		created.set_endpoints(_endpoints[p_order.service]);
	}
}

void rollout_table::_start_waiting_orders(instant p_now) {
	while (!_waiting_orders.empty()) {
		const auto oldest = std::min_element(_waiting_orders.begin(), _waiting_orders.end(), [](const auto &p_left, const auto &p_right) { return p_left.second.at < p_right.second.at; });
		const rollout_order order = oldest->second;
		if (_must_wait(order)) {
			return;
		}
		_apply(order, p_now);
	}
}

void rollout_table::apply_records(const std::vector<rollout_order> &p_orders, instant p_now) {
	for (const rollout_order &order : p_orders) {
		_apply(order, p_now);
		_known_position = std::max(_known_position, log_position{ order.at.era, order.at.offset + 1 });
	}
}

void rollout_table::apply_snapshot(const std::vector<rollout_order> &p_orders, const log_position &p_known, instant p_now) {
	if (p_known < _known_position) {
		return;
	}
	const bool is_new_era = p_known.era != _known_position.era;
	_known_position = p_known;
	for (const rollout_order &order : p_orders) {
		_apply(order, p_now);
	}
	// After a restore from an older copy the log may lack an order that is in force; the operator writes it again.
	if (is_new_era) {
		return;
	}
	const auto is_listed = [&p_orders](const std::string &p_service) {
		return std::any_of(p_orders.begin(), p_orders.end(), [&p_service](const rollout_order &p_order) { return p_order.service == p_service; });
	};
	std::erase_if(_waiting_orders, [&is_listed, &p_known](const auto &p_entry) { return !is_listed(p_entry.first) && p_entry.second.at < p_known; });
	for (auto &[service, entry] : _rollouts) {
		const rollout_order &order = entry.get_order();
		if (!is_listed(service) && !order.is_withdrawn && order.at < p_known) {
			rollout_order withdrawn = order;
			withdrawn.is_withdrawn = true;
			withdrawn.at = p_known;
			entry.apply_order(withdrawn, p_now);
		}
	}
}

bool rollout_table::apply_update(const std::vector<rollout_update> &p_updates, instant p_now) {
	bool is_new = false;
	for (const rollout_update &update : p_updates) {
		rollout *known = _find(update.order.service);
		if (known == nullptr || known->get_order().at < update.order.at) {
			_apply(update.order, p_now);
			known = _find(update.order.service);
			if (known == nullptr || known->get_order().at != update.order.at) {
				continue;
			}
			is_new = true;
		}
		is_new = known->apply_update(update, p_now) || is_new;
	}
	return is_new;
}

void rollout_table::set_endpoints(std::map<std::string, std::vector<std::pair<std::string, std::string>>> p_endpoints) {
	_endpoints = std::move(p_endpoints);
	for (auto &[service, entry] : _rollouts) {
		entry.set_endpoints(_endpoints[service]);
	}
}

void rollout_table::consider(const std::function<rollout_view(const rollout &)> &p_get_view, instant p_now) {
	for (auto &[service, entry] : _rollouts) {
		entry.consider(p_get_view(entry), p_now);
	}
	_start_waiting_orders(p_now);
}

rollout_reports rollout_table::get_reports(instant p_now) const {
	rollout_reports reports;
	for (const auto &[service, entry] : _rollouts) {
		if (!entry.is_over()) {
			reports[service] = entry.get_report(p_now);
		}
	}
	return reports;
}

std::vector<rollout_update> rollout_table::make_update(const rollout_reports &p_reports, instant p_now) const {
	std::vector<rollout_update> updates;
	for (const auto &[service, entry] : _rollouts) {
		updates.push_back(entry.make_update(p_now));
		const auto report = p_reports.find(service);
		if (report != p_reports.end() && report->second.order == entry.get_order().at) {
			updates.back().report = report->second;
			updates.back().past = entry.get_past();
		}
	}
	return updates;
}

std::vector<rollout_change> rollout_table::take_changes() {
	std::vector<rollout_change> changes;
	for (auto &[service, entry] : _rollouts) {
		const rollout_change::kind kind = get_kind(entry);
		const auto reported = _reported_kinds.find(service);
		const bool is_same_order = _reported_orders[service] == entry.get_order().at;
		if (reported != _reported_kinds.end() && reported->second == kind && is_same_order) {
			continue;
		}
		_reported_kinds[service] = kind;
		_reported_orders[service] = entry.get_order().at;
		changes.push_back(rollout_change{ kind, service, entry.get_order().target_version, entry.get_verdict() });
	}
	return changes;
}

} // namespace calicoscale
