/*
 * calicoscale: gateway_configuration.h
 * One version of a gateway's configuration: routes, services, customers and limits.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_CONFIGURATION_H
#define GATEWAY_CONFIGURATION_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/** Whether the same request may be sent to an endpoint a second time. */
enum class repeat_rule {
	REPEATABLE,
	ONCE,
	STREAM, ///< Like ONCE unless the route's streams can be resumed.
};

/** One stage that has to be finished before a request may be sent to its service. */
struct stage_spec {
	std::string pool;
	std::vector<std::size_t> inputs; ///< Stages whose results this one needs.
	std::size_t result_bytes = 0; ///< Approximate size of one result.
	bool operator==(const stage_spec &p_other) const = default;
};

/** A service and its share of a route's requests. */
struct service_share {
	std::string service;
	double weight = 1.0;
	bool operator==(const service_share &p_other) const = default;
};

/** Requests of one host under one path. */
struct gateway_route {
	std::string name;
	std::string host;
	std::string path_prefix;
	repeat_rule repeats = repeat_rule::ONCE;
	duration timeout = duration::zero(); ///< Maximum time for which the gateway processes a request.
	duration objective = duration::zero(); ///< An answer, or its first event, is in time if it comes within this time.
	int priority = 0; ///< 0 is the most urgent.
	std::vector<service_share> services;
	int max_endpoints = 1; ///< Number of endpoints that one request may be sent to.
	std::vector<stage_spec> stages;
	std::vector<std::string> homes; ///< Regions that its requests must not leave; empty for no restriction.
	bool is_public = false;
	bool is_resumable = false;
	bool has_affinity = false; ///< Requests share parts of their prompts, so engines that have read these are preferred.
	bool operator==(const gateway_route &p_other) const = default;
};

/** Configured properties of the replicas of a stage pool. */
struct stage_pool_spec {
	int slots = 1; ///< Concurrent calls in one replica.
	std::size_t batch = 1; ///< Maximum items in one call.
	duration call_time = duration::zero(); ///< Fixed time of a call.
	duration piece_time = duration::zero(); ///< Additional time for each item of a call.
	double capacity_bytes = 0.0; ///< Memory for results in one replica, in bytes.
	duration result_ttl = duration::zero();
	bool operator==(const stage_pool_spec &p_other) const = default;
};

/** A service with the properties of its endpoints. */
struct gateway_service {
	std::string name;
	bool is_engine = false;
	std::optional<stage_pool_spec> stage_pool;
	duration cold_time = duration::zero(); ///< An endpoint is cold for this long after it started.
	double cold_rate = 0.0; ///< Requests a second that a cold endpoint supports from all nodes together; 0 for no bound.
};

/** Limits for callers. */
struct gateway_limits {
	std::size_t header_bytes = 16 * 1024;
	std::size_t body_bytes = 4 * 1024 * 1024;
	duration header_timeout = std::chrono::seconds(3);
	duration idle_timeout = std::chrono::seconds(15);
};

/** A customer. Its keys are stored only as digests, in gateway_configuration. */
struct gateway_customer {
	std::string name;
	std::optional<int> priority; ///< Overrides the priority of the route.
	std::vector<std::string> homes; ///< Regions that its requests must not leave; empty for no restriction.
};

/** One version of a gateway's configuration. Immutable after index(). */
class gateway_configuration {
	std::unordered_map<std::string, std::vector<std::size_t>> _routes_by_host; ///< Longest prefix first.
	std::unordered_map<std::string, std::size_t> _customers_by_key; ///< By digest of the key, so that the duration of a look-up reveals nothing about a key.

public:
	std::uint64_t version = 0;
	std::vector<gateway_route> routes;
	std::map<std::string, gateway_service> services;
	std::vector<gateway_customer> customers;
	gateway_limits limits;

	/** Adds a key of the customer with an index in `customers`. */
	void add_key(std::string_view p_key, std::size_t p_customer);

	/** Builds the look-up tables; call it once after all routes have been added. */
	void index();

	/** Returns the route of a request, or nullptr. @param p_path path without the query. */
	const gateway_route *find_route(std::string_view p_host, std::string_view p_path) const;

	/** Returns the customer to whom a key belongs, or nullptr. */
	const gateway_customer *find_customer(std::string_view p_key) const;

	/** Returns whether requests need a key. */
	bool has_customers() const { return !customers.empty(); }

	/** Returns a service, or nullptr when it is unknown. */
	const gateway_service *find_service(const std::string &p_name) const;
};

/** Chooses the service for a request of a route by the weights of its services. @param p_unit a number in [0, 1). */
const std::string &choose_service(const gateway_route &p_route, double p_unit);

} // namespace calicoscale

#endif // GATEWAY_CONFIGURATION_H
