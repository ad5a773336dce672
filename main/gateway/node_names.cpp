/*
 * calicoscale: node_names.cpp
 * Names and addresses of nodes in the store, by which nodes find each other without a seed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/node_names.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration UNLINKED_READ_INTERVAL = std::chrono::seconds(2);
constexpr duration WRITE_RETRY = std::chrono::seconds(3);
/**
 * Time for which a starting node with seed addresses does not use the names in the store. It considers itself a hub until it has
 * contact with others, and finds them through the seeds if any of these is reachable.
 */
constexpr duration DISCOVERY_TIME = std::chrono::milliseconds(700);

std::vector<named_node> read_names(const store_answer &p_answer) {
	std::vector<named_node> names;
	for (const store_record &record : p_answer.records) {
		const std::string value = record.value.value_or("");
		const std::size_t space = value.find(' ');
		const network_address address = parse_network_address(value.substr(0, space));
		if (address.port != 0) {
			names.push_back(named_node{ record.key, address, space == std::string::npos ? "" : value.substr(space + 1) });
		}
	}
	return names;
}

} // namespace

node_names::node_names(gateway_context &p_context, endpoint_follower &p_endpoints, node_link &p_link, std::function<named_state(const named_node &)> p_get_state) :
		_context(p_context), _link(p_link), _get_state(std::move(p_get_state)), _contacts(p_context.settings.vm), _started_at(event_loop::now()) {
	// The copy may be older than the record with this node's name.
	p_endpoints.era_entered().connect([this] { _is_written = false; });
}

void node_names::use(const names_use &p_use) {
	const instant now = event_loop::now();
	if (!_context.settings.peers.empty() && now - _started_at < DISCOVERY_TIME) {
		return;
	}
	if (!_is_written && p_use.is_hub && now - _write_at > WRITE_RETRY) {
		_write_at = now;
		_write();
	}
	// All seeds may be stale, and a zone that was partitioned may have no link: then the names in the store are used.
	const bool is_due_without_link = _link.get_linked().empty() && now - _read_at > UNLINKED_READ_INTERVAL;
	const bool seeks = p_use.seeks_parts && !_link.get_linked().empty() && _context.settings.mechanisms.has(mechanism::NAMED_CONTACTS);
	if (is_due_without_link) {
		_read_at = now;
	}
	if (_contacts.take_read(seeks, p_use.known_nodes, _context.random.get_unit(), now) || is_due_without_link) {
		_read();
	}
}

void node_names::_write() {
	const std::string value = to_string(_link.get_address()) + " " + _context.settings.zone;
	_context.store.put(std::string(get_node_topic()), read_reason::NODE_NAMES, _context.settings.vm, value, [this](bool p_written) { _is_written = _is_written || p_written; });
}

void node_names::_read() {
	_context.store.read_newest(std::string(get_node_topic()), read_reason::NODE_NAMES, true, [this](const store_answer &p_answer) { _on_read(p_answer); });
}

void node_names::_on_read(const store_answer &p_answer) {
	if (p_answer.status != store_status::OK) {
		return;
	}
	const std::vector<named_node> names = read_names(p_answer);
	// Another part of the fleet may have removed the record, or the address may be that of an earlier start.
	_is_written = std::any_of(names.begin(), names.end(), [this](const named_node &p_name) { return p_name.vm == _context.settings.vm && p_name.address == _link.get_address(); });
	if (_link.get_linked().empty()) {
		_dial_any(names);
	} else {
		_dial_unknown(names);
	}
}

void node_names::_dial_any(const std::vector<named_node> &p_names) {
	const std::vector<named_node> chosen = choose_named_nodes(_context.settings.vm, _context.settings.zone, p_names, _rounds);
	_rounds += chosen.empty() ? 0 : 1;
	for (const named_node &node : chosen) {
		_link.dial(node.vm, node.address);
	}
}

void node_names::_dial_unknown(const std::vector<named_node> &p_names) {
	const named_contact_plan plan = _contacts.plan(p_names, _get_state, event_loop::now());
	_context.metrics.set_gauge("named_nodes_unknown", static_cast<double>(plan.unknown));
	for (const named_node &node : plan.dialled) {
		_context.log.write(log_line("named_node_dialled").add("vm", node.vm).add("address", to_string(node.address)).add("zone", node.zone).add("unknown", static_cast<long long>(plan.unknown)));
		_link.dial(node.vm, node.address);
	}
	for (const std::string &vm : plan.removed) {
		_context.log.write(log_line("node_name_removed").add("vm", vm));
		_context.store.put(std::string(get_node_topic()), read_reason::NODE_NAMES, vm, "", [](bool) {});
	}
}

} // namespace calicoscale
