/*
 * calicoscale: fleet_service.cpp
 * This node as a member of the fleet: links, heartbeats, the platform's list, leaving marks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/fleet_service.h"

#include "servers/request/steering.h"

#include <glog/logging.h>

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration HEARTBEAT_INTERVAL = std::chrono::seconds(1);
/**
 * The interval between fetches of the VM list grows with the size of the list, within these bounds.
 * A long interval is acceptable because leaving marks found by any node reach all nodes.
 */
constexpr duration MIN_LIST_INTERVAL = std::chrono::seconds(1);
constexpr duration MAX_LIST_INTERVAL = std::chrono::seconds(60);
constexpr double LIST_BYTES_PER_SECOND = 6.0 * 1024.0;
constexpr duration LOAD_INTERVAL = std::chrono::milliseconds(250);
constexpr std::size_t LOADS_PER_INTERVAL = 3;
constexpr std::size_t MARKS_PER_HEARTBEAT = 8;
constexpr duration CONFIGURATION_REQUEST_INTERVAL = std::chrono::seconds(1);

member_digest make_self(const node_context &p_context, const network_address &p_link, const network_address &p_admin) {
	member_digest self;
	self.vm = p_context.settings.vm;
	self.incarnation = p_context.incarnation;
	self.zone = p_context.settings.zone;
	self.region = p_context.settings.region;
	self.link = p_link;
	self.admin = p_admin;
	return self;
}

} // namespace

fleet_service::fleet_service(node_context &p_context, configuration_service &p_configuration, router &p_router, customer_limiter &p_limiter, const network_address &p_admin) :
		_context(p_context),
		_configuration(p_configuration),
		_router(p_router),
		_limiter(p_limiter),
		_link(p_context.loop, p_context.settings.link_address, link_identity{ p_context.settings.vm, p_context.incarnation, p_context.settings.fleet_key }),
		_members(make_self(p_context, _link.get_address(), p_admin)),
		_heartbeat_timer(p_context.loop, [this] { _on_heartbeat_timer(); }),
		_list_timer(p_context.loop, [this] { _fetch_list(); }),
		_load_timer(p_context.loop, [this] { _poll_loads(); }) {
	_link.heartbeat_received().connect([this](const std::string &p_vm, const heartbeat_message &p_message) { _on_heartbeat(p_vm, p_message); });
	_link.configuration_requested().connect([this](const std::string &p_vm, std::uint64_t p_have) { _on_configuration_requested(p_vm, p_have); });
	_link.configuration_reported().connect([this](const std::string &p_vm, const configuration_snapshot &p_snapshot) { _configuration.apply_snapshot(p_snapshot, p_vm); });
	_link.link_up().connect([this](const std::string &p_vm) { _send_heartbeat(p_vm); });
	_configuration.version_in_force().connect([this] { _send_heartbeats(); });
}

void fleet_service::start() {
	_fetch_list();
	_on_heartbeat_timer();
	_load_timer.set(LOAD_INTERVAL);
}

void fleet_service::_on_heartbeat_timer() {
	_heartbeat_count++;
	_members.tick(event_loop::now());
	_note_changes();
	_dial_neighbours();
	_send_heartbeats();
	_configuration.set_fleet_size(_members.get_members().size() + 1);
	_share_limits();
	_heartbeat_timer.set(HEARTBEAT_INTERVAL);
}

void fleet_service::_send_heartbeats() {
	_members.update_self(_ready, _leaving, _configuration.get_fold().get_version(), _limiter.get_demand(event_loop::now()));
	heartbeat_message message;
	message.at = _context.timeline.stamp();
	message.digests = _members.make_heartbeat();
	message.marks = _pick_marks();
	for (const std::string &vm : _link.get_linked()) {
		_link.send(vm, message);
	}
}

void fleet_service::_send_heartbeat(const std::string &p_vm) {
	heartbeat_message message;
	message.at = _context.timeline.stamp();
	message.digests = _members.make_heartbeat();
	message.marks = _pick_marks();
	_link.send(p_vm, message);
}

std::vector<leaving_mark> fleet_service::_pick_marks() {
	const std::map<std::string, std::uint64_t> &marks = _router.get_leaving_marks();
	std::vector<leaving_mark> picked;
	if (marks.empty()) {
		return picked;
	}
	const std::size_t count = std::min(marks.size(), MARKS_PER_HEARTBEAT);
	auto entry = marks.begin();
	std::advance(entry, _next_mark % marks.size());
	for (std::size_t i = 0; i < count; i++) {
		picked.push_back(leaving_mark{ entry->first, entry->second });
		++entry;
		entry = entry == marks.end() ? marks.begin() : entry;
	}
	_next_mark += count;
	return picked;
}

void fleet_service::_on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message) {
	_context.timeline.observe(p_message.at);
	_members.merge_digests(p_message.digests, event_loop::now());
	_note_changes();
	bool has_new_mark = false;
	for (const leaving_mark &mark : p_message.marks) {
		has_new_mark = _router.mark_leaving(mark.vm, mark.incarnation) || has_new_mark;
	}
	if (has_new_mark) {
		on_endpoint_leaving();
	}
	for (const member_digest &digest : p_message.digests) {
		if (digest.vm == p_vm) {
			_maybe_request_configuration(p_vm, digest.configuration_version);
		}
	}
}

void fleet_service::_maybe_request_configuration(const std::string &p_vm, std::uint64_t p_version) {
	const instant now = event_loop::now();
	const bool is_certain = _configuration.get_fold().is_certain();
	const bool is_behind = p_version > _configuration.get_fold().get_version();
	const bool needs_state = !is_certain && p_version > 0;
	if ((!is_behind && !needs_state) || now - _configuration_requested_at < CONFIGURATION_REQUEST_INTERVAL) {
		return;
	}
	_configuration_requested_at = now;
	_link.ask_configuration(p_vm, _configuration.get_fold().get_version());
}

void fleet_service::_on_configuration_requested(const std::string &p_vm, std::uint64_t p_have) {
	const configuration_snapshot snapshot = _configuration.get_fold().get_snapshot();
	if (snapshot.version >= p_have && snapshot.version > 0) {
		_link.send(p_vm, snapshot);
	}
}

void fleet_service::_dial_neighbours() {
	for (const std::string &vm : _members.choose_neighbours()) {
		const member *known = _members.find(vm);
		if (known != nullptr && !_link.is_linked(vm)) {
			_link.dial(vm, known->digest.link);
		}
	}
	if (_link.get_linked().empty()) {
		// No peer is known yet or all links are down: the addresses from the settings allow (re)joining the fleet.
		for (const network_address &peer : _context.settings.peers) {
			if (!(peer == _link.get_address())) {
				_link.dial_unnamed(peer);
			}
		}
	}
}

void fleet_service::_fetch_list() {
	if (_platform_cut) {
		_on_list_answer(std::nullopt);
		return;
	}
	_context.list.fetch([this](const std::optional<vm_listing> &p_listing) { _on_list_answer(p_listing); });
}

void fleet_service::_on_list_answer(const std::optional<vm_listing> &p_listing) {
	const duration by_size = from_seconds(p_listing ? static_cast<double>(p_listing->bytes) / LIST_BYTES_PER_SECOND : 0.0);
	_list_timer.set(std::clamp<duration>(by_size, MIN_LIST_INTERVAL, MAX_LIST_INTERVAL));
	if (!p_listing) {
		_context.metrics.count("vm_list_failed");
		return;
	}
	const instant now = event_loop::now();
	const bool was_deferred = _guard.is_list_deferred();
	const std::size_t marks_before = _router.get_leaving_marks().size();
	_router.set_listings(_guard.take(p_listing->endpoints, now));
	_members.apply_listings(p_listing->entries, now);
	_list_known = _list_known || !p_listing->endpoints.empty();
	if (_guard.is_list_deferred() != was_deferred) {
		LOG(WARNING) << "event=vm_list_doubted doubting=" << _guard.is_list_deferred() << " endpoints=" << p_listing->endpoints.size();
	}
	if (_router.get_leaving_marks().size() != marks_before) {
		on_endpoint_leaving();
	}
	_note_changes();
}

void fleet_service::_poll_loads() {
	std::vector<endpoint_id> open;
	_router.for_each([&open](const endpoint_state &p_endpoint) {
		if (p_endpoint.is_open()) {
			open.push_back(p_endpoint.id);
		}
	});
	for (std::size_t i = 0; i < std::min(LOADS_PER_INTERVAL, open.size()); i++) {
		const endpoint_id id = open[_next_load++ % open.size()];
		const endpoint_state *endpoint = _router.find(id);
		const std::string vm = endpoint->listing.vm;
		const std::uint64_t incarnation = endpoint->listing.incarnation;
		_context.endpoints.fetch_load(endpoint->listing.address, [this, id, vm, incarnation](const std::optional<load_answer> &p_load) {
			if (!p_load) {
				return;
			}
			_router.apply_report(id, endpoint_load{ p_load->running, p_load->queued, event_loop::now() - p_load->age });
			if (p_load->leaving && _router.mark_leaving(vm, incarnation)) {
				on_endpoint_leaving();
			}
		});
	}
	_load_timer.set(LOAD_INTERVAL);
}

void fleet_service::on_endpoint_leaving() {
	_note_changes();
	_send_heartbeats();
}

void fleet_service::_share_limits() {
	const configuration *current = _configuration.get_fold().get_configuration();
	if (current == nullptr) {
		return;
	}
	const instant now = event_loop::now();
	const std::vector<share_member> members = _members.get_share_members(now);
	const std::uint64_t version = _configuration.get_fold().get_version();
	const bool all = version != _shared_version;
	_shared_version = version;
	const customer_demands demand = _limiter.get_demand(now);
	for (const customer_settings &customer : current->customers) {
		const bool is_quiet = !demand.contains(get_customer_code(customer.name));
		// The share of a customer without demand is refreshed on every tenth heartbeat, so that its first request finds a recent one.
		if (is_quiet && !all && _heartbeat_count % 10 != 0) {
			continue;
		}
		const customer_limits limits = get_limits(*current, customer);
		const node_limit_share share = compute_limit_share(_context.settings.vm, members, current->policy.zones, customer.name, limits.requests_per_second, limits.concurrency);
		_limiter.set_part(customer.name, limits, share, now);
	}
}

void fleet_service::_note_changes() {
	for (const member_change &change : _members.take_changes()) {
		const std::string state(get_name(change.state));
		LOG(INFO) << "event=member_changed vm=" << change.vm << " state=" << state;
		_context.timeline.add(event_kind::MEMBER_CHANGED, "", change.vm, state);
	}
	for (const endpoint_change &change : _router.take_changes()) {
		const std::string what(get_name(change.what));
		LOG(INFO) << "event=endpoint_changed vm=" << change.endpoint.vm << " pool=" << change.pool << " change=" << what;
		_context.timeline.add(event_kind::ENDPOINT_CHANGED, "", change.endpoint.vm, what);
		_context.metrics.count("endpoint_" + what);
	}
}

void fleet_service::announce_leaving() {
	_leaving = true;
	_ready = false;
	_send_heartbeats();
}

void fleet_service::set_cut(std::vector<std::string> p_vms, bool p_platform) {
	_link.set_cut_off(std::move(p_vms));
	_platform_cut = p_platform;
	_configuration.set_platform_cut(p_platform);
}

} // namespace calicoscale
