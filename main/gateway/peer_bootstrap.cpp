/*
 * calicoscale: peer_bootstrap.cpp
 * Sends peers what they lack: a newer configuration, and the endpoints while they are not ready.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/peer_bootstrap.h"

namespace calicoscale {

namespace {

/** Interval between requests for a version. Sending a document of some hundred kilobytes over a link of 20 Mbit/s takes less. */
constexpr duration REQUEST_INTERVAL = std::chrono::milliseconds(300);
/** Size of one endpoint in a list that is sent. */
constexpr std::size_t LISTING_BYTES = 100;
/** Maximum number of versions whose requests are remembered. Versions increase, and requests for older ones no longer matter. */
constexpr std::size_t MAX_REQUESTED_VERSIONS = 4;

} // namespace

peer_bootstrap::peer_bootstrap(configuration_follower &p_configuration, endpoint_follower &p_endpoints, node_link &p_link, double p_link_bytes, std::function<bool(const std::string &)> p_has_list) :
		_configuration(p_configuration), _endpoints(p_endpoints), _link(p_link), _lists(p_link_bytes), _has_list(std::move(p_has_list)) {
	_link.configuration_requested().connect([this](const std::string &p_vm, std::uint64_t p_have) { _on_configuration_requested(p_vm, p_have); });
	_link.endpoints_requested().connect([this](const std::string &p_vm) { _on_endpoints_requested(p_vm, _has_list(p_vm)); });
	_link.endpoints_reported().connect([this](const std::string &p_vm, const report_endpoints_message &) { _on_list_received(p_vm); });
	_link.delta_reported().connect([this](const std::string &p_vm, const report_delta_message &p_message) {
		if (p_message.reading.is_whole) {
			_on_list_received(p_vm);
		}
	});
	_link.endpoints_declined().connect([this](const std::string &p_vm) { _request.on_declined(p_vm, event_loop::now()); });
	_link.configuration_reported().connect([this](const std::string &p_vm, const configuration_snapshot &p_snapshot) { _configuration.offer(p_snapshot.document, "peer/" + p_vm); });
}

void peer_bootstrap::request_if_newer(const member_digest &p_peer) {
	if (p_peer.configuration_version <= _configuration.get_version()) {
		return;
	}
	const instant now = event_loop::now();
	instant &requested = _requested_at[p_peer.configuration_version];
	if (requested == instant{} || now - requested > REQUEST_INTERVAL) {
		requested = now;
		_link.ask_configuration(p_peer.vm, _configuration.get_version());
	}
	while (_requested_at.size() > MAX_REQUESTED_VERSIONS) {
		_requested_at.erase(_requested_at.begin());
	}
}

void peer_bootstrap::_on_configuration_requested(const std::string &p_vm, std::uint64_t p_have) {
	if (_configuration.get_version() > p_have) {
		_link.send(p_vm, configuration_snapshot{ _configuration.get_version(), 0, true, "", _configuration.get_document() });
	}
}

void peer_bootstrap::_on_list_received(const std::string &p_vm) {
	// A list that was of no use is not requested again at once.
	if (!needs_list()) {
		_request.on_answered(p_vm);
	}
}

std::size_t peer_bootstrap::_get_list_bytes() const {
	return _endpoints.get_directory().get_size() * LISTING_BYTES;
}

bool peer_bootstrap::_send_list(const std::string &p_vm) {
	return _link.send(p_vm, report_endpoints_message{ _endpoints.get_directory().get_entries(), _endpoints.get_known() });
}

bool peer_bootstrap::_send_snapshot(const std::string &p_vm) {
	// A node that has a list would add the entries that this node keeps only because the store was unavailable, and keep them longer.
	const log_position known = _endpoints.get_known();
	return known.offset > 0 && _link.send(p_vm, report_delta_message{ _endpoints.get_directory().make_snapshot_delta(known) });
}

void peer_bootstrap::send_if_unready(const member_digest &p_peer) {
	if (p_peer.ready || p_peer.leaving || _link.asks_lists(p_peer.vm) || !_endpoints.is_loaded()) {
		return;
	}
	if (_lists.try_send(p_peer.vm, p_peer.incarnation, _get_list_bytes(), event_loop::now())) {
		_send_list(p_peer.vm);
	}
}

void peer_bootstrap::_on_endpoints_requested(const std::string &p_vm, bool p_has_list) {
	// A node whose list may be wrong would pass it on.
	const bool may_send = _endpoints.is_loaded() && !_endpoints.needs_list() && _lists.try_spend(_get_list_bytes(), event_loop::now());
	const bool is_sent = may_send && (p_has_list ? _send_snapshot(p_vm) : _send_list(p_vm));
	if (!is_sent) {
		_link.decline_endpoints(p_vm);
	}
}

bool peer_bootstrap::needs_list() const {
	// Peers send a snapshot, which replaces a list, only to a node that is ready.
	return !_endpoints.is_loaded() || (_endpoints.needs_list() && _configuration.get_current());
}

void peer_bootstrap::request_list(const std::vector<list_source> &p_sources, double p_chance) {
	std::vector<list_source> sources = p_sources;
	std::erase_if(sources, [this](const list_source &p_source) { return !_link.asks_lists(p_source.vm); });
	const std::string vm = _request.choose(sources, p_chance, event_loop::now());
	if (!vm.empty()) {
		_link.ask_endpoints(vm);
	}
}

} // namespace calicoscale
