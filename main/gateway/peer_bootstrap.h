/*
 * calicoscale: peer_bootstrap.h
 * Sends peers what they lack: a newer configuration, and the endpoints while they are not ready.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PEER_BOOTSTRAP_H
#define PEER_BOOTSTRAP_H

#include "drivers/node_link.h"
#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "servers/membership/list_budget.h"
#include "servers/membership/list_request.h"

#include <functional>
#include <map>
#include <string>

namespace calicoscale {

/** Nodes report their version of the configuration with each heartbeat. Documents and lists are sent only to nodes that lack them. */
class peer_bootstrap {
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	node_link &_link;
	std::map<std::uint64_t, instant> _requested_at; ///< When the configuration was last requested, by version.
	list_budget _lists;
	list_request _request;
	const std::function<bool(const std::string &)> _has_list;

	void _on_configuration_requested(const std::string &p_vm, std::uint64_t p_have);
	void _on_endpoints_requested(const std::string &p_vm, bool p_has_list);
	/** Ends the open request if the list that a peer sent was applied. */
	void _on_list_received(const std::string &p_vm);
	std::size_t _get_list_bytes() const;
	bool _send_list(const std::string &p_vm);
	bool _send_snapshot(const std::string &p_vm);

public:
	/**
	 * @param p_link_bytes bytes a second that this node's link carries.
	 * @param p_has_list whether a peer has a list of endpoints, as far as this node knows.
	 */
	peer_bootstrap(configuration_follower &p_configuration, endpoint_follower &p_endpoints, node_link &p_link, double p_link_bytes, std::function<bool(const std::string &)> p_has_list);

	/** Requests the configuration from a peer that has a higher version, at a limited rate. */
	void request_if_newer(const member_digest &p_peer);

	/** Sends all endpoints, at a limited rate, to a peer that is not ready and whose version does not request them. */
	void send_if_unready(const member_digest &p_peer);

	/** Whether this node has to request the endpoints from its peers, as it knows none or its list is incomplete. */
	bool needs_list() const;

	/** Requests the endpoints from one of these nodes, unless a request is open. @param p_chance see list_request. */
	void request_list(const std::vector<list_source> &p_sources, double p_chance);
};

} // namespace calicoscale

#endif // PEER_BOOTSTRAP_H
