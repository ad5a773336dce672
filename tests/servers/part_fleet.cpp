/*
 * calicoscale: part_fleet.cpp
 * A fleet in parts in virtual time, whose nodes find each other by the names in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/part_fleet.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr instant START{ std::chrono::seconds(1000) };
constexpr std::size_t ZONES = 5;
constexpr duration STEP = std::chrono::milliseconds(200);
constexpr int STEPS_PER_SECOND = 5;
/** Time in which each part links itself before names are used, as the nodes of a part know each other through their seeds. */
constexpr duration LINKING_TIME = std::chrono::seconds(3);
/** In which the hubs of the joined fleet link to each other and send what they learned. */
constexpr duration SETTLING_TIME = std::chrono::seconds(3);

network_address make_address(const std::string &p_vm) {
	return network_address{ p_vm, 7000 };
}

member_digest make_digest(const overlay_node &p_node, bool p_is_hub) {
	member_digest digest;
	digest.vm = p_node.vm;
	digest.zone = p_node.zone;
	digest.link = make_address(p_node.vm);
	digest.hub = p_is_hub;
	return digest;
}

} // namespace

part_fleet::node::node(const overlay_node &p_own) :
		own(p_own), overlay(p_own.vm, p_own.zone), contacts(p_own.vm) {
}

part_fleet::part_fleet(std::size_t p_nodes, std::size_t p_parts, seek_policy p_policy) :
		_policy(p_policy), _random(1), _now(START) {
	std::vector<overlay_node> all;
	for (std::size_t i = 0; i < p_nodes; i++) {
		all.push_back(overlay_node{ "n" + std::to_string(i), "z" + std::to_string(i / p_parts % ZONES), 1.0 });
		_nodes.emplace(all.back().vm, node(all.back()));
	}
	for (std::size_t i = 0; i < p_nodes; i++) {
		for (std::size_t k = i % p_parts; k < p_nodes; k += p_parts) {
			_learn(_nodes.at(all[i].vm), all[k]);
		}
	}
}

void part_fleet::_learn(node &r_node, const overlay_node &p_other) {
	const bool is_hub = _is_hub(p_other.vm);
	const auto [found, is_new] = r_node.known_names.try_emplace(p_other.vm, is_hub);
	if (is_new) {
		r_node.known.push_back(p_other);
	}
	if (is_new || found->second != is_hub) {
		found->second = is_hub;
		r_node.feed.note(make_digest(p_other, is_hub));
	}
}

void part_fleet::_connect() {
	for (const auto &[from, to] : _dialled) {
		_nodes.at(from).links.insert(to);
		_nodes.at(to).links.insert(from);
	}
	for (const auto &[from, to] : _dialled) {
		_learn(_nodes.at(from), _nodes.at(to).own);
		_learn(_nodes.at(to), _nodes.at(from).own);
	}
	_dialled.clear();
}

void part_fleet::_plan(node &r_node) {
	const bool is_settled = std::all_of(r_node.plan.wanted.begin(), r_node.plan.wanted.end(), [&r_node](const std::string &p_vm) { return r_node.links.contains(p_vm); });
	if (is_settled && r_node.planned_nodes == r_node.known.size() && r_node.planned_links == r_node.links.size()) {
		return;
	}
	r_node.planned_nodes = r_node.known.size();
	r_node.planned_links = r_node.links.size();
	r_node.plan = r_node.overlay.plan(
			r_node.known, [&r_node](const std::string &p_vm) { return r_node.links.contains(p_vm); }, false, _now);
	for (const std::string &vm : r_node.plan.wanted) {
		if (!r_node.links.contains(vm)) {
			_dialled.emplace(r_node.own.vm, vm);
		}
	}
}

void part_fleet::_seek(node &r_node) {
	if (r_node.plan.is_hub) {
		_names.insert(r_node.own.vm);
	}
	const bool is_first = r_node.plan.is_hub && *std::min_element(r_node.plan.hubs.begin(), r_node.plan.hubs.end()) == r_node.own.vm;
	const bool seeks = _policy == seek_policy::FIRST_DISPATCHERS && is_first;
	if (!r_node.contacts.take_read(seeks, r_node.known.size(), _random.get_unit(), _now)) {
		return;
	}
	_result.reads++;
	std::vector<named_node> names;
	for (const std::string &vm : _names) {
		names.push_back(named_node{ vm, make_address(vm), _nodes.at(vm).own.zone });
	}
	const auto get_state = [&r_node](const named_node &p_node) { return r_node.known_names.contains(p_node.vm) ? named_state::KNOWN : named_state::UNKNOWN; };
	const named_contact_plan plan = r_node.contacts.plan(names, get_state, _now);
	for (const named_node &dialled : plan.dialled) {
		_dialled.emplace(r_node.own.vm, dialled.vm);
	}
	_result.most_dials = std::max(_result.most_dials, plan.dialled.size());
}

void part_fleet::_send_digests(node &r_node) {
	for (const std::string &vm : r_node.links) {
		node &peer = _nodes.at(vm);
		const auto is_of_use = [this, &peer](const std::string &p_other) { return peer.plan.is_hub || _is_hub(p_other) || _nodes.at(p_other).own.zone == peer.own.zone; };
		const auto complete = r_node.complete.find(vm);
		if (complete != r_node.complete.end() && complete->second == r_node.known.size()) {
			continue;
		}
		const std::vector<std::string> digests = r_node.feed.take(vm, is_of_use);
		if (digests.empty()) {
			r_node.complete[vm] = r_node.known.size();
		}
		for (const std::string &other : digests) {
			peer.received++;
			if (other != vm) {
				_learn(peer, _nodes.at(other).own);
			}
		}
	}
}

void part_fleet::_step() {
	_connect();
	for (auto &[vm, entry] : _nodes) {
		_plan(entry);
	}
	for (auto &[vm, entry] : _nodes) {
		_send_digests(entry);
	}
	if (!_is_starting()) {
		for (auto &[vm, entry] : _nodes) {
			_seek(entry);
		}
	}
	_now += STEP;
}

bool part_fleet::_is_starting() const {
	return _now < START + LINKING_TIME;
}

std::size_t part_fleet::_take_most_digests() {
	std::size_t most = 0;
	for (auto &[vm, entry] : _nodes) {
		most = std::max(most, entry.received);
		entry.received = 0;
	}
	return most;
}

bool part_fleet::_is_joined() const {
	const auto knows_all = [this](const node &p_node) { return p_node.plan.is_hub && p_node.known.size() == _nodes.size(); };
	return std::all_of(_nodes.begin(), _nodes.end(), [this, &knows_all](const auto &p_entry) {
		const node &entry = p_entry.second;
		if (entry.plan.is_hub) {
			return knows_all(entry);
		}
		return std::any_of(entry.plan.hubs.begin(), entry.plan.hubs.end(), [this, &knows_all](const std::string &p_hub) { return knows_all(_nodes.at(p_hub)); });
	});
}

std::size_t part_fleet::play_start() {
	std::size_t most = 0;
	for (int step = 1; _is_starting(); step++) {
		_step();
		most = step % STEPS_PER_SECOND == 0 ? std::max(most, _take_most_digests()) : most;
	}
	return most;
}

part_fleet_result part_fleet::play(duration p_time) {
	play_start();
	instant end = START + p_time;
	for (int step = 1; _now < end; step++) {
		_step();
		if (step % STEPS_PER_SECOND == 0) {
			_result.most_digests = std::max(_result.most_digests, _take_most_digests());
		}
		if (!_result.joined_after && _is_joined()) {
			_result.joined_after = _now - START;
			end = _now + SETTLING_TIME;
		}
	}
	return _result;
}

std::size_t part_fleet::count_reads(duration p_time) {
	const std::size_t before = _result.reads;
	const instant end = _now + p_time;
	while (_now < end) {
		for (auto &[vm, entry] : _nodes) {
			_seek(entry);
		}
		_now += std::chrono::seconds(1);
	}
	return _result.reads - before;
}

} // namespace calicoscale
