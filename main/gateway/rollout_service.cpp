/*
 * calicoscale: rollout_service.cpp
 * Moves services to other versions as the operator orders.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/rollout_service.h"

#include "platform/rollout_codec.h"

namespace calicoscale {

namespace {

constexpr duration TICK = std::chrono::milliseconds(100);
/** Totals are sent five times a second. A node without one for this long may be the only one that does not know of a bad version. */
constexpr duration MAX_TOTAL_AGE = std::chrono::milliseconds(1500);

} // namespace

rollout_service::rollout_service(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, gateway_fleet &p_fleet) :
		_context(p_context),
		_configuration(p_configuration),
		_endpoints(p_endpoints),
		_fleet(p_fleet),
		_table(p_context.settings.rollouts),
		_writer(p_context, p_fleet, _table),
		_tick_timer(p_context.loop, [this] { _tick(); }) {
	_configuration.topic_read().connect([this](const store_answer &p_answer, bool p_is_whole) { _apply_answer(p_answer, p_is_whole); });
	heartbeat_section section;
	section.write = [this](heartbeat_peer p_peer, const heartbeat_sender &p_sender, heartbeat_message &r_message) { _write_heartbeat(p_peer, p_sender, r_message); };
	section.read = [this](const heartbeat_source &p_source, const heartbeat_message &p_message) { _read_heartbeat(p_source, p_message); };
	section.on_told_hub = [](const heartbeat_message &) {};
	section.on_lost = [this](const std::string &p_vm) { _sums.forget(p_vm); };
	section.on_hubs_known = [this] { _sums.clear_total(); };
	_fleet.add_part(std::move(section));
}

void rollout_service::_apply_answer(const store_answer &p_answer, bool p_is_whole) {
	const read_orders read = read_rollout_orders(p_answer.records, p_answer.era);
	for (const rejected_order &rejected : read.rejected) {
		_context.metrics.count("rollout_orders_rejected");
		_context.log.write(log_line("rollout_order_rejected").add("service", rejected.service).add("problem", rejected.problem));
	}
	if (p_is_whole) {
		_table.apply_snapshot(read.orders, log_position{ p_answer.era, p_answer.next_offset }, event_loop::now());
	} else if (!read.orders.empty()) {
		_table.apply_records(read.orders, event_loop::now());
	}
	_publish_changes();
}

void rollout_service::_write_heartbeat(heartbeat_peer p_peer, const heartbeat_sender &p_sender, heartbeat_message &r_message) {
	_role = p_sender;
	if (_table.is_empty()) {
		return;
	}
	const instant now = event_loop::now();
	_sums.set_own(_table.get_reports(now));
	switch (p_peer) {
		case heartbeat_peer::OTHER:
			r_message.rollouts = _table.make_update({}, now);
			break;
		case heartbeat_peer::HUB:
			r_message.rollouts = _table.make_update(p_sender.is_hub ? _sums.get_subtree() : _sums.get_own(), now);
			break;
		case heartbeat_peer::FOLLOWER:
			r_message.rollouts = _table.make_update(p_sender.knows_hubs ? _sums.get_total() : rollout_reports(), now);
			break;
	}
}

void rollout_service::_read_heartbeat(const heartbeat_source &p_source, const heartbeat_message &p_message) {
	rollout_reports reports;
	for (const rollout_update &update : p_message.rollouts) {
		reports[update.order.service] = update.report;
	}
	const instant now = event_loop::now();
	if (p_message.relies_on_you) {
		_sums.set_follower(p_source.vm, std::move(reports));
	} else if (p_message.is_total) {
		if (p_source.is_relied_on) {
			_sums.set_total(std::move(reports));
			_total_received_at = now;
		}
	} else if (p_source.is_other_hub) {
		_sums.set_peer(p_source.vm, std::move(reports));
	} else {
		_sums.forget(p_source.vm);
	}
	if (_table.apply_update(p_message.rollouts, now)) {
		_publish_changes();
	}
}

rollout_view rollout_service::_get_view(const rollout &p_rollout, instant p_now) const {
	rollout_view view;
	view.live_nodes = _fleet.get_live_count();
	view.is_fresh = _role.is_hub ? _role.knows_hubs : p_now - _total_received_at < MAX_TOTAL_AGE;
	const rollout_reports total = _sums.get_total();
	const auto report = total.find(p_rollout.get_order().service);
	if (report != total.end()) {
		view.total = report->second;
	}
	const gateway_service *service = _configuration.get_current() ? _configuration.get_current()->find_service(p_rollout.get_order().service) : nullptr;
	if (service != nullptr && service->stage_pool) {
		view.quiet_time = service->stage_pool->result_ttl;
	}
	return view;
}

void rollout_service::_publish_changes() {
	const std::vector<rollout_change> changes = _table.take_changes();
	for (const rollout_change &change : changes) {
		const bool is_known = _configuration.get_current() && _configuration.get_current()->find_service(change.service) != nullptr;
		log_line line("rollout");
		line.add("service", change.service).add("version", change.target_version).add("change", get_name(change.what));
		line.add("known_service", is_known ? "yes" : "no").add("answers", static_cast<long long>(change.verdict.answers)).add("bad", static_cast<long long>(change.verdict.bad)).add("usual_share", std::to_string(change.verdict.baseline_share));
		_context.log.write(line);
		_context.metrics.count("rollout_" + std::string(get_name(change.what)));
	}
	if (!changes.empty()) {
		set_endpoints(_endpoints.get_directory().get_listings());
		_fleet.send_heartbeats_now();
		_tick_timer.set(TICK);
	}
}

void rollout_service::set_endpoints(const std::vector<endpoint_listing> &p_listings) {
	if (_table.is_empty()) {
		return;
	}
	std::map<std::string, std::vector<std::pair<std::string, std::string>>> endpoints;
	_versions.clear();
	for (const endpoint_listing &listing : p_listings) {
		if (_table.find(listing.pool) == nullptr) {
			continue;
		}
		_versions[listing.vm] = listing.version;
		if (!listing.leaving) {
			endpoints[listing.pool].emplace_back(listing.vm, listing.version);
		}
	}
	_table.set_endpoints(std::move(endpoints));
}

void rollout_service::_tick() {
	const instant now = event_loop::now();
	for (const auto &[service, entry] : _table.get_all()) {
		_table.find(service)->set_open_at_present(_runs.count_others(service, entry.get_order().target_version));
	}
	_sums.set_own(_table.get_reports(now));
	_table.consider([this, now](const rollout &p_rollout) { return _get_view(p_rollout, now); }, now);
	_writer.tick();
	_publish_changes();
	_tick_timer.set(TICK);
}

bool rollout_service::is_for_target(const std::string &p_service, const std::string &p_request) const {
	const rollout *entry = _table.find(p_service);
	return entry != nullptr && entry->is_for_target(p_request, event_loop::now());
}

bool rollout_service::is_target(const std::string &p_service, const std::string &p_version) const {
	const rollout *entry = _table.find(p_service);
	return entry != nullptr && entry->get_side(p_version) == version_role::TARGET;
}

bool rollout_service::has_moved(const std::string &p_service) const {
	const rollout *entry = _table.find(p_service);
	return entry != nullptr && entry->has_moved(event_loop::now());
}

bool rollout_service::admits(const endpoint_listing &p_listing, bool p_for_target) const {
	const rollout *entry = _table.find(p_listing.pool);
	if (entry == nullptr) {
		return true;
	}
	const version_role side = entry->get_side(p_listing.version);
	return p_for_target ? side == version_role::TARGET && entry->is_canary_endpoint(p_listing.vm, event_loop::now()) : side == version_role::CURRENT;
}

bool rollout_service::may_call(const std::string &p_service, const std::string &p_replica, std::size_t p_items) const {
	const rollout *entry = _table.find(p_service);
	const auto version = _versions.find(p_replica);
	if (entry == nullptr || version == _versions.end()) {
		return true;
	}
	const instant now = event_loop::now();
	const double share = entry->get_share(now);
	switch (entry->get_side(version->second)) {
		case version_role::BLOCKED:
			return false;
		case version_role::CURRENT:
			return share < 1.0;
		case version_role::TARGET:
			break;
	}
	const auto counted = _call_shares.find(p_service);
	return share >= 1.0 || (counted != _call_shares.end() && counted->second.fits_share(p_items, share) && entry->is_canary_endpoint(p_replica, now));
}

version_run rollout_service::on_call(const std::string &p_service, const std::string &p_replica, std::size_t p_items) {
	const rollout *entry = _table.find(p_service);
	const auto version = _versions.find(p_replica);
	version_run run{ p_service, p_replica, version == _versions.end() ? std::string() : version->second };
	if (entry != nullptr) {
		call_share &share = _call_shares[p_service];
		share.set_order(entry->get_order().at);
		share.add(p_items, entry->get_side(run.version) == version_role::TARGET);
	}
	on_started(run);
	return run;
}

void rollout_service::on_answer(const version_run &p_run, const std::string &p_route, bool p_has_failed, duration p_elapsed) {
	rollout *entry = _table.find(p_run.service);
	const bool is_slow = _times.is_slow(p_run.service, p_route, p_elapsed);
	if (entry != nullptr) {
		entry->add_answer(p_run.endpoint, p_run.version, p_route, p_has_failed || is_slow);
	}
	const bool is_in_service = entry == nullptr || entry->get_side(p_run.version) == version_role::CURRENT;
	if (is_in_service && !p_has_failed) {
		_times.learn(p_run.service, p_route, p_elapsed);
	}
}

void rollout_service::report() {
	for (const auto &[service, entry] : _table.get_all()) {
		_context.metrics.set_gauge("rollout_share_" + service, entry.get_share(event_loop::now()));
		_context.metrics.set_gauge("rollout_answers_" + service, entry.get_verdict().answers);
		_context.metrics.set_gauge("rollout_bad_answers_" + service, entry.get_verdict().bad);
	}
}

} // namespace calicoscale
