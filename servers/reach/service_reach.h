/*
 * calicoscale: service_reach.h
 * Which endpoints, and which services as a whole, this node can connect to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SERVICE_REACH_H
#define SERVICE_REACH_H

#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** A service that became reachable or unreachable from this node. */
struct reach_change {
	std::string service;
	bool is_reached = true;
	std::size_t failed_endpoints = 0; ///< Endpoints to which connections failed and with which there was no contact since.
	std::optional<duration> contact_age; ///< Time since the last contact with any endpoint of the service; empty if there was none.
};

/** An endpoint and its service. */
struct service_endpoint {
	std::string service;
	std::string vm;
};

/**
 * Takes an endpoint as unreachable from a failed connection to the next contact with it, if connections to several endpoints of its
 * service failed: a single one has probably crashed. Takes the whole service as unreachable when several failed in a row, without
 * contact with any endpoint of the service in between. Only this node's own connections count, so the result does not distinguish lost
 * paths from endpoints that all crashed. The state grows with the number of services and endpoints, and is updated with each connection and answer. The caller passes
 * the current time.
 */
class service_reach {
	struct service_state {
		std::set<std::string> endpoints; ///< Endpoints on the list, by VM name.
		std::set<std::string> failed; ///< Listed endpoints to which connections failed, and with which there was no contact since.
		std::set<std::string> failed_in_row; ///< Those that failed since the last contact with any endpoint.
		std::map<std::string, instant> contacts; ///< Last contact with each listed endpoint.
		std::optional<instant> contact_at;
		bool is_reached = true;
	};

	std::map<std::string, service_state> _services;
	std::vector<reach_change> _changes;

	static std::size_t _get_required(const service_state &p_state);
	/** Removes failed endpoints that are no longer listed. */
	static void _drop_unlisted(service_state &r_state);
	void _set_reached(const std::string &p_service, service_state &r_state, bool p_is_reached, instant p_now);

public:
	/** Distinct endpoints that must fail before one of them, or their service, counts as unreachable; fewer if the service has fewer. */
	static constexpr std::size_t REQUIRED_ENDPOINTS = 2;

	/** Sets the endpoints of all services. Returns the new ones of unreachable services, which should be probed at once. */
	std::vector<service_endpoint> set_endpoints(const std::map<std::string, std::set<std::string>> &p_endpoints);

	/** An endpoint of a service sent bytes, or accepted a connection or a probe. */
	void on_contact(const std::string &p_service, const std::string &p_endpoint, instant p_now);

	/** A connection to an endpoint was not established. */
	void on_failure(const std::string &p_service, const std::string &p_endpoint, instant p_now);

	/**
	 * An endpoint did not accept a probe. Says nothing of its service as a whole, as failed endpoints are probed too. Ignored if there
	 * was contact with the endpoint since the probe was started.
	 */
	void on_probe_failed(const std::string &p_service, const std::string &p_endpoint, instant p_started_at);

	/** Whether connections to some endpoint of a service may succeed, as far as known. */
	bool is_reached(const std::string &p_service) const;

	/** Whether a connection to an endpoint of a service may succeed, as far as known. */
	bool is_endpoint_reached(const std::string &p_service, const std::string &p_endpoint) const;

	/** Returns the endpoints that are unreachable from this node. */
	std::vector<service_endpoint> get_unreached_endpoints() const;

	/** Returns the services that are unreachable from this node. */
	std::vector<std::string> get_unreached() const;

	/** Returns the services of which most endpoints are unreachable from this node, so that it is of little use to others. */
	std::vector<std::string> get_mostly_unreached() const;

	/** Returns the changes since the last call. */
	std::vector<reach_change> take_changes();
};

} // namespace calicoscale

#endif // SERVICE_REACH_H
