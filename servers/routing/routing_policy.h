/*
 * calicoscale: routing_policy.h
 * The table of policies that choose among endpoints.
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

/** Policies an operator may choose from. All but the first are kept as baselines. */
enum class routing_policy {
	PREDICTED_FINISH, ///< Two random choices by predicted time to finish.
	LEAST_REPORTED, ///< Least load as last reported.
	ROUND_ROBIN,
	RANDOM,
};

/** What a policy chooses from; every candidate may be chosen. */
struct policy_input {
	const std::vector<endpoint_state *> &candidates; ///< Never empty.
	const std::function<bool(const endpoint_state &)> &is_usable; ///< Whether an endpoint may take this attempt.
	instant now;
	random_source &random;
	std::uint64_t turn; ///< Counts choices, for policies that take turns.
};

/** Chooses an endpoint; nullptr when it met no usable one. */
using policy_hook = std::function<endpoint_state *(const policy_input &p_input)>;

/** Name as written in configurations, e.g. "predicted_finish". */
std::string_view get_name(routing_policy p_policy);
/** Looks a policy up by name. */
std::optional<routing_policy> find_routing_policy(std::string_view p_name);
/** All names, for messages. */
std::string list_routing_policies();
/** Whether a policy prefers the own zone; the baselines know no zones. */
bool is_zone_aware(routing_policy p_policy);
/** The hook that carries a policy out. */
const policy_hook &get_policy_hook(routing_policy p_policy);

/** Relative time to finish one more attempt at an endpoint; 1 is an idle endpoint of usual speed. */
double predict_finish(const endpoint_state &p_endpoint, instant p_now);

} // namespace calicoscale

#endif // ROUTING_POLICY_H
