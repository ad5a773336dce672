/*
 * calicoscale: gateway_fleet.h
 * This gateway among the others: links, heartbeats, configuration and leaving endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_FLEET_H
#define GATEWAY_FLEET_H

#include "drivers/node_link.h"
#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "servers/membership/member_table.h"
#include "servers/membership/peer_contacts.h"
#include "servers/membership/store_cover.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** Keeps a link to every other node and knows which of them answered just now. */
class gateway_fleet {
	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	commitment_table &_commitments;
	node_link _link;
	member_table _members;
	peer_contacts _contacts;
	store_cover _cover;
	bool _is_reader = false; ///< Of its zone.
	std::map<std::string, bool> _was_live;
	timer _beat_timer;
	timer _watch_timer;
	int _beats = 0;
	bool _ready = false;
	bool _leaving = false;
	bool _named_in_store = false;
	instant _read_names_at{};
	instant _named_at{};
	std::map<std::uint64_t, instant> _asked_at;
	std::map<std::string, instant> _told_endpoints_at; ///< By node.
	std::function<std::vector<pool_capacity>()> _get_capacities;
	sigc::signal<void(const std::string &)> _peer_lost;
	sigc::signal<void(const std::set<std::string> &)> _reach_changed;
	std::set<std::string> _unreached_zones;

	void _beat();
	void _watch();
	heartbeat_message _make_heartbeat(bool p_with_rumours);
	void _send_heartbeat(const std::string &p_vm, heartbeat_message p_message, bool p_is_close);
	/** Sends to the peers that are due, or to all. */
	void _send_heartbeats(bool p_to_all);
	void _dial();
	void _use_store();
	void _note_changes();
	void _set_live(const std::string &p_vm, bool p_live);
	/** Decides whether this node reads the store for its zone, and whether peers follow the configuration for it. */
	void _share_reading();
	void _tell_reading(const endpoint_reading &p_reading);
	void _on_reading_told(const std::string &p_vm, const endpoint_reading &p_reading);
	/** Of some nodes those that are large enough to work for others. */
	std::vector<std::string> _keep_larger(std::vector<std::string> p_nodes) const;
	bool _is_in_own_zone(const std::string &p_vm) const;
	void _collect_news();
	void _on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message);
	void _on_configuration_asked(const std::string &p_vm, std::uint64_t p_have);
	void _help_unready(const member_digest &p_peer, instant p_now);
	bool _is_heard(const std::string &p_vm, instant p_now) const;

public:
	gateway_fleet(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, commitment_table &p_commitments);

	/** Begins to beat. */
	void start();

	/** Sets what tells the capacities of the pools this node dispatches. */
	void set_capacity_source(std::function<std::vector<pool_capacity>()> p_hook) { _get_capacities = std::move(p_hook); }

	/** Whether this node takes requests; told to peers. */
	void set_ready(bool p_ready);

	/** This node stops; peers hand it nothing from now on. */
	void announce_leaving();

	/** Nodes that answered just now and do not stop, this one included, sorted by name. */
	std::vector<std::string> get_live_nodes() const;

	/** Live nodes that know the configuration and the endpoints, so that they can dispatch. */
	std::vector<std::string> get_ready_nodes() const;

	/** Ready nodes that are large enough to dispatch a pool for all nodes; never empty while a node is ready. */
	std::vector<std::string> get_dispatch_nodes() const;

	std::size_t get_live_count() const { return get_live_nodes().size(); }

	/** Whether a node answered just now, also one that stops. */
	bool is_heard(const std::string &p_vm) const { return _is_heard(p_vm, event_loop::now()); }

	node_link &get_link() { return _link; }
	const std::string &get_vm() const { return _context.settings.vm; }

	/** Zones that are cut off from this node. */
	const std::set<std::string> &get_unreached_zones() const { return _unreached_zones; }

	/** Emitted with the zones that are cut off from this node, when they change. */
	sigc::signal<void(const std::set<std::string> &)> &reach_changed() { return _reach_changed; }

	/** Emitted when a node fell silent; one that stops is not lost before. */
	sigc::signal<void(const std::string &)> &peer_lost() { return _peer_lost; }
};

} // namespace calicoscale

#endif // GATEWAY_FLEET_H
