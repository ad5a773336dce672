/*
 * calicoscale: routing_policy.h
 * Policies that choose among endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROUTING_POLICY_H
#define ROUTING_POLICY_H

#include "core/random_source.h"
#include "servers/routing/endpoint_state.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Policies that an operator can configure. All but the first serve as baselines for comparison. */
enum class routing_policy {
	PREDICTED_FINISH, ///< The better of two random candidates by predicted finish time.
	LEAST_REPORTED, ///< The candidate with the least reported load.
	ROUND_ROBIN,
	RANDOM,
};

/** Input of a policy. */
struct policy_input {
	const std::vector<endpoint_state *> &candidates; ///< Never empty.
	const std::function<bool(const endpoint_state &)> &is_usable; ///< Returns whether an endpoint may get this attempt.
	instant now;
	random_source &random;
	std::uint64_t turn; ///< Number of earlier choices in this group, for round robin.
};

/** Chooses an endpoint; nullptr if it finds no usable one. */
using policy_hook = std::function<endpoint_state *(const policy_input &p_input)>;

/** Returns the name used in configurations, e.g. "predicted_finish". */
std::string_view get_name(routing_policy p_policy);
/** Returns the policy with a name; empty if unknown. */
std::optional<routing_policy> find_routing_policy(std::string_view p_name);
/** Returns all names, separated by commas, for messages. */
std::string list_routing_policies();
/** Returns whether a policy prefers the own zone; the baselines ignore zones. */
bool is_zone_aware(routing_policy p_policy);
/** Returns the function that implements a policy. */
const policy_hook &get_policy_hook(routing_policy p_policy);

/** Predicts the time to finish one more attempt at an endpoint, relative to an idle endpoint of typical speed (1). */
double predict_finish(const endpoint_state &p_endpoint, instant p_now);

} // namespace calicoscale

#endif // ROUTING_POLICY_H
