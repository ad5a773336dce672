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
#include "main/gateway/beat_part.h"
#include "main/gateway/evacuation_follower.h"
#include "main/gateway/newcomer_help.h"
#include "main/gateway/store_sharing.h"
#include "servers/membership/digest_feed.h"
#include "servers/membership/fleet_overlay.h"
#include "servers/membership/member_table.h"
#include "servers/membership/peer_contacts.h"
#include "servers/membership/peer_loss.h"
#include "servers/membership/told_fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Keeps the links of the overlay and those that work needs, and knows who is there. A hub of its zone hears all nodes of the
 * zone and all other hubs; any other node hears its hubs, relies on one of them, and is told by it who dispatches, what the
 * fleet has admitted and which zones are cut off.
 */
class gateway_fleet {
	/** Which peers a round of heartbeats goes to. */
	enum class beat_scope {
		DUE, ///< Those whose next heartbeat is due.
		CLOSE, ///< Those that rely on this node or on which it relies, whether it is due or not.
		ALL, ///< All that are linked.
	};

	/** How a peer stands to this node. */
	struct peer_role {
		bool is_mesh = false; ///< Both are hubs.
		bool is_follower = false; ///< It relies on this node, or is of a zone whose hub this node is.
		bool is_relied_on = false; ///< This node relies on it.
		bool is_close = false; ///< It is told often.
		bool is_needed = false; ///< One of the two needs the link.
		bool hears_news = false; ///< It is told of endpoints.
	};

	/** What one round of heartbeats tells, by the role of the receiver. */
	struct beat_texts {
		heartbeat_message plain; ///< To peers that only keep a link for work.
		heartbeat_message to_hub; ///< To other hubs, or to the one this node relies on.
		heartbeat_message to_follower;
		std::vector<member_digest> rumours;
	};

	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	evacuation_follower &_evacuations;
	std::vector<beat_part> _parts;
	node_link _link;
	member_table _members;
	peer_contacts _contacts;
	digest_feed _feed;
	fleet_overlay _overlay;
	overlay_plan _plan;
	store_sharing _store;
	newcomer_help _help;
	told_fleet _told;
	std::map<std::string, bool> _was_live;
	std::map<std::string, std::uint32_t> _zone_nodes; ///< Live nodes of a hub's zone, by hub.
	std::map<std::string, instant> _kept_until; ///< Nodes to keep a link to, for work.
	timer _beat_timer;
	timer _watch_timer;
	instant _hub_since{};
	bool _knows_hubs = false; ///< A hub that has heard all others once, so that it may tell its zone of them.
	int _beats = 0;
	bool _is_starting = true; ///< Nobody is known to dispatch.
	std::set<std::string> _greeted; ///< Peers whose link is not new any more.
	std::size_t _next_seed = 0;
	bool _ready = false;
	bool _leaving = false;
	sigc::signal<void(const std::string &)> _peer_lost;
	sigc::signal<void(const std::set<std::string> &)> _reach_changed;
	std::set<std::string> _unreached_zones;
	std::vector<std::string> _dispatchers_logged;

	void _beat();
	void _watch();
	/** Writes a line when the nodes that dispatch, as this node sees it, are others than before. */
	void _log_dispatchers();
	void _set_unreached_zones(std::set<std::string> p_zones);
	peer_role _get_role(const std::string &p_vm, instant p_now) const;
	beat_texts _make_texts(bool p_with_rumours);
	void _add_members(const std::string &p_vm, const beat_texts &p_texts, heartbeat_message &r_message);
	void _send_heartbeat(const std::string &p_vm, const peer_role &p_role, const beat_texts &p_texts);
	void _send_heartbeats(beat_scope p_scope);
	void _plan_links();
	void _dial();
	void _ask_for_list();
	void _note_changes();
	void _set_live(const std::string &p_vm);
	void _set_lost(const std::string &p_vm, peer_loss p_cause);
	bool _is_leaving(const std::string &p_vm) const;
	bool _is_in_own_zone(const std::string &p_vm) const;
	std::uint32_t _count_zone() const;
	std::uint32_t _count_fleet() const;
	void _collect_news();
	void _on_link_up(const std::string &p_vm);
	void _on_link_down(const std::string &p_vm);
	void _on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message);
	void _take_members(const heartbeat_message &p_message);
	void _take_endpoint_news(const std::string &p_vm, const heartbeat_message &p_message);
	void _take_fleet_state(const std::string &p_vm, const heartbeat_message &p_message);
	bool _is_heard(const std::string &p_vm, instant p_now) const;
	std::vector<std::string> _find_dispatchers() const;

public:
	gateway_fleet(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, evacuation_follower &p_evacuations);

	/** Begins to beat. */
	void start();

	/** Adds something to be told with heartbeats; what its hooks use must outlive this. */
	void add_part(beat_part p_part) { _parts.push_back(std::move(p_part)); }

	/** Tells those that rely on this node, and those on which it relies, at once. */
	void beat_now() { _send_heartbeats(beat_scope::CLOSE); }

	/** Whether this node takes requests; told to peers. */
	void set_ready(bool p_ready);

	/** This node stops; peers hand it nothing from now on. */
	void announce_leaving();

	/** Nodes heard just now that do not stop, this one included. */
	std::vector<std::string> get_live_nodes() const;

	/**
	 * Ready nodes that are large enough to dispatch a pool for all nodes, sorted by name: hubs that are heard, or what a hub
	 * told. Empty while none is known.
	 */
	std::vector<std::string> get_dispatch_nodes() const;

	/** Whether this node knows what it needs to take work: who dispatches, and if it is a hub that all others it hears are ready. */
	bool knows_fleet() const;

	/** Live nodes of all zones, as far as is known. */
	std::size_t get_live_count() const;

	/** This node stood still: it does not take its peers for lost by its own absence. */
	void on_held_up(duration p_absence) { _contacts.forgive(p_absence); }

	/** Nodes of this node's availability zone that do not stop, this one included, also those that are silent just now. */
	std::vector<std::string> get_zone_nodes() const;

	/** Keeps a link to a node for some time, and makes one if there is none. */
	void keep_link(const std::string &p_vm);

	/** Whether this node carries the control traffic of its zone. */
	bool is_hub() const { return _plan.is_hub; }

	/** Other hubs with a link to this node; none for a node that is no hub. */
	std::vector<std::string> get_other_hubs() const;

	/** Nodes that rely on this one. */
	std::vector<std::string> get_followers() const { return _contacts.get_followers(event_loop::now()); }

	/** The hub that this node relies on; empty for a hub. */
	std::string get_relied_on() const { return _plan.is_hub || _store.is_reader() ? "" : _store.get_reader(); }

	/** Whether a node answered just now, also one that stops. */
	bool is_heard(const std::string &p_vm) const { return _is_heard(p_vm, event_loop::now()); }

	node_link &get_link() { return _link; }
	const node_link &get_link() const { return _link; }
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
