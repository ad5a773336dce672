/*
 * calicoscale: store_sharing.cpp
 * Chooses the node of a zone that reads the store for the others, and sends them what it read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/store_sharing.h"

#include "servers/membership/read_order.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Time after the start at which a node without links that may have peers reads for itself. */
constexpr duration MAX_UNLINKED_TIME = std::chrono::milliseconds(2000);
/** Time after the start at which a node that still learns of nodes of its zone reads for it, if it would be the reader. */
constexpr duration MAX_MEETING_TIME = std::chrono::milliseconds(4000);
/** Nodes of a zone that started together have met when a node has learnt of no further one for this time. */
constexpr duration MEETING_PAUSE = std::chrono::milliseconds(300);

} // namespace

store_sharing::store_sharing(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, node_link &p_link, store_sharing_hooks p_hooks) :
		_context(p_context), _configuration(p_configuration), _endpoints(p_endpoints), _link(p_link), _hooks(std::move(p_hooks)), _started_at(event_loop::now()) {
	_link.endpoints_reported().connect([this](const std::string &p_vm, const report_endpoints_message &p_message) { _endpoints.offer(p_message.endpoints, p_message.known, p_vm); });
	_link.delta_reported().connect([this](const std::string &p_vm, const report_delta_message &p_message) { _on_delta_reported(p_vm, p_message.reading); });
	_endpoints.delta_published().connect([this](const endpoint_delta &p_reading) { _publish_delta(p_reading); });
}

void store_sharing::set_zone_nodes(const std::vector<overlay_node> &p_nodes, const std::vector<std::string> &p_hubs) {
	if (p_nodes.size() != _known_nodes) {
		_known_nodes = p_nodes.size();
		_nodes_changed_at = event_loop::now();
	}
	const std::size_t rank = find_read_rank(_context.settings.vm, p_nodes);
	_configuration.set_read_rank(rank);
	_endpoints.set_read_rank(rank);
	const std::size_t position = find_read_position(_context.settings.vm, _context.settings.zone, p_hubs, p_nodes);
	_configuration.set_turn(position);
	_endpoints.set_turn(position);
}

bool store_sharing::_has_peers() const {
	const std::vector<network_address> &peers = _context.settings.peers;
	return std::any_of(peers.begin(), peers.end(), [this](const network_address &p_peer) { return !(p_peer == _link.get_address()); });
}

bool store_sharing::_is_discovering_peers(bool p_is_settled) const {
	const instant now = event_loop::now();
	if (!_has_peers()) {
		return false;
	}
	if (_link.get_linked().empty()) {
		return now - _started_at < MAX_UNLINKED_TIME;
	}
	const bool is_meeting = !p_is_settled || now - _nodes_changed_at < MEETING_PAUSE;
	return is_meeting && now - _started_at < MAX_MEETING_TIME;
}

void store_sharing::set_hubs(const std::vector<std::string> &p_hubs, bool p_is_settled) {
	const bool was_reader = is_reader();
	_reader = p_hubs.empty() ? _context.settings.vm : choose_reader(_context.settings.zone, p_hubs);
	if (!_context.settings.mechanisms.has(mechanism::STORE_READERS)) {
		return;
	}
	const bool is_discovering = _is_discovering_peers(p_is_settled);
	const bool has_peer_reader = !is_reader() || is_discovering;
	const bool is_linked = !_link.get_linked().empty();
	_configuration.set_linked(is_linked, !is_linked && is_discovering);
	_endpoints.set_linked(is_linked, !is_linked && is_discovering);
	_configuration.set_has_peer_reader(has_peer_reader);
	_endpoints.set_has_peer_reader(has_peer_reader);
	if (is_reader() != was_reader) {
		_context.log.write(log_line("store_reader").add("zone", _context.settings.zone).add("reads", is_reader() ? "yes" : "no").add("reader", _reader).add("candidates", static_cast<long long>(p_hubs.size())));
	}
	update_cover();
}

void store_sharing::update_cover() {
	if (!_context.settings.mechanisms.has(mechanism::STORE_READERS)) {
		return;
	}
	const bool is_covered = _coverage.is_covered(_configuration.get_version(), _hooks.is_responsive, event_loop::now());
	_configuration.set_covered(!is_reader() && is_covered && _configuration.get_current() != nullptr);
}

void store_sharing::on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message, std::uint64_t p_version) {
	// A node of a version without evacuations cannot report them, so this node reads by itself.
	const bool follows = p_message.follows && p_message.evacuations.known != log_position();
	if (_coverage.on_heartbeat(p_vm, follows, p_message.next_in, p_version)) {
		update_cover();
	}
}

void store_sharing::_publish_delta(const endpoint_delta &p_reading) {
	if (!_context.settings.mechanisms.has(mechanism::STORE_READERS)) {
		return;
	}
	for (const std::string &vm : _link.get_linked()) {
		if (_hooks.is_in_own_zone(vm)) {
			_link.send(vm, report_delta_message{ p_reading });
		}
	}
}

void store_sharing::_forward_delta(const endpoint_delta &p_reading, const std::string &p_from) {
	// Nodes follow this one if they take it for their reader, or if the node that reads has no link to them.
	if (p_reading.is_whole) {
		return;
	}
	for (const std::string &vm : _hooks.get_followers()) {
		if (vm != p_from && _hooks.is_in_own_zone(vm)) {
			_link.send(vm, report_delta_message{ p_reading });
		}
	}
}

void store_sharing::_on_delta_reported(const std::string &p_vm, const endpoint_delta &p_reading) {
	if (!_context.settings.mechanisms.has(mechanism::STORE_READERS)) {
		return;
	}
	_hooks.collect_updates();
	const log_position known = _endpoints.get_known();
	if (_endpoints.apply_delta(p_reading, p_vm) && _endpoints.get_known() != known) {
		_forward_delta(p_reading, p_vm);
	}
	// The reader announces these updates to all nodes. The other nodes of its zone need not announce them again.
	_endpoints.get_directory().take_updates();
	_endpoints.get_directory().take_removed();
}

} // namespace calicoscale
