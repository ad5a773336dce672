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
#include "servers/membership/read_order.h"
#include "servers/rollout/rollout_schedule.h"
#include "servers/routing/endpoint_state.h"
#include "servers/streams/stream_table.h"

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
	store_rates store; ///< Rates at which the store serves all nodes together.
	std::vector<network_address> peers; ///< Link addresses to try before members are known. Any of them may be stale.
	std::string fleet_key; ///< Secret shared by the nodes. If empty, every peer is admitted.
	retry_bounds retries;
	double cores = 1.0; ///< Number of cores, possibly fractional, that this process may use. The larger nodes dispatch stage pools.
	double memory_bytes = 256e6; ///< Memory that this process may use.
	std::size_t descriptors = 2048; ///< File descriptors that this process may have open.
	double link_bytes = 125e6; ///< Capacity of this VM's link in bytes per second.
	duration configuration_apply = std::chrono::seconds(2); ///< Time within which a confirmed change of the configuration must be in force.
	duration evacuation_apply = std::chrono::seconds(5); ///< Time after the confirmation of an evacuation from which the zone's endpoints must get no new requests.
	rollout_bounds rollouts; ///< Limits on the requests that a new version gets before it is known to be good.
	duration stream_lifetime = stream_table::MAX_LIFETIME; ///< Longest time from the start of a stream in which its caller may resume it.
	bool is_first_start = false; ///< The whole system starts for the first time, so that no stream has begun before.
	std::map<std::string, std::string> regions; ///< Region of each availability zone, by the zone's name.
	mechanism_set mechanisms; ///< Enabled mechanisms. Some may be switched off to measure their effect.
	duration stop_grace = std::chrono::seconds(8); ///< Time from the stop signal until the process is killed.

	/** Returns the maximum number of links to other nodes: half of the descriptors. The rest is for callers, endpoints, the store and files. */
	std::size_t get_max_links() const { return descriptors / 2; }
};

/**
 * Parses and checks settings.
 * @throws document_error with all problems found.
 */
gateway_settings parse_gateway_settings(std::string_view p_text);

} // namespace calicoscale

#endif // GATEWAY_SETTINGS_H
