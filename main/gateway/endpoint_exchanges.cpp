/*
 * calicoscale: endpoint_exchanges.cpp
 * Starts exchanges with endpoints, directly or through a node that reaches them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/endpoint_exchanges.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Interval of probes while endpoints of a service are unreachable. */
constexpr duration PROBE_INTERVAL = std::chrono::milliseconds(200);
/** Linked peers that may reach a service below which further links are established. Several, as each may decline. */
constexpr std::size_t MIN_PEERS = 3;
/** Distinguishes the ids of forwarded exchanges from those of direct ones. */
constexpr exchange_id FORWARDED_BIT = 1ULL << 63U;

} // namespace

endpoint_exchanges::endpoint_exchanges(gateway_context &p_context, gateway_fleet &p_fleet) :
		_context(p_context),
		_fleet(p_fleet),
		_forwarded(p_context, p_fleet, [this](const std::string &p_peer, forwarding_end p_end) { _on_forwarding_ended(p_peer, p_end); }),
		_forwarder(
				p_context, p_fleet, [this](channel_request p_request, channel_hooks p_hooks) { return _start_directly(std::move(p_request), std::move(p_hooks)); }, [this](const channel_request &p_request) { return _reach.is_endpoint_reached(p_request.service, p_request.endpoint.vm); }),
		_probe(p_context.loop, p_context.channels.get_path_faults()),
		_probe_timer(p_context.loop, [this] { _probe_unreached(); }) {
	_context.channels.set_on_contact([this](const channel_request &p_request) {
		const instant now = event_loop::now();
		if (!p_request.zone.empty()) {
			_context.zones.on_endpoint_contact(p_request.zone, now);
		}
		_reach.on_contact(p_request.service, p_request.endpoint.vm, now);
		_apply_changes();
	});
	_context.channels.set_on_surplus([this](const surplus_report &p_surplus) { _log_surplus(p_surplus); });
}

void endpoint_exchanges::_log_surplus(const surplus_report &p_surplus) {
	_context.metrics.count("surplus_answers");
	log_line line("surplus_answer");
	line.add("kind", get_name(p_surplus.kind)).add("service", p_surplus.service).add("endpoint", p_surplus.endpoint.vm).add("request", p_surplus.expected_echo).add("received", p_surplus.received_echo).add("status", static_cast<long long>(p_surplus.status));
	line.add("connection", static_cast<long long>(p_surplus.position.connection)).add("place", static_cast<long long>(p_surplus.position.place));
	_context.log.write_request(line);
}

std::vector<forwarding_peer> endpoint_exchanges::_get_peers() const {
	std::vector<forwarding_peer> peers;
	for (const auto &[vm, entry] : _fleet.get_members()) {
		if (entry.digest.ready && !entry.digest.leaving && _fleet.is_responsive(vm) && _fleet.get_link().forwards_exchanges(vm)) {
			peers.push_back(forwarding_peer{ vm, entry.digest.zone == _context.settings.zone });
		}
	}
	return peers;
}

void endpoint_exchanges::_seek_peers(const std::string &p_service) {
	const std::vector<forwarding_peer> linked = _get_peers();
	const std::ptrdiff_t reaching = std::count_if(linked.begin(), linked.end(), [this, &p_service](const forwarding_peer &p_peer) { return _peers.is_reached_by_any(p_service, { p_peer }); });
	std::vector<std::string> others;
	for (const auto &[vm, entry] : _fleet.get_members()) {
		if (entry.digest.ready && !entry.digest.leaving && !_fleet.get_link().is_linked(vm)) {
			others.push_back(vm);
		}
	}
	for (std::size_t i = static_cast<std::size_t>(reaching); i < MIN_PEERS && !others.empty(); i++) {
		_fleet.keep_link(others[_context.random.get_bits() % others.size()]);
	}
}

bool endpoint_exchanges::is_forwarded(exchange_id p_id) {
	return (p_id & FORWARDED_BIT) != 0;
}

exchange_id endpoint_exchanges::start(channel_request p_request, channel_hooks p_hooks) {
	if (_reach.is_endpoint_reached(p_request.service, p_request.endpoint.vm) || p_request.bytes.size() > forwarded_exchanges::MAX_REQUEST_BYTES) {
		return _start_directly(std::move(p_request), std::move(p_hooks));
	}
	const std::vector<forwarding_peer> peers = _get_peers();
	const std::optional<std::string> peer = _peers.choose(p_request.service, peers, _context.random, event_loop::now());
	if (!peer && _peers.is_reached_by_any(p_request.service, peers)) {
		return _forwarded.decline(std::move(p_hooks)) | FORWARDED_BIT;
	}
	if (!peer) {
		return _start_directly(std::move(p_request), std::move(p_hooks));
	}
	_peers.on_forwarded(*peer);
	_fleet.keep_link(*peer);
	return _forwarded.start(*peer, std::move(p_request), std::move(p_hooks)) | FORWARDED_BIT;
}

void endpoint_exchanges::cancel(exchange_id p_id) {
	if (is_forwarded(p_id)) {
		_forwarded.cancel(p_id & ~FORWARDED_BIT);
	} else {
		_context.channels.cancel(p_id);
	}
}

void endpoint_exchanges::set_reading(exchange_id p_id, bool p_reads) {
	if (is_forwarded(p_id)) {
		_forwarded.set_reading(p_id & ~FORWARDED_BIT, p_reads);
	} else {
		_context.channels.set_reading(p_id, p_reads);
	}
}

void endpoint_exchanges::_on_forwarding_ended(const std::string &p_peer, forwarding_end p_end) {
	if (p_peer.empty()) {
		return;
	}
	_peers.on_ended(p_peer);
	if (p_end == forwarding_end::DECLINED) {
		_peers.on_declined(p_peer, event_loop::now());
	}
}

bool endpoint_exchanges::may_send(const std::string &p_service) const {
	if (_reach.is_reached(p_service)) {
		return true;
	}
	const std::vector<forwarding_peer> peers = _get_peers();
	return _peers.can_choose(p_service, peers, event_loop::now()) || !_peers.is_reached_by_any(p_service, peers);
}

void endpoint_exchanges::on_connection_failed(const std::string &p_service, const std::string &p_endpoint) {
	_reach.on_failure(p_service, p_endpoint, event_loop::now());
	_apply_changes();
	_report_if_changed();
	_probe_later();
}

exchange_id endpoint_exchanges::_start_directly(channel_request p_request, channel_hooks p_hooks) {
	channel_hooks hooks = std::move(p_hooks);
	hooks.on_end = [this, service = p_request.service, endpoint = p_request.endpoint.vm, on_end = std::move(hooks.on_end)](channel_end p_end) {
		if (p_end == channel_end::CONNECT_FAILED) {
			on_connection_failed(service, endpoint);
		}
		on_end(p_end);
	};
	return _context.channels.start(std::move(p_request), std::move(hooks));
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
	_probe.start(p_listing.address, [this, service = p_listing.pool, vm = p_listing.vm, started_at = event_loop::now()](probe_end p_end) {
		if (p_end == probe_end::ACCEPTED) {
			const bool was_reached = _reach.is_endpoint_reached(service, vm);
			_reach.on_contact(service, vm, event_loop::now());
			_apply_changes();
			if (!was_reached) {
				// The other paths have probably been restored too.
				_probe_service(service);
			}
		} else {
			_reach.on_probe_failed(service, vm, started_at);
		}
		_report_if_changed();
		_probe_later();
	});
}

void endpoint_exchanges::_probe_later() {
	if (!_probe_timer.is_set() && !_reach.get_unreached_endpoints().empty()) {
		_probe_timer.set(PROBE_INTERVAL);
	}
}

void endpoint_exchanges::_probe_service(const std::string &p_service) {
	std::vector<const endpoint_listing *> unreached;
	const std::vector<endpoint_listing> &listings = _endpoints[p_service];
	for (const endpoint_listing &listing : listings) {
		if (!_reach.is_endpoint_reached(p_service, listing.vm)) {
			unreached.push_back(&listing);
		}
	}
	if (unreached.empty()) {
		return;
	}
	_probe_endpoint(*unreached[_context.random.get_bits() % unreached.size()]);
	_probe_endpoint(listings[_context.random.get_bits() % listings.size()]);
}

void endpoint_exchanges::_probe_unreached() {
	std::set<std::string> services;
	for (const service_endpoint &endpoint : _reach.get_unreached_endpoints()) {
		services.insert(endpoint.service);
	}
	for (const std::string &service : services) {
		_seek_peers(service);
		_probe_service(service);
	}
	_probe_later();
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
	_report_if_changed();
	for (const std::string &service : _reach.get_unreached()) {
		_seek_peers(service);
	}
}

void endpoint_exchanges::_report_if_changed() {
	std::vector<std::string> services = _reach.get_mostly_unreached();
	if (services != _reported) {
		_reported = std::move(services);
		_fleet.send_heartbeats_now();
	}
}

heartbeat_section endpoint_exchanges::make_section() {
	heartbeat_section section;
	section.write = [this](heartbeat_peer p_peer, const heartbeat_sender &, heartbeat_message &r_message) {
		if (p_peer == heartbeat_peer::OTHER) {
			r_message.unreached_services = _reach.get_mostly_unreached();
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
