/*
 * calicoscale: fleet_service.h
 * This node as a member of the fleet: links, heartbeats, the platform's list, leaving marks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FLEET_SERVICE_H
#define FLEET_SERVICE_H

#include "drivers/node_link.h"
#include "main/serve/configuration_service.h"
#include "servers/limits/customer_limiter.h"
#include "servers/membership/list_guard.h"
#include "servers/membership/member_table.h"
#include "servers/routing/router.h"

#include <functional>
#include <string>

namespace calicoscale {

/** Runs member_table and list_guard, exchanges heartbeats with peers and computes this node's share of customer limits. */
class fleet_service {
	node_context &_context;
	configuration_service &_configuration;
	router &_router;
	customer_limiter &_limiter;
	node_link _link;
	member_table _members;
	list_guard _guard;
	timer _heartbeat_timer;
	timer _list_timer;
	timer _load_timer;
	std::uint64_t _heartbeat_count = 0;
	std::size_t _next_load = 0;
	std::size_t _next_mark = 0;
	bool _ready = false;
	bool _leaving = false;
	bool _list_known = false;
	bool _platform_cut = false;
	instant _configuration_requested_at{};
	std::uint64_t _shared_version = 0;
	std::function<void()> _on_list;

	void _on_heartbeat_timer();
	void _send_heartbeats();
	std::vector<leaving_mark> _pick_marks();
	void _send_heartbeat(const std::string &p_vm);
	void _on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message);
	void _on_configuration_requested(const std::string &p_vm, std::uint64_t p_have);
	void _maybe_request_configuration(const std::string &p_vm, std::uint64_t p_version);
	void _dial_neighbours();
	void _fetch_list();
	void _on_list_answer(const std::optional<vm_listing> &p_listing);
	void _poll_loads();
	void _share_limits();
	void _note_changes();

public:
	/** @param p_admin address that the admin interface is bound to, sent to peers. */
	fleet_service(node_context &p_context, configuration_service &p_configuration, router &p_router, customer_limiter &p_limiter, const network_address &p_admin);

	/** Starts sending heartbeats, fetching the platform's VM list and polling the load of endpoints. */
	void start();

	/** Sets whether this node accepts requests; sent to peers with the next heartbeat. */
	void set_ready(bool p_ready) { _ready = p_ready; }

	/** Announces the planned stop to all linked peers immediately. */
	void announce_leaving();

	/** Simulates failures for tests: cuts the links to `p_vms` and, if `p_platform` is set, the connection to the platform. */
	void set_cut(std::vector<std::string> p_vms, bool p_platform);

	/** Sends heartbeats with leaving marks to all linked peers immediately, after an endpoint reported or was found to be leaving. */
	void on_endpoint_leaving();

	/** Recomputes this node's share of the customer limits. */
	void refresh_limits() { _share_limits(); }

	/** Returns whether a VM list with endpoints has been received from the platform since this node started. */
	bool is_list_known() const { return _list_known; }

	const member_table &get_members() const { return _members; }
	node_link &get_link() { return _link; }
	bool is_doubting_list() const { return _guard.is_list_deferred(); }
};

} // namespace calicoscale

#endif // FLEET_SERVICE_H
