/*
 * calicoscale: event_ring.cpp
 * Bounded list of the events of a process.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/timeline/event_ring.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<event_kind>, 13> KIND_NAMES{ {
		{ event_kind::REQUEST_STARTED, "request_started" },
		{ event_kind::REQUEST_FINISHED, "request_finished" },
		{ event_kind::STAGE_QUEUED, "stage_queued" },
		{ event_kind::ATTEMPT_STARTED, "attempt_started" },
		{ event_kind::ATTEMPT_ENDED, "attempt_ended" },
		{ event_kind::FIRST_TOKEN, "first_token" },
		{ event_kind::PASSED_ON, "passed_on" },
		{ event_kind::CONFIGURATION_IN_FORCE, "configuration_in_force" },
		{ event_kind::CONFIGURATION_REJECTED, "configuration_rejected" },
		{ event_kind::MEMBER_CHANGED, "member_changed" },
		{ event_kind::ENDPOINT_CHANGED, "endpoint_changed" },
		{ event_kind::NODE_CHANGED, "node_changed" },
		{ event_kind::CLAIM_SETTLED, "claim_settled" },
} };

} // namespace

std::string_view get_name(event_kind p_kind) {
	return find_name(KIND_NAMES, p_kind);
}

event_ring::event_ring(std::size_t p_capacity) :
		_capacity(p_capacity) {
}

void event_ring::add(timeline_event p_event) {
	_events.push_back(std::move(p_event));
	if (_events.size() > _capacity) {
		_events.pop_front();
		_overwritten++;
	}
}

std::vector<timeline_event> event_ring::find(std::string_view p_request, std::size_t p_max_events) const {
	std::vector<timeline_event> found;
	for (auto event = _events.rbegin(); event != _events.rend() && found.size() < p_max_events; ++event) {
		if (p_request.empty() || event->request == p_request) {
			found.push_back(*event);
		}
	}
	std::reverse(found.begin(), found.end());
	return found;
}

} // namespace calicoscale
