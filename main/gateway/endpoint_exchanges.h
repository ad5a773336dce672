/*
 * calicoscale: endpoint_exchanges.h
 * Starts exchanges with endpoints, and observes which services this node and its peers reach.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_EXCHANGES_H
#define ENDPOINT_EXCHANGES_H

#include "drivers/endpoint_probe.h"
#include "main/gateway/gateway_fleet.h"
#include "servers/reach/peer_reach.h"
#include "servers/reach/service_reach.h"

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * All exchanges with endpoints start here. Connections that fail show which services are unreachable from this node, which it reports in
 * its heartbeats. While a service is unreachable, a few of its endpoints are probed until one accepts a connection.
 */
class endpoint_exchanges {
	gateway_context &_context;
	gateway_fleet &_fleet;
	service_reach _reach;
	peer_reach _peers;
	endpoint_probe _probe;
	timer _probe_timer;
	std::map<std::string, std::vector<endpoint_listing>> _endpoints; ///< Endpoints that are not leaving, by service.

	std::vector<forwarding_peer> _get_peers() const;
	void _on_ended(const std::string &p_service, const std::string &p_endpoint, channel_end p_end);
	void _probe_endpoint(const endpoint_listing &p_listing);
	void _probe_unreached();
	/** Logs changes of what this node reaches, and reports them to its peers. */
	void _apply_changes();

public:
	endpoint_exchanges(gateway_context &p_context, gateway_fleet &p_fleet);

	/** Starts an exchange. Its hooks are called from the loop, never before this returns. */
	exchange_id start(channel_request p_request, channel_hooks p_hooks);

	/** Cancels an exchange; its hooks are not called afterwards. */
	void cancel(exchange_id p_id) { _context.channels.cancel(p_id); }

	/** Pauses or resumes reading an answer. */
	void set_reading(exchange_id p_id, bool p_reads) { _context.channels.set_reading(p_id, p_reads); }

	/** Whether bytes of an answer have arrived that are not read yet. */
	bool has_unread(exchange_id p_id) const { return _context.channels.has_unread(p_id); }

	/** Sets the endpoints of all services. */
	void set_endpoints(const std::vector<endpoint_listing> &p_listings);

	/** Whether connections from this node to a service may succeed. */
	bool is_reached(const std::string &p_service) const { return _reach.is_reached(p_service); }

	/** Returns the part of the heartbeats that reports unreachable services. */
	heartbeat_section make_section();

	/** Sets the gauges in the metrics. */
	void report();
};

} // namespace calicoscale

#endif // ENDPOINT_EXCHANGES_H
