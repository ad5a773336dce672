/*
 * calicoscale: endpoint_selector.cpp
 * Chooses the endpoint that a request is sent to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/endpoint_selector.h"

#include <algorithm>

namespace calicoscale {

endpoint_selector::endpoint_selector(request_services &p_services, const admitted_request &p_request) :
		_services(p_services), _request(p_request), _prompt(make_prompt_links(p_request)) {
}

choice_request endpoint_selector::make() const {
	const rollout_service &rollouts = _services.guard.get_rollouts();
	const bool is_pinned_to_target = _request.stream_version && rollouts.is_target(_request.service, *_request.stream_version) && _is_for_target();
	return _make(is_pinned_to_target || rollouts.has_moved(_request.service));
}

bool endpoint_selector::_is_for_target() const {
	return _services.guard.get_rollouts().is_for_target(_request.service, _request.stream_attempt);
}

bool endpoint_selector::has_open() const {
	return !get_router(_services, _request).get_open(make()).empty();
}

bool endpoint_selector::has_usable_outside(const std::set<std::string> &p_zones) const {
	const std::vector<const endpoint_state *> usable = get_router(_services, _request).get_usable(make(), event_loop::now());
	return std::any_of(usable.begin(), usable.end(), [&p_zones](const endpoint_state *p_endpoint) { return !p_zones.contains(p_endpoint->listing.zone); });
}

choice_request endpoint_selector::_make(bool p_for_target) const {
	choice_request choice = make_choice(_services.context, _request);
	choice.avoid = _avoid;
	if (_services.guard.get_rollouts().is_rolled_out(_request.service)) {
		choice.admits = [this, is_home = choice.admits, p_for_target](const endpoint_listing &p_listing) {
			return (!is_home || is_home(p_listing)) && _services.guard.get_rollouts().admits(p_listing, p_for_target);
		};
	}
	if (_needs_recorded_version()) {
		_prefer_recorded_versions(choice);
	}
	return choice;
}

bool endpoint_selector::_needs_recorded_version() const {
	return _request.route->repeats == repeat_rule::STREAM && !_request.stream_version && _services.origins.is_restricted(_request.service);
}

void endpoint_selector::_prefer_recorded_versions(choice_request &r_choice) const {
	choice_request recorded = r_choice;
	recorded.admits = [this, admits = r_choice.admits](const endpoint_listing &p_listing) {
		return (!admits || admits(p_listing)) && _services.origins.may_begin_stream(p_listing.pool, p_listing.version);
	};
	if (!get_router(_services, _request).get_open(recorded).empty()) {
		r_choice = std::move(recorded);
	}
}

std::optional<endpoint_id> endpoint_selector::choose(const std::string &p_zone) {
	const rollout_service &rollouts = _services.guard.get_rollouts();
	// A repeat does not try the target version again.
	const bool is_for_target = !_is_repeat && _is_for_target();
	if (_request.stream_version || !is_for_target || rollouts.has_moved(_request.service)) {
		return _choose_among(make(), p_zone);
	}
	const std::optional<endpoint_id> chosen = _choose_among(_make(true), p_zone);
	return chosen ? chosen : _choose_among(_make(false), p_zone);
}

std::optional<endpoint_id> endpoint_selector::_choose_among(const choice_request &p_choice, const std::string &p_zone) {
	const instant now = event_loop::now();
	if (!is_engine(_request)) {
		return _services.services.choose(p_choice, now);
	}
	const gateway_settings &settings = _services.context.settings;
	const std::string &near_zone = p_zone.empty() ? settings.zone : p_zone;
	std::vector<engine_candidate> candidates;
	for (const endpoint_state *endpoint : _services.engines.get_usable(p_choice, now)) {
		const bool is_in_other_region = !is_same_region(endpoint->listing.zone, near_zone, settings.regions);
		candidates.push_back(engine_candidate{ endpoint->id, endpoint->listing.get_identity(), endpoint->listing.zone, endpoint->in_flight, is_in_other_region });
	}
	if (candidates.empty()) {
		return std::nullopt;
	}
	return candidates[_services.engine_caches.choose(candidates, _prompt, p_zone, now)].id;
}

std::string endpoint_selector::choose_zone() {
	const std::optional<endpoint_id> chosen = choose("");
	return chosen ? get_router(_services, _request).find(*chosen)->listing.zone : "";
}

std::optional<endpoint_id> endpoint_selector::choose_quietest() const {
	const std::vector<const endpoint_state *> usable = get_router(_services, _request).get_usable(make(), event_loop::now());
	const auto quietest = std::min_element(usable.begin(), usable.end(), [](const endpoint_state *p_left, const endpoint_state *p_right) { return p_left->in_flight < p_right->in_flight; });
	return quietest == usable.end() ? std::nullopt : std::optional((*quietest)->id);
}

} // namespace calicoscale
