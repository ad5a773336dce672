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

/** Carries member_table, list_guard and limit sharing. */
class fleet_service {
	node_context &_context;
	configuration_service &_configuration;
	router &_router;
	customer_limiter &_limiter;
	node_link _link;
	member_table _members;
	list_guard _guard;
	timer _beat_timer;
	timer _list_timer;
	timer _load_timer;
	std::uint64_t _beats = 0;
	std::size_t _next_load = 0;
	std::size_t _next_mark = 0;
	bool _ready = false;
	bool _leaving = false;
	bool _list_known = false;
	bool _platform_cut = false;
	instant _asked_configuration_at{};
	std::uint64_t _shared_version = 0;
	std::function<void()> _on_list;

	void _beat();
	void _send_heartbeats();
	std::vector<leaving_mark> _pick_marks();
	void _tell(const std::string &p_vm);
	void _on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message);
	void _on_configuration_asked(const std::string &p_vm, std::uint64_t p_have);
	void _maybe_ask(const std::string &p_vm, std::uint64_t p_version);
	void _dial_neighbours();
	void _fetch_list();
	void _on_list_answer(const std::optional<vm_listing> &p_listing);
	void _poll_loads();
	void _share_limits();
	void _note_changes();

public:
	/** @param p_admin address of the admin interface as bound, told to peers. */
	fleet_service(node_context &p_context, configuration_service &p_configuration, router &p_router, customer_limiter &p_limiter, const network_address &p_admin);

	/** Begins to beat and to fetch the list. */
	void start();

	/** Whether this node takes requests; told to peers. */
	void set_ready(bool p_ready) { _ready = p_ready; }

	/** Announces the planned stop at once. */
	void announce_leaving();

	/** Cuts links to these VMs and, if so, the platform; for failure tests. */
	void set_cut(std::vector<std::string> p_vms, bool p_platform);

	/** An endpoint said or was seen to leave: told to all neighbours at once. */
	void on_endpoint_leaving();

	/** Recomputes this node's part of customer limits now. */
	void refresh_limits() { _share_limits(); }

	/** Whether the platform's list, or one kept from before, is known. */
	bool is_list_known() const { return _list_known; }

	const member_table &get_members() const { return _members; }
	node_link &get_link() { return _link; }
	bool is_doubting_list() const { return _guard.is_list_deferred(); }
};

} // namespace calicoscale

#endif // FLEET_SERVICE_H
