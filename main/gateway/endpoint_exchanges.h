/*
 * calicoscale: endpoint_exchanges.h
 * Starts exchanges with endpoints, directly or through a node that reaches them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_EXCHANGES_H
#define ENDPOINT_EXCHANGES_H

#include "drivers/endpoint_probe.h"
#include "main/gateway/exchange_forwarder.h"
#include "main/gateway/forwarded_exchanges.h"
#include "main/gateway/gateway_fleet.h"
#include "servers/reach/peer_reach.h"
#include "servers/reach/service_reach.h"

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * All exchanges with endpoints start here. Connections that fail show which services are unreachable from this node, which it reports in
 * its heartbeats. Exchanges with endpoints that are unreachable are forwarded to peers, and a few of these endpoints are probed at a
 * time until they accept connections.
 */
class endpoint_exchanges {
	gateway_context &_context;
	gateway_fleet &_fleet;
	service_reach _reach;
	peer_reach _peers;
	forwarded_exchanges _forwarded;
	exchange_forwarder _forwarder;
	endpoint_probe _probe;
	timer _probe_timer;
	std::vector<std::string> _reported; ///< Services that the last heartbeats named as unreachable.
	std::map<std::string, std::vector<endpoint_listing>> _endpoints; ///< Endpoints that are not leaving, by service.

	/** Responsive peers that forward exchanges. */
	std::vector<forwarding_peer> _get_peers() const;
	/** Establishes links to further nodes if few of the linked ones may reach a service. */
	void _seek_peers(const std::string &p_service);
	exchange_id _start_directly(channel_request p_request, channel_hooks p_hooks);
	void _log_surplus(const surplus_report &p_surplus);
	void _on_forwarding_ended(const std::string &p_peer, forwarding_end p_end);
	void _probe_endpoint(const endpoint_listing &p_listing);
	/** Probes an unreachable endpoint of a service, and any other, which may be unreachable without a request having shown it. */
	void _probe_service(const std::string &p_service);
	void _probe_unreached();
	/** Schedules the next probes if endpoints are unreachable. */
	void _probe_later();
	/** Logs changes of what this node reaches, and seeks peers for what it does not reach. */
	void _apply_changes();
	/** Sends heartbeats if the services that they name have changed. */
	void _report_if_changed();

public:
	endpoint_exchanges(gateway_context &p_context, gateway_fleet &p_fleet);

	/** Starts an exchange. Its hooks are called from the loop, never before this returns. */
	exchange_id start(channel_request p_request, channel_hooks p_hooks);

	/** Cancels an exchange; its hooks are not called afterwards. */
	void cancel(exchange_id p_id);

	/** Pauses or resumes reading an answer. */
	void set_reading(exchange_id p_id, bool p_reads);

	/** Whether bytes of an answer have arrived that are not read yet. */
	bool has_unread(exchange_id p_id) const { return _context.channels.has_unread(p_id); }

	/** Returns where an exchange in progress takes place; zeros if another node carries it out. */
	channel_position get_position(exchange_id p_id) const { return is_forwarded(p_id) ? channel_position() : _context.channels.get_position(p_id); }

	/** Whether another node carries out an exchange. It also finds out whether an answer without a length is complete. */
	static bool is_forwarded(exchange_id p_id);

	/** Sets the endpoints of all services. */
	void set_endpoints(const std::vector<endpoint_listing> &p_listings);

	/** Whether connections from this node to a service may succeed. */
	bool is_reached(const std::string &p_service) const { return _reach.is_reached(p_service); }

	/**
	 * Whether a request to a service should be started: this node or a peer with capacity reaches it. Also true if no node reaches it, as
	 * its endpoints may start to accept connections at any moment.
	 */
	bool may_send(const std::string &p_service) const;

	/** An endpoint of a service did not accept a connection. */
	void on_connection_failed(const std::string &p_service, const std::string &p_endpoint);

	/** Accepts no more exchanges of other nodes, as this node is about to stop. */
	void stop_accepting() { _forwarder.stop_accepting(); }

	/** Number of exchanges that this node carries out for others. */
	std::size_t get_carried_count() const { return _forwarder.get_open_count(); }

	/** Measures the lateness of the event loop. Must be called once per interval. */
	void tick(duration p_interval) { _forwarder.tick(p_interval); }

	/** Returns the part of the heartbeats that reports unreachable services. */
	heartbeat_section make_section();

	/** Sets the gauges in the metrics. */
	void report();
};

} // namespace calicoscale

#endif // ENDPOINT_EXCHANGES_H
