/*
 * calicoscale: endpoint_exchanges.cpp
 * Starts exchanges with endpoints, and observes which services this node and its peers reach.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/endpoint_exchanges.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Interval of probes while a service is unreachable. */
constexpr duration PROBE_INTERVAL = std::chrono::milliseconds(200);
/** Endpoints of an unreachable service that are probed per interval. */
constexpr std::size_t PROBES_PER_INTERVAL = 2;

} // namespace

endpoint_exchanges::endpoint_exchanges(gateway_context &p_context, gateway_fleet &p_fleet) :
		_context(p_context),
		_fleet(p_fleet),
		_probe(p_context.loop, p_context.channels.get_path_faults()),
		_probe_timer(p_context.loop, [this] { _probe_unreached(); }) {
	_context.channels.set_on_contact([this](const channel_request &p_request) {
		const instant now = event_loop::now();
		if (!p_request.zone.empty()) {
			_context.zones.on_endpoint_contact(p_request.zone, now);
		}
		_reach.on_contact(p_request.service, now);
		_apply_changes();
	});
}

std::vector<forwarding_peer> endpoint_exchanges::_get_peers() const {
	std::vector<forwarding_peer> peers;
	for (const auto &[vm, entry] : _fleet.get_members()) {
		if (entry.digest.ready && !entry.digest.leaving && _fleet.is_responsive(vm)) {
			peers.push_back(forwarding_peer{ vm, entry.digest.zone == _context.settings.zone });
		}
	}
	return peers;
}

exchange_id endpoint_exchanges::start(channel_request p_request, channel_hooks p_hooks) {
	channel_hooks hooks = std::move(p_hooks);
	hooks.on_end = [this, service = p_request.service, endpoint = p_request.endpoint.vm, on_end = std::move(hooks.on_end)](channel_end p_end) {
		_on_ended(service, endpoint, p_end);
		on_end(p_end);
	};
	return _context.channels.start(std::move(p_request), std::move(hooks));
}

void endpoint_exchanges::_on_ended(const std::string &p_service, const std::string &p_endpoint, channel_end p_end) {
	if (p_end == channel_end::CONNECT_FAILED) {
		_reach.on_failure(p_service, p_endpoint, event_loop::now());
		_apply_changes();
	}
}

void endpoint_exchanges::set_endpoints(const std::vector<endpoint_listing> &p_listings) {
	std::map<std::string, std::set<std::string>> names;
	_endpoints.clear();
	for (const endpoint_listing &listing : p_listings) {
		if (!listing.leaving) {
			names[listing.pool].insert(listing.vm);
			_endpoints[listing.pool].push_back(listing);
		}
	}
	for (const service_endpoint &added : _reach.set_endpoints(names)) {
		const std::vector<endpoint_listing> &listings = _endpoints[added.service];
		_probe_endpoint(*std::find_if(listings.begin(), listings.end(), [&added](const endpoint_listing &p_listing) { return p_listing.vm == added.vm; }));
	}
}

void endpoint_exchanges::_probe_endpoint(const endpoint_listing &p_listing) {
	_probe.start(p_listing.address, [this, service = p_listing.pool](probe_end p_end) {
		if (p_end == probe_end::ACCEPTED) {
			_reach.on_contact(service, event_loop::now());
			_apply_changes();
		}
	});
}

void endpoint_exchanges::_probe_unreached() {
	const std::vector<std::string> services = _reach.get_unreached();
	for (const std::string &service : services) {
		const std::vector<endpoint_listing> &listings = _endpoints[service];
		for (std::size_t i = 0; i < std::min(PROBES_PER_INTERVAL, listings.size()); i++) {
			_probe_endpoint(listings[_context.random.get_bits() % listings.size()]);
		}
	}
	if (!services.empty()) {
		_probe_timer.set(PROBE_INTERVAL);
	}
}

void endpoint_exchanges::_apply_changes() {
	const std::vector<reach_change> changes = _reach.take_changes();
	if (changes.empty()) {
		return;
	}
	const instant now = event_loop::now();
	const std::vector<forwarding_peer> peers = _get_peers();
	for (const reach_change &change : changes) {
		log_line line(change.is_reached ? "service_reached" : "service_unreached");
		line.add("service", change.service).add("failed_endpoints", static_cast<long long>(change.failed_endpoints)).add("contact_age_ms", change.contact_age.value_or(duration(-1000)));
		line.add("peers", static_cast<long long>(peers.size())).add("reached_by_peers", _peers.is_reached_by_any(change.service, peers) ? "yes" : "no").add("report_age_ms", _peers.get_newest_report_age(now).value_or(duration(-1000)));
		_context.log.write(line);
	}
	_fleet.send_heartbeats_now();
	if (!_reach.get_unreached().empty() && !_probe_timer.is_set()) {
		_probe_timer.set(PROBE_INTERVAL);
	}
}

heartbeat_section endpoint_exchanges::make_section() {
	heartbeat_section section;
	section.write = [this](heartbeat_peer p_peer, const heartbeat_sender &, heartbeat_message &r_message) {
		if (p_peer == heartbeat_peer::OTHER) {
			r_message.unreached_services = _reach.get_unreached();
		}
	};
	section.read = [this](const heartbeat_source &p_source, const heartbeat_message &p_message) { _peers.set_unreached(p_source.vm, p_message.unreached_services, event_loop::now()); };
	section.on_told_hub = [](const heartbeat_message &) {};
	section.on_lost = [this](const std::string &p_vm) { _peers.remove(p_vm); };
	section.on_hubs_known = [] {};
	return section;
}

void endpoint_exchanges::report() {
	const std::vector<std::string> unreached = _reach.get_unreached();
	for (const auto &[service, listings] : _endpoints) {
		const bool is_unreached = std::find(unreached.begin(), unreached.end(), service) != unreached.end();
		_context.metrics.set_gauge("service_reached_" + service, is_unreached ? 0.0 : 1.0);
	}
}

} // namespace calicoscale
