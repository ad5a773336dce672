/*
 * calicoscale: router.cpp
 * Endpoint table and selection of an endpoint for an attempt.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/router.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace calicoscale {

namespace {

constexpr int FAILURES_TO_EJECT = 5;
constexpr duration MIN_EJECTION_TIME = std::chrono::seconds(1);
constexpr duration MAX_EJECTION_TIME = std::chrono::seconds(30);
/** Weights of a new sample in the moving averages below; slowness rises faster than it falls. */
constexpr double SLOWNESS_RISE_WEIGHT = 0.3;
constexpr double SLOWNESS_FALL_WEIGHT = 0.15;
constexpr double MAX_SLOWNESS = 50.0;
constexpr double ERROR_WEIGHT = 0.2;
/** A failure counts as an answer that is slower than typical by this factor, so that an endpoint which fails fast attracts no work. */
constexpr double FAILURE_SLOWNESS = 4.0;
/** Affinity is kept while the endpoint's predicted finish time is at most this multiple of that of an idle, typically fast endpoint. */
constexpr double AFFINITY_MAX_FINISH = 4.0;
/** Affinity is dropped above this slowness, as a slow endpoint costs more time than its cache saves. */
constexpr double AFFINITY_MAX_SLOWNESS = 1.8;
/** Another zone is used if the own zone's finish time exceeds the other's by this factor and this margin. */
constexpr double CROSS_ZONE_FACTOR = 1.5;
constexpr double CROSS_ZONE_MARGIN = 0.25;

constexpr std::array<enum_name<endpoint_change::kind>, 6> CHANGE_NAMES{ {
		{ endpoint_change::kind::ADDED, "added" },
		{ endpoint_change::kind::REMOVED, "removed" },
		{ endpoint_change::kind::LEAVING, "leaving" },
		{ endpoint_change::kind::EJECTED, "ejected" },
		{ endpoint_change::kind::READMITTED, "readmitted" },
		{ endpoint_change::kind::REPLACED, "replaced" },
} };

bool is_contained(const std::vector<endpoint_id> &p_ids, endpoint_id p_id) {
	return std::find(p_ids.begin(), p_ids.end(), p_id) != p_ids.end();
}

/** Returns whether a failure is caused by the endpoint rather than by the request or its caller. */
bool is_endpoint_fault(const outcome &p_result) {
	switch (p_result.why) {
		case reason::CANCELLED:
		case reason::CALLER_DISCONNECTED:
		case reason::REFUSED_INPUT:
		case reason::DEADLINE_PASSED:
			return false;
		default:
			return p_result.what != verdict::COMPLETED;
	}
}

} // namespace

std::string_view get_name(endpoint_change::kind p_kind) {
	return find_name(CHANGE_NAMES, p_kind);
}

router::router(std::string p_zone, std::uint64_t p_seed) :
		_zone(std::move(p_zone)), _random(p_seed) {
}

void router::_record_change(endpoint_change::kind p_kind, const endpoint_state &p_endpoint) {
	_changes.push_back(endpoint_change{ p_kind, p_endpoint.listing.get_identity(), p_endpoint.listing.pool });
}

std::vector<endpoint_change> router::take_changes() {
	std::vector<endpoint_change> changes;
	changes.swap(_changes);
	return changes;
}

bool router::_is_marked_leaving(const std::string &p_vm, std::uint64_t p_incarnation) const {
	const auto mark = _leaving_marks.find(p_vm);
	return mark != _leaving_marks.end() && p_incarnation <= mark->second;
}

bool router::_is_drained(const endpoint_state &p_endpoint) const {
	return std::any_of(_settings.drains.begin(), _settings.drains.end(), [&p_endpoint](const selector &p_drain) {
		return p_drain.matches(p_endpoint.listing.labels);
	});
}

void router::set_settings(router_settings p_settings) {
	_settings = std::move(p_settings);
	for (const auto &[id, endpoint] : _endpoints) {
		endpoint->drained = _is_drained(*endpoint);
	}
	_groups.clear();
}

void router::_add(const endpoint_listing &p_listing) {
	std::unique_ptr<endpoint_state> endpoint = std::make_unique<endpoint_state>();
	endpoint->id = _next_id++;
	endpoint->listing = p_listing;
	endpoint->leaving = p_listing.leaving || _is_marked_leaving(p_listing.vm, p_listing.incarnation);
	endpoint->drained = _is_drained(*endpoint);
	endpoint->evacuated = _evacuated_zones.contains(p_listing.zone);
	_by_vm[p_listing.vm] = endpoint->id;
	_record_change(endpoint_change::kind::ADDED, *endpoint);
	_endpoints.emplace(endpoint->id, std::move(endpoint));
}

void router::_update(endpoint_state &p_endpoint, const endpoint_listing &p_listing) {
	p_endpoint.listed = true;
	p_endpoint.listing.incarnation = p_listing.incarnation;
	p_endpoint.listing.labels = p_listing.labels;
	p_endpoint.listing.zone = p_listing.zone;
	p_endpoint.listing.pool = p_listing.pool;
	if (!p_listing.version.empty()) {
		p_endpoint.listing.version = p_listing.version;
	}
	p_endpoint.drained = _is_drained(p_endpoint);
	p_endpoint.evacuated = _evacuated_zones.contains(p_listing.zone);
}

void router::set_evacuated_zones(const std::set<std::string> &p_zones) {
	_evacuated_zones = p_zones;
	for (const auto &[id, endpoint] : _endpoints) {
		endpoint->evacuated = _evacuated_zones.contains(endpoint->listing.zone);
	}
	_groups.clear();
}

bool router::_is_same(const endpoint_state &p_endpoint, const endpoint_listing &p_listing) const {
	// An entry without an incarnation came from a peer that didn't know the start time; the list now adds it.
	const bool is_start_unknown = p_endpoint.listing.incarnation == 0;
	const bool is_same_start = is_start_unknown || p_endpoint.listing.incarnation == p_listing.incarnation;
	// Peers of earlier versions do not report the version of an endpoint's software.
	const bool is_version_unknown = p_endpoint.listing.version.empty() || p_listing.version.empty();
	return is_same_start && p_endpoint.listing.address == p_listing.address && (is_version_unknown || p_endpoint.listing.version == p_listing.version);
}

void router::set_listings(const std::vector<endpoint_listing> &p_listings) {
	if (p_listings == _last_listings) {
		return;
	}
	_last_listings = p_listings;
	for (const auto &[id, endpoint] : _endpoints) {
		endpoint->listed = false;
	}
	for (const endpoint_listing &listing : p_listings) {
		if (listing.leaving) {
			mark_leaving(listing.vm, listing.incarnation);
		}
		const auto known = _by_vm.find(listing.vm);
		if (known == _by_vm.end()) {
			_add(listing);
			continue;
		}
		endpoint_state &endpoint = *_endpoints.at(known->second);
		if (_is_same(endpoint, listing)) {
			_update(endpoint, listing);
			continue;
		}
		if (is_replaced_by(endpoint.listing.get_identity(), listing.get_identity())) {
			_record_change(endpoint_change::kind::REPLACED, endpoint);
		}
		if (listing.incarnation >= endpoint.listing.incarnation) {
			_add(listing);
		}
	}
	_remove_unlisted();
	_groups.clear();
}

void router::_remove_unlisted() {
	for (auto entry = _endpoints.begin(); entry != _endpoints.end();) {
		const endpoint_state &endpoint = *entry->second;
		if (endpoint.listed || endpoint.in_flight > 0) {
			++entry;
			continue;
		}
		const auto known = _by_vm.find(endpoint.listing.vm);
		if (known != _by_vm.end() && known->second == endpoint.id) {
			_by_vm.erase(known);
		}
		_record_change(endpoint_change::kind::REMOVED, endpoint);
		entry = _endpoints.erase(entry);
	}
}

bool router::mark_leaving(const std::string &p_vm, std::uint64_t p_incarnation) {
	if (_is_marked_leaving(p_vm, p_incarnation)) {
		return false;
	}
	_leaving_marks[p_vm] = p_incarnation;
	for (const auto &[id, endpoint] : _endpoints) {
		if (endpoint->listing.vm == p_vm && endpoint->listing.incarnation <= p_incarnation && !endpoint->leaving) {
			endpoint->leaving = true;
			_record_change(endpoint_change::kind::LEAVING, *endpoint);
		}
	}
	_groups.clear();
	return true;
}

void router::apply_report(endpoint_id p_endpoint, const endpoint_load &p_report) {
	const auto found = _endpoints.find(p_endpoint);
	if (found == _endpoints.end()) {
		return;
	}
	found->second->has_report = true;
	found->second->report = p_report;
}

endpoint_group &router::_get_group(const choice_request &p_request) {
	const std::string key = p_request.pool + "\n" + p_request.endpoints.to_string();
	const auto found = _groups.find(key);
	if (found != _groups.end()) {
		return found->second;
	}
	std::vector<endpoint_state *> members;
	for (const auto &[id, endpoint] : _endpoints) {
		const bool is_member = endpoint->listing.pool == p_request.pool && endpoint->is_open();
		if (is_member && p_request.endpoints.matches(endpoint->listing.labels)) {
			members.push_back(endpoint.get());
		}
	}
	return _groups.emplace(key, endpoint_group(members, _zone)).first->second;
}

bool router::_is_allowed(const endpoint_state &p_endpoint, const choice_request &p_request, instant p_now) const {
	const bool is_admitted = !p_request.admits || p_request.admits(p_endpoint.listing);
	return p_endpoint.is_open() && is_admitted && (!_limit || _limit(p_endpoint.listing.get_identity(), p_now));
}

bool router::_may_try(const endpoint_state &p_endpoint, const choice_request &p_request, instant p_now) const {
	if (!_is_allowed(p_endpoint, p_request, p_now) || _unreached_zones.contains(p_endpoint.listing.zone)) {
		return false;
	}
	if (!p_endpoint.ejected) {
		return true;
	}
	return p_now >= p_endpoint.ejected_until && !p_endpoint.probe_in_flight;
}

endpoint_state *router::_choose_by_affinity(const endpoint_group &p_group, const choice_request &p_request, instant p_now) {
	if (p_request.affinity_key == 0) {
		return nullptr;
	}
	return p_group.find_by_affinity(p_request.affinity_key, [this, &p_request, p_now](const endpoint_state &p_endpoint) {
		const bool is_usable = !p_endpoint.ejected && _may_try(p_endpoint, p_request, p_now) && !is_contained(p_request.avoid, p_endpoint.id);
		return is_usable && p_endpoint.get_slowness(p_now) <= AFFINITY_MAX_SLOWNESS && predict_finish(p_endpoint, p_now) <= AFFINITY_MAX_FINISH;
	});
}

endpoint_state *router::_choose_by_policy(endpoint_group &r_group, const std::function<bool(const endpoint_state &)> &p_usable, instant p_now) {
	const policy_hook &hook = get_policy_hook(_settings.policy);
	const std::uint64_t turn = r_group.take_turn();
	if (!is_zone_aware(_settings.policy)) {
		return r_group.is_empty() ? nullptr : hook(policy_input{ r_group.get_all(), p_usable, p_now, _random, turn });
	}
	endpoint_state *local = nullptr;
	if (!r_group.get_local().empty()) {
		local = hook(policy_input{ r_group.get_local(), p_usable, p_now, _random, turn });
	}
	if (r_group.get_remote().empty()) {
		return local;
	}
	endpoint_state *remote = hook(policy_input{ r_group.get_remote(), p_usable, p_now, _random, turn });
	if (local == nullptr || remote == nullptr) {
		return local == nullptr ? remote : local;
	}
	const double local_finish = predict_finish(*local, p_now);
	const double remote_finish = predict_finish(*remote, p_now);
	return local_finish > remote_finish * CROSS_ZONE_FACTOR + CROSS_ZONE_MARGIN ? remote : local;
}

endpoint_state *router::_choose_any(endpoint_group &r_group, const choice_request &p_request, instant p_now) {
	// All endpoints seem to fail, so the fault may be at this node: ignore ejections instead of refusing all work.
	return _choose_by_policy(
			r_group, [this, &p_request, p_now](const endpoint_state &p_endpoint) { return _is_allowed(p_endpoint, p_request, p_now); }, p_now);
}

std::optional<endpoint_id> router::choose(const choice_request &p_request, instant p_now) {
	endpoint_group &group = _get_group(p_request);
	if (group.is_empty()) {
		return std::nullopt;
	}
	endpoint_state *chosen = _choose_by_affinity(group, p_request, p_now);
	if (chosen == nullptr) {
		const std::function<bool(const endpoint_state &)> is_untried = [this, &p_request, p_now](const endpoint_state &p_endpoint) {
			return _may_try(p_endpoint, p_request, p_now) && !is_contained(p_request.avoid, p_endpoint.id);
		};
		chosen = _choose_by_policy(group, is_untried, p_now);
	}
	if (chosen == nullptr) {
		chosen = _choose_any(group, p_request, p_now);
	}
	if (chosen == nullptr) {
		return std::nullopt;
	}
	return chosen->id;
}

std::vector<const endpoint_state *> router::get_usable(const choice_request &p_request, instant p_now) {
	std::vector<const endpoint_state *> usable;
	std::vector<const endpoint_state *> open;
	for (const endpoint_state *endpoint : _get_group(p_request).get_all()) {
		if (!_is_allowed(*endpoint, p_request, p_now)) {
			continue;
		}
		open.push_back(endpoint);
		if (_may_try(*endpoint, p_request, p_now) && !is_contained(p_request.avoid, endpoint->id)) {
			usable.push_back(endpoint);
		}
	}
	return usable.empty() ? open : usable;
}

std::vector<endpoint_identity> router::get_open(const choice_request &p_request) {
	std::vector<endpoint_identity> open;
	for (const endpoint_state *endpoint : _get_group(p_request).get_all()) {
		if (endpoint->is_open() && (!p_request.admits || p_request.admits(endpoint->listing))) {
			open.push_back(endpoint->listing.get_identity());
		}
	}
	return open;
}

bool router::has_no_admitted_endpoint(const choice_request &p_request) const {
	bool is_any = false;
	for (const auto &[id, endpoint] : _endpoints) {
		const bool is_staying = endpoint->listed && !endpoint->leaving && endpoint->listing.pool == p_request.pool;
		if (!is_staying) {
			continue;
		}
		is_any = true;
		if (!endpoint->evacuated && (!p_request.admits || p_request.admits(endpoint->listing))) {
			return false;
		}
	}
	return is_any;
}

void router::on_attempt_started(endpoint_id p_endpoint, instant p_now) {
	const auto found = _endpoints.find(p_endpoint);
	if (found == _endpoints.end()) {
		return;
	}
	endpoint_state &endpoint = *found->second;
	endpoint.in_flight++;
	if (endpoint.ejected && p_now >= endpoint.ejected_until) {
		endpoint.probe_in_flight = true;
	}
}

void router::on_attempt_ended(endpoint_id p_endpoint, const attempt_observation &p_observation, instant p_now) {
	const auto found = _endpoints.find(p_endpoint);
	if (found == _endpoints.end()) {
		return;
	}
	endpoint_state &endpoint = *found->second;
	endpoint.in_flight--;
	endpoint.probe_in_flight = false;
	if (p_observation.result.why == reason::REFUSED_LEAVING) {
		mark_leaving(endpoint.listing.vm, endpoint.listing.incarnation);
	} else if (p_observation.result.what == verdict::COMPLETED) {
		_on_success(endpoint, p_observation, p_now);
	} else if (p_observation.result.why == reason::CANCELLED) {
		_on_cancelled(endpoint, p_observation, p_now);
	} else if (is_endpoint_fault(p_observation.result)) {
		_on_failure(endpoint, p_observation, p_now);
	}
	if (!endpoint.listed && endpoint.in_flight == 0) {
		_remove_unlisted();
		_groups.clear();
	}
}

void router::_update_slowness(endpoint_state &p_endpoint, double p_sample, instant p_now) {
	const double current = p_endpoint.get_slowness(p_now);
	const double weight = p_sample > current ? SLOWNESS_RISE_WEIGHT : SLOWNESS_FALL_WEIGHT;
	const double estimate = current + (p_sample - current) * weight;
	p_endpoint.slowness = std::clamp(estimate, 1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
	p_endpoint.slowness_at = p_now;
}

void router::_update_error_share(endpoint_state &p_endpoint, double p_sample, instant p_now) {
	const double current = p_endpoint.get_error_share(p_now);
	p_endpoint.error_share = current + (p_sample - current) * ERROR_WEIGHT;
	p_endpoint.errors_at = p_now;
}

void router::_on_success(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now) {
	if (p_observation.typical > duration::zero()) {
		const double sample = static_cast<double>(p_observation.elapsed.count()) / static_cast<double>(p_observation.typical.count());
		_update_slowness(p_endpoint, std::min(sample, MAX_SLOWNESS), p_now);
	}
	_update_error_share(p_endpoint, 0.0, p_now);
	p_endpoint.consecutive_failures = 0;
	if (p_endpoint.ejected) {
		p_endpoint.ejected = false;
		p_endpoint.ejection_count = 0;
		_record_change(endpoint_change::kind::READMITTED, p_endpoint);
	}
}

void router::_on_cancelled(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now) {
	// The attempt would have taken even longer, so the elapsed time is a lower bound of its service time.
	if (p_observation.typical <= duration::zero() || p_observation.elapsed <= p_observation.typical) {
		return;
	}
	const double sample = static_cast<double>(p_observation.elapsed.count()) / static_cast<double>(p_observation.typical.count());
	if (sample > p_endpoint.get_slowness(p_now)) {
		_update_slowness(p_endpoint, std::min(sample, MAX_SLOWNESS), p_now);
	}
}

void router::_on_failure(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now) {
	_update_slowness(p_endpoint, std::max(FAILURE_SLOWNESS, p_endpoint.get_slowness(p_now)), p_now);
	if (p_observation.result.why == reason::REFUSED_BUSY) {
		// Being busy isn't an error; the raised slowness already steers work away.
		return;
	}
	_update_error_share(p_endpoint, 1.0, p_now);
	p_endpoint.consecutive_failures++;
	if (p_endpoint.ejected) {
		_eject(p_endpoint, p_now);
		return;
	}
	const bool is_unreachable = p_observation.result.why == reason::CONNECT_FAILED;
	const int allowed = is_unreachable ? _settings.connect_failures_to_eject : FAILURES_TO_EJECT;
	if (p_endpoint.consecutive_failures >= allowed && _may_eject(p_endpoint)) {
		_eject(p_endpoint, p_now);
		_record_change(endpoint_change::kind::EJECTED, p_endpoint);
	}
}

bool router::_may_eject(const endpoint_state &p_endpoint) const {
	std::size_t pool_size = 0;
	std::size_t ejected = 0;
	for (const auto &[id, endpoint] : _endpoints) {
		if (endpoint->listing.pool != p_endpoint.listing.pool || !endpoint->is_open()) {
			continue;
		}
		pool_size++;
		ejected += endpoint->ejected ? 1 : 0;
	}
	return static_cast<double>(ejected + 1) <= _settings.max_ejected_share * static_cast<double>(pool_size);
}

void router::_eject(endpoint_state &p_endpoint, instant p_now) {
	const double factor = std::exp2(static_cast<double>(std::min(p_endpoint.ejection_count, 10)));
	const duration back_off = std::min(MAX_EJECTION_TIME, duration(static_cast<duration::rep>(MIN_EJECTION_TIME.count() * factor)));
	p_endpoint.ejected = true;
	p_endpoint.ejection_count++;
	p_endpoint.ejected_until = p_now + back_off;
}

const endpoint_state *router::find(endpoint_id p_endpoint) const {
	const auto found = _endpoints.find(p_endpoint);
	return found == _endpoints.end() ? nullptr : found->second.get();
}

const endpoint_state *router::find_vm(const std::string &p_vm) const {
	const auto found = _by_vm.find(p_vm);
	return found == _by_vm.end() ? nullptr : find(found->second);
}

std::size_t router::count_open(const std::string &p_pool, const selector &p_endpoints) {
	choice_request request;
	request.pool = p_pool;
	request.endpoints = p_endpoints;
	const endpoint_group &group = _get_group(request);
	return group.get_all().size();
}

void router::for_each(const std::function<void(const endpoint_state &)> &p_hook) const {
	for (const auto &[id, endpoint] : _endpoints) {
		p_hook(*endpoint);
	}
}

} // namespace calicoscale
