/*
 * calicoscale: disturbance_log.cpp
 * What the soak did to whom, and what that excuses.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/disturbance_log.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

/** A node counts as in touch when nothing was done to it or the store for so long. */
constexpr duration CONTACT = milliseconds(3000);
/** A process that stood still has as much to catch up as came meanwhile. */
constexpr duration CATCH_UP = milliseconds(1500);
constexpr duration AT_THE_TIME = duration::zero();

constexpr std::array<std::string_view, static_cast<std::size_t>(disturbance::COUNT)> DISTURBANCE_NAMES{ "node killed", "node stopping", "node still", "store link", "peer link", "caller link", "store", "endpoint link", "endpoint gone", "endpoint faulty", "endpoint holds back", "endpoint varies ends", "driver held up", "driver slow" };

constexpr std::array<std::string_view, static_cast<std::size_t>(promise::COUNT)> PROMISE_NAMES{ "answered", "whole", "own_answer", "unchanged", "at_most_once", "refused_is_not_run", "admitted", "in_time", "configuration_in_force", "configuration_stays", "leaving_is_left", "returned_is_used", "limit_is_kept", "word_of_leaving_is_kept", "rest_is_given", "stops_in_time", "stays_up", "serves_again", "one_version", "fleet_is_one", "streams_go_on" };

struct excuse {
	promise what;
	disturbance by;
	duration before; ///< Counts if it touched the check's span or this much before it.
	std::string_view reason;
};

/** All there is. What has no row here is never excused. */
constexpr std::array<excuse, 48> EXCUSES{ {
		{ promise::ANSWERED, disturbance::NODE_KILLED, AT_THE_TIME, "the kernel closes what a killed process had read" },
		{ promise::ANSWERED, disturbance::CALLER_LINK, AT_THE_TIME, "the proxy itself lost or held what was sent" },
		{ promise::WHOLE, disturbance::NODE_KILLED, AT_THE_TIME, "a killed process sends no more" },
		{ promise::WHOLE, disturbance::CALLER_LINK, AT_THE_TIME, "the proxy itself broke or held the answer" },
		{ promise::WHOLE, disturbance::ENDPOINT_GONE, AT_THE_TIME, "the endpoint broke its answer off" },
		{ promise::WHOLE, disturbance::ENDPOINT_LINK, AT_THE_TIME, "the link broke the endpoint's answer off" },
		{ promise::WHOLE, disturbance::ENDPOINT_FAULTY, AT_THE_TIME, "the endpoint breaks answers off" },
		{ promise::WHOLE, disturbance::ENDPOINT_VARIES_ENDS, AT_THE_TIME, "the endpoint breaks streams off" },
		{ promise::IN_TIME, disturbance::NODE_KILLED, AT_THE_TIME, "a caller may not hear of the kill" },
		{ promise::IN_TIME, disturbance::NODE_STILL, CATCH_UP, "a process that stands still answers nothing" },
		{ promise::IN_TIME, disturbance::CALLER_LINK, AT_THE_TIME, "the proxy held the answer" },
		{ promise::IN_TIME, disturbance::DRIVER_HELD_UP, CATCH_UP, "the soak's own clock says nothing then" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::NODE_KILLED, CONTACT, "not in touch" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::NODE_STOPPING, CONTACT, "not in touch" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::NODE_STILL, CONTACT, "not in touch" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::STORE_LINK, CONTACT, "not in touch" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::PEER_LINK, CONTACT, "not in touch" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::STORE, CONTACT, "the store is not stable" },
		{ promise::CONFIGURATION_IN_FORCE, disturbance::DRIVER_HELD_UP, CONTACT, "the soak is the store, and stood still" },
		{ promise::LEAVING_IS_LEFT, disturbance::NODE_KILLED, CONTACT, "not in touch" },
		{ promise::LEAVING_IS_LEFT, disturbance::NODE_STOPPING, CONTACT, "not in touch" },
		{ promise::LEAVING_IS_LEFT, disturbance::NODE_STILL, CONTACT, "not in touch" },
		{ promise::LEAVING_IS_LEFT, disturbance::STORE_LINK, CONTACT, "not in touch" },
		{ promise::LEAVING_IS_LEFT, disturbance::PEER_LINK, CONTACT, "not in touch" },
		{ promise::LEAVING_IS_LEFT, disturbance::STORE, CONTACT, "the store is not stable" },
		{ promise::LEAVING_IS_LEFT, disturbance::ENDPOINT_LINK, CONTACT, "the link held what was sent in time" },
		{ promise::LEAVING_IS_LEFT, disturbance::DRIVER_HELD_UP, CONTACT, "the soak is the store and the endpoint" },
		{ promise::LIMIT_IS_KEPT, disturbance::NODE_KILLED, CONTACT, "another process than the one that was told" },
		{ promise::LIMIT_IS_KEPT, disturbance::NODE_STILL, CONTACT, "it sends what came meanwhile" },
		{ promise::LIMIT_IS_KEPT, disturbance::PEER_LINK, CONTACT, "it does not hear the others" },
		{ promise::LIMIT_IS_KEPT, disturbance::NODE_STOPPING, CONTACT, "its places pass to others" },
		{ promise::LIMIT_IS_KEPT, disturbance::ENDPOINT_LINK, CONTACT, "the link held what was sent in time" },
		{ promise::LIMIT_IS_KEPT, disturbance::DRIVER_HELD_UP, CATCH_UP, "the soak is the endpoint" },
		{ promise::WORD_OF_LEAVING_IS_KEPT, disturbance::NODE_KILLED, CONTACT, "another process than the one that was told" },
		{ promise::WORD_OF_LEAVING_IS_KEPT, disturbance::NODE_STILL, CONTACT, "it sends what came meanwhile" },
		{ promise::WORD_OF_LEAVING_IS_KEPT, disturbance::ENDPOINT_LINK, CONTACT, "the link held what was sent in time" },
		{ promise::WORD_OF_LEAVING_IS_KEPT, disturbance::DRIVER_HELD_UP, CATCH_UP, "the soak is the endpoint" },
		{ promise::REST_IS_GIVEN, disturbance::NODE_KILLED, CONTACT, "another process than the one that was told" },
		{ promise::REST_IS_GIVEN, disturbance::NODE_STILL, CONTACT, "it sends what came meanwhile" },
		{ promise::REST_IS_GIVEN, disturbance::ENDPOINT_LINK, CONTACT, "the link held what was sent in time" },
		{ promise::REST_IS_GIVEN, disturbance::DRIVER_HELD_UP, CATCH_UP, "the soak is the endpoint" },
		{ promise::RETURNED_IS_USED, disturbance::STORE, CONTACT, "the store is not stable" },
		{ promise::RETURNED_IS_USED, disturbance::ENDPOINT_LINK, AT_THE_TIME, "nodes cannot reach it" },
		{ promise::RETURNED_IS_USED, disturbance::ENDPOINT_GONE, AT_THE_TIME, "it is gone again" },
		{ promise::RETURNED_IS_USED, disturbance::ENDPOINT_FAULTY, AT_THE_TIME, "nodes avoid what answers badly" },
		{ promise::RETURNED_IS_USED, disturbance::ENDPOINT_VARIES_ENDS, AT_THE_TIME, "nodes avoid what breaks off" },
		{ promise::RETURNED_IS_USED, disturbance::ENDPOINT_HOLDS_BACK, AT_THE_TIME, "it takes little or nothing" },
		{ promise::RETURNED_IS_USED, disturbance::DRIVER_HELD_UP, AT_THE_TIME, "the soak is the endpoint" },
} };

bool is_of_node(disturbance p_kind) {
	return p_kind <= disturbance::CALLER_LINK;
}

bool is_of_endpoint(disturbance p_kind) {
	return p_kind == disturbance::ENDPOINT_LINK || p_kind == disturbance::ENDPOINT_GONE || p_kind == disturbance::ENDPOINT_FAULTY || p_kind == disturbance::ENDPOINT_HOLDS_BACK || p_kind == disturbance::ENDPOINT_VARIES_ENDS;
}

} // namespace

std::string_view get_name(disturbance p_value) {
	return DISTURBANCE_NAMES.at(static_cast<std::size_t>(p_value));
}

std::string_view get_name(promise p_value) {
	return PROMISE_NAMES.at(static_cast<std::size_t>(p_value));
}

void disturbance_log::begin(disturbance p_kind, std::size_t p_subject, instant p_now) {
	note(p_kind, p_subject, p_now, OPEN);
}

void disturbance_log::end(disturbance p_kind, std::size_t p_subject, instant p_now) {
	for (record &entry : _records) {
		if (entry.kind == p_kind && entry.subject == p_subject && entry.end == OPEN) {
			entry.end = p_now;
		}
	}
}

void disturbance_log::note(disturbance p_kind, std::size_t p_subject, instant p_begin, instant p_end) {
	_records.push_back(record{ p_kind, p_subject, p_begin, p_end });
}

std::pair<std::size_t, duration> disturbance_log::get_longest(disturbance p_kind) const {
	std::pair<std::size_t, duration> found{ 0, duration::zero() };
	for (const record &entry : _records) {
		if (entry.kind == p_kind) {
			found.first++;
			found.second = std::max(found.second, entry.end - entry.begin);
		}
	}
	return found;
}

bool disturbance_log::has(disturbance p_kind, std::size_t p_subject, instant p_from, instant p_to) const {
	return std::any_of(_records.begin(), _records.end(), [&](const record &p_entry) {
		return p_entry.kind == p_kind && p_entry.subject == p_subject && p_entry.begin <= p_to && p_entry.end >= p_from;
	});
}

std::string disturbance_log::find_excuse(promise p_promise, const check_scope &p_scope) const {
	for (const excuse &row : EXCUSES) {
		if (row.what != p_promise || (row.by == disturbance::CALLER_LINK && !p_scope.is_proxied)) {
			continue;
		}
		std::vector<std::size_t> subjects{ 0 };
		if (is_of_node(row.by)) {
			subjects = { p_scope.node };
		} else if (is_of_endpoint(row.by)) {
			subjects = p_scope.endpoints;
		}
		for (const std::size_t subject : subjects) {
			if (has(row.by, subject, p_scope.from - row.before, p_scope.to)) {
				return std::string(get_name(row.by)) + ": " + std::string(row.reason);
			}
		}
	}
	return "";
}

} // namespace calicoscale
