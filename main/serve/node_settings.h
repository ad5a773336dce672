/*
 * calicoscale: node_settings.h
 * Settings of one node, read from a checked JSON document.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include "core/document_problem.h"
#include "servers/routing/endpoint_state.h"

#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Addresses and properties of the platform's services. */
struct platform_settings {
	network_address log;
	network_address vm_list;
	duration log_retention = std::chrono::hours(24);
};

/** Limits that apply to callers. */
struct caller_limits {
	std::size_t header_bytes = 16 * 1024;
	std::size_t body_bytes = 1024 * 1024;
	int open_requests = 4096;
	int idle_seconds = 60;
	duration longest_deadline = std::chrono::seconds(30);
	std::size_t queued_requests = 1024; ///< Per pool.
};

/** Durations of a planned stop. */
struct drain_settings {
	duration listen = std::chrono::seconds(2); ///< Time for which connections are still accepted, until the load balancer has noticed the stop.
	duration longest = std::chrono::seconds(60); ///< Requests that still run after this time are cut off.
};

/** Settings of one node. */
struct node_settings {
	std::string vm;
	std::string zone;
	std::string region;
	network_address caller_address;
	network_address admin_address;
	network_address link_address;
	std::string admin_key; ///< Empty leaves the admin interface open.
	std::string fleet_key; ///< Shared by the nodes of one operator; authenticates links and resume tokens.
	std::vector<network_address> peers; ///< Link addresses to dial while this node has no links.
	platform_settings platform;
	caller_limits limits;
	drain_settings drain;
	std::size_t timeline_events = 20000;
	std::string log_level = "info";
	std::uint64_t random_seed = 0; ///< 0 selects a random seed.
	bool allow_fault_injection = false; ///< Lets the admin interface cut links, for failure tests.
};

/**
 * Parses and checks settings.
 * @throws document_error with every problem found.
 */
node_settings parse_settings(std::string_view p_text);

} // namespace calicoscale

#endif // NODE_SETTINGS_H
