/*
 * calicoscale: routing_policy.cpp
 * Policies that choose among endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/routing_policy.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

/** Random draws without a usable candidate after which a policy scans all candidates. */
constexpr int MAX_DRAWS = 6;
/** At an error share of 1 the predicted finish time grows by this factor, since a failure costs a retry or the whole request. */
constexpr double ERROR_COST_FACTOR = 20.0;

constexpr std::array<enum_name<routing_policy>, 4> POLICY_NAMES{ {
		{ routing_policy::PREDICTED_FINISH, "predicted_finish" },
		{ routing_policy::LEAST_REPORTED, "least_reported" },
		{ routing_policy::ROUND_ROBIN, "round_robin" },
		{ routing_policy::RANDOM, "random" },
} };

/** Returns the first usable candidate from p_start on, wrapping around; nullptr if none is usable. */
endpoint_state *scan(const policy_input &p_input, std::size_t p_start) {
	const std::size_t count = p_input.candidates.size();
	for (std::size_t i = 0; i < count; i++) {
		endpoint_state *candidate = p_input.candidates[(p_start + i) % count];
		if (p_input.is_usable(*candidate)) {
			return candidate;
		}
	}
	return nullptr;
}

/** Returns a random usable candidate; nullptr if none is usable. */
endpoint_state *draw(const policy_input &p_input) {
	for (int i = 0; i < MAX_DRAWS; i++) {
		endpoint_state *candidate = p_input.candidates[p_input.random.get_below(p_input.candidates.size())];
		if (p_input.is_usable(*candidate)) {
			return candidate;
		}
	}
	return scan(p_input, p_input.random.get_below(p_input.candidates.size()));
}

endpoint_state *choose_by_predicted_finish(const policy_input &p_input) {
	endpoint_state *first = draw(p_input);
	if (first == nullptr || p_input.candidates.size() == 1) {
		return first;
	}
	endpoint_state *second = draw(p_input);
	if (second == first) {
		second = draw(p_input);
	}
	const double first_finish = predict_finish(*first, p_input.now);
	const double second_finish = predict_finish(*second, p_input.now);
	return second_finish < first_finish ? second : first;
}

endpoint_state *choose_by_least_reported(const policy_input &p_input) {
	endpoint_state *best = nullptr;
	double best_load = 0.0;
	for (endpoint_state *candidate : p_input.candidates) {
		if (!p_input.is_usable(*candidate)) {
			continue;
		}
		const double load = candidate->has_report ? candidate->report.running + candidate->report.queued : 0.0;
		if (best == nullptr || load < best_load) {
			best = candidate;
			best_load = load;
		}
	}
	return best;
}

endpoint_state *choose_by_turn(const policy_input &p_input) {
	return scan(p_input, p_input.turn % p_input.candidates.size());
}

struct policy_row {
	routing_policy policy;
	policy_hook hook;
};

const std::array<policy_row, 4> &get_policy_rows() {
	static const std::array<policy_row, 4> rows{ {
			{ routing_policy::PREDICTED_FINISH, choose_by_predicted_finish },
			{ routing_policy::LEAST_REPORTED, choose_by_least_reported },
			{ routing_policy::ROUND_ROBIN, choose_by_turn },
			{ routing_policy::RANDOM, draw },
	} };
	return rows;
}

} // namespace

std::string_view get_name(routing_policy p_policy) {
	return find_name(POLICY_NAMES, p_policy);
}

std::optional<routing_policy> find_routing_policy(std::string_view p_name) {
	return find_value(POLICY_NAMES, p_name);
}

std::string list_routing_policies() {
	std::string text;
	for (const enum_name<routing_policy> &row : POLICY_NAMES) {
		text += text.empty() ? "" : ", ";
		text += row.name;
	}
	return text;
}

const policy_hook &get_policy_hook(routing_policy p_policy) {
	for (const policy_row &row : get_policy_rows()) {
		if (row.policy == p_policy) {
			return row.hook;
		}
	}
	return get_policy_rows().front().hook;
}

bool is_zone_aware(routing_policy p_policy) {
	return p_policy == routing_policy::PREDICTED_FINISH;
}

double predict_finish(const endpoint_state &p_endpoint, instant p_now) {
	const double errors = 1.0 + ERROR_COST_FACTOR * p_endpoint.get_error_share(p_now);
	return p_endpoint.get_slowness(p_now) * (1.0 + p_endpoint.get_load(p_now)) * errors;
}

} // namespace calicoscale
