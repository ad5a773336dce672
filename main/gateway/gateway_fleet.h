/*
 * calicoscale: gateway_fleet.h
 * This node's view of the other gateway nodes: links, heartbeats, configuration and leaving endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_FLEET_H
#define GATEWAY_FLEET_H

#include "drivers/node_link.h"
#include "main/gateway/evacuation_follower.h"
#include "main/gateway/heartbeat_section.h"
#include "main/gateway/node_names.h"
#include "main/gateway/peer_bootstrap.h"
#include "main/gateway/store_sharing.h"
#include "servers/membership/digest_feed.h"
#include "servers/membership/fleet_overlay.h"
#include "servers/membership/member_table.h"
#include "servers/membership/peer_contacts.h"
#include "servers/membership/peer_loss.h"
#include "servers/membership/reported_fleet.h"
#include "servers/membership/seed_order.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Maintains the links of the overlay and those that stage work needs, and tracks which nodes are live. A hub receives heartbeats
 * from all nodes of its zone and from all other hubs. Any other node receives heartbeats from its hubs and follows one of them,
 * which reports the dispatching nodes, what the fleet has admitted and which zones are unreachable.
 */
class gateway_fleet {
	/** Recipients of a round of heartbeats. */
	enum class heartbeat_scope {
		DUE, ///< Peers whose next heartbeat is due.
		CLOSE, ///< Peers that follow this node or that it follows, whether their heartbeat is due or not.
		ALL, ///< All linked peers.
	};

	/** Relation of a peer to this node. */
	struct peer_role {
		bool is_mesh = false; ///< Both nodes are hubs.
		bool is_follower = false; ///< The peer follows this node, or belongs to a zone whose hub this node is.
		bool is_relied_on = false; ///< This node follows the peer.
		bool is_close = false; ///< The peer receives heartbeats at the shorter interval.
		bool is_needed = false; ///< One of the two nodes needs the link.
		bool receives_updates = false; ///< The peer receives updates of endpoints.
	};

	/** Contents of one round of heartbeats, by the role of the receiver. */
	struct heartbeat_drafts {
		heartbeat_message plain; ///< For peers that keep a link only for stage work.
		heartbeat_message to_hub; ///< For other hubs, or for the hub that this node follows.
		heartbeat_message to_follower;
		std::vector<member_digest> relayed_digests;
	};

	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	evacuation_follower &_evacuations;
	std::vector<heartbeat_section> _parts;
	node_link _link;
	member_table _members;
	peer_contacts _contacts;
	digest_feed _feed;
	fleet_overlay _overlay;
	overlay_plan _plan;
	store_sharing _store;
	node_names _names;
	peer_bootstrap _bootstrap;
	reported_fleet _reported;
	std::map<std::string, bool> _was_live;
	std::map<std::string, std::uint32_t> _zone_nodes; ///< Number of live nodes in a hub's zone, by hub.
	std::map<std::string, instant> _kept_until; ///< Nodes to which a link is kept for stage work, with the time until which it is kept.
	timer _heartbeat_timer;
	timer _watch_timer;
	instant _hub_since{};
	bool _knows_hubs = false; ///< This node is a hub and has received heartbeats from all other hubs, so it may report them to its zone.
	int _heartbeat_count = 0;
	bool _is_starting = true; ///< No dispatching node is known.
	std::set<std::string> _greeted; ///< Peers that have already been sent the first heartbeat on the current link.
	seed_order _seed_order;
	bool _refuses_links = false; ///< Connections were refused because of the maximum number of links, which is still reached.
	bool _ready = false;
	bool _leaving = false;
	std::size_t _known_count = 0; ///< Number of known nodes in all zones, including silent ones; zero if unknown.
	double _own_part = 0.0; ///< See get_own_part().
	double _reached_part = 0.0; ///< See get_reached_part().
	sigc::signal<void(const std::string &)> _peer_lost;
	sigc::signal<void(const std::set<std::string> &)> _reach_changed;
	std::set<std::string> _unreachable_zones;
	std::vector<std::string> _dispatchers_logged;

	void _send_due_heartbeats();
	void _watch();
	/** Logs the dispatching nodes when this node's view of them changes. */
	void _log_dispatchers();
	void _set_unreachable_zones(std::set<std::string> p_zones);
	peer_role _get_role(const std::string &p_vm, instant p_now) const;
	heartbeat_drafts _make_heartbeat_drafts(bool p_with_relayed_digests);
	void _add_members(const std::string &p_vm, const heartbeat_drafts &p_texts, heartbeat_message &r_message);
	void _send_heartbeat(const std::string &p_vm, const peer_role &p_role, const heartbeat_drafts &p_texts);
	void _send_heartbeats(heartbeat_scope p_scope);
	void _plan_links();
	void _dial();
	/** Whether this node is the first dispatching node of those that know each other. */
	bool _is_first_dispatcher() const;
	/** Whether a node is known and not expected to go. */
	static bool _is_staying(const member &p_member);
	named_state _get_named_state(const named_node &p_node) const;
	void _use_names();
	/** Whether this node keeps in contact with all seeds: it is one, or the first dispatching node of the nodes that it knows. */
	bool _dials_all_seeds() const;
	/** Dials the seeds that are not known as staying. Each may be the only contact to another part of the fleet. */
	void _dial_unknown_seeds();
	void _request_list();
	void _update_liveness();
	void _set_live(const std::string &p_vm);
	void _set_failed(const std::string &p_vm, peer_loss p_cause);
	bool _is_leaving(const std::string &p_vm) const;
	bool _is_ready(const std::string &p_vm) const;
	bool _is_in_own_zone(const std::string &p_vm) const;
	std::uint32_t _count_zone() const;
	std::uint32_t _count_fleet() const;
	bool _has_other_seeds() const;
	/** Number of known nodes in all zones, including silent ones; zero if unknown. */
	std::size_t _count_known(std::size_t p_live) const;
	void _update_parts();
	void _collect_updates();
	void _on_link_up(const std::string &p_vm);
	void _on_link_down(const std::string &p_vm);
	void _on_peer_replaced(const std::string &p_vm);
	void _on_connection_refused();
	void _on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message);
	void _merge_members(const heartbeat_message &p_message);
	void _apply_endpoint_updates(const std::string &p_vm, const heartbeat_message &p_message);
	void _apply_fleet_state(const std::string &p_vm, const heartbeat_message &p_message);
	bool _is_responsive(const std::string &p_vm, instant p_now) const;
	std::vector<std::string> _find_dispatchers() const;

public:
	gateway_fleet(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, evacuation_follower &p_evacuations);

	/** Starts sending heartbeats. */
	void start();

	/** Adds a section to the heartbeats. Objects that its hooks use must outlive this object. */
	void add_part(heartbeat_section p_part) { _parts.push_back(std::move(p_part)); }

	/** Sends heartbeats immediately to the peers that follow this node and to those that it follows. */
	void send_heartbeats_now() { _send_heartbeats(heartbeat_scope::CLOSE); }

	/** Sets whether this node accepts requests, which is reported to peers. */
	void set_ready(bool p_ready);

	/** Announces that this node stops, so that peers assign no more work to it. */
	void announce_leaving();

	/** Responsive nodes that are not stopping, including this one. */
	std::vector<std::string> get_live_nodes() const;

	/**
	 * Ready nodes that are large enough to dispatch a pool for all nodes, sorted by name: the responsive hubs, or the nodes that
	 * a hub reported. Empty while none is known.
	 */
	std::vector<std::string> get_dispatch_nodes() const;

	/** Whether this node knows what it needs to accept work: the dispatching nodes and, if it is a hub, that all responsive hubs are ready. */
	bool knows_fleet() const;

	/** Number of known live nodes in all zones. */
	std::size_t get_live_count() const;

	/**
	 * Part of a limit of the whole fleet that is this node's own, from 0 to 1. Silent nodes have a part too, as they may still send
	 * to endpoints. Zero while this node has seeds and has not had contact with any other node.
	 */
	double get_own_part() const { return _own_part; }

	/** Part of the fleet that is live to this node, including itself, from 0 to 1. */
	double get_reached_part() const { return _reached_part; }

	/** Extends the deadlines of peers by a process stall of this node, so that they are not assumed to have failed because of it. */
	void on_stall(duration p_absence) { _contacts.extend_deadlines(p_absence); }

	/** Nodes of this node's availability zone that are not stopping, including this one and those that are currently silent. */
	std::vector<std::string> get_zone_nodes() const;

	/** Keeps a link to a node for some time. Establishes the link if there is none. */
	void keep_link(const std::string &p_vm);

	/** Whether this node carries the control traffic of its zone. */
	bool is_hub() const { return _plan.is_hub; }

	/** Other hubs that have a link to this node. Empty if this node is not a hub. */
	std::vector<std::string> get_other_hubs() const;

	/** Nodes that follow this one. */
	std::vector<std::string> get_followers() const { return _contacts.get_followers(event_loop::now()); }

	/** The hub that this node follows. Empty if this node is a hub. */
	std::string get_followed_hub() const { return _plan.is_hub || _store.is_reader() ? "" : _store.get_reader(); }

	/** Whether a node is responsive. Includes nodes that are stopping. */
	bool is_responsive(const std::string &p_vm) const { return _is_responsive(p_vm, event_loop::now()); }

	/** All other nodes that this node knows, including silent ones. */
	const std::map<std::string, member> &get_members() const { return _members.get_members(); }

	node_link &get_link() { return _link; }
	const node_link &get_link() const { return _link; }
	const std::string &get_vm() const { return _context.settings.vm; }

	/** Zones that are unreachable from this node. */
	const std::set<std::string> &get_unreachable_zones() const { return _unreachable_zones; }

	/** Emitted with the unreachable zones when they change. */
	sigc::signal<void(const std::set<std::string> &)> &reachability_changed() { return _reach_changed; }

	/** Emitted when a node has become silent. A node that is stopping is not reported before that. */
	sigc::signal<void(const std::string &)> &peer_failed() { return _peer_lost; }
};

} // namespace calicoscale

#endif // GATEWAY_FLEET_H
