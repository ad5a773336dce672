/*
 * calicoscale: gateway_settings.h
 * Settings of a gateway, read from a checked JSON document.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include "core/document_problem.h"
#include "servers/gateway/mechanism.h"
#include "servers/gateway/retry_window.h"
#include "servers/rollout/rollout_course.h"
#include "servers/routing/endpoint_state.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Settings of one gateway node. */
struct gateway_settings {
	std::string vm;
	std::string zone;
	std::string region;
	network_address caller_address;
	network_address readiness_address;
	network_address link_address;
	std::optional<network_address> metrics_address;
	network_address store_address;
	std::vector<network_address> peers; ///< Links to try before members are known; any may be stale.
	std::string fleet_key; ///< Shared by the nodes; empty admits every peer.
	retry_bounds retries;
	double cores = 1.0; ///< Share of a core, or cores, this process may use; the larger nodes dispatch stage pools.
	double memory_bytes = 256e6; ///< That this process may use.
	double link_bytes = 125e6; ///< Bytes a second that this VM's link carries.
	duration configuration_apply = std::chrono::seconds(2); ///< A confirmed change of the configuration is in force within this.
	duration evacuation_apply = std::chrono::seconds(5); ///< Endpoints of a zone get nothing new this long after its evacuation was confirmed.
	rollout_bounds rollouts; ///< What a version that is rolled out may get before it is known to be good.
	std::map<std::string, std::string> regions; ///< Of each availability zone, by its name.
	mechanism_set mechanisms; ///< Some may be switched off, for measuring what they are worth.
	duration stop_grace = std::chrono::seconds(8); ///< From the stop signal until the process is killed.
};

/**
 * Parses and checks settings.
 * @throws document_error with every mistake found.
 */
gateway_settings parse_gateway_settings(std::string_view p_text);

} // namespace calicoscale

#endif // GATEWAY_SETTINGS_H
