/*
 * calicoscale: member_table.h
 * The entry nodes of the fleet as this node knows them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

#include "core/time.h"
#include "servers/limits/limit_share.h"
#include "servers/routing/endpoint_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** How a member stands. */
enum class member_state {
	ALIVE,
	SUSPECT, ///< Not heard of for a while; counts still, but its grant has expired.
	LEAVING, ///< Said that it stops.
	GONE, ///< Not heard of for long, or off the platform's list.
};

/** Name of a state, e.g. "suspect". */
std::string_view get_name(member_state p_state);

/** What a node says of itself; relayed by others unchanged. */
struct member_digest {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::uint64_t heartbeat = 0; ///< Rises while the node lives; the newer digest has the higher one.
	std::string zone;
	std::string region;
	network_address link;
	network_address admin;
	bool ready = false;
	bool leaving = false;
	std::uint64_t configuration_version = 0;
	customer_demands demand; ///< The largest ones.
	double cores = 1.0; ///< Share of a processor core, or cores, that the node may use.
	bool hub = false; ///< It carries the control traffic of its zone.
};

/** An entry node on the platform's list. */
struct entry_listing {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::string zone;
	network_address link;
	bool leaving = false;
};

/** A member with what was observed of it here. */
struct member {
	member_digest digest;
	member_state state = member_state::ALIVE;
	instant heard_at{}; ///< When a newer heartbeat was last seen.
	bool listed = false;
};

/** A change of a member's state, for logs and the time line. */
struct member_change {
	std::string vm;
	member_state state = member_state::ALIVE;
};

/**
 * Members by VM name. A digest with a higher (incarnation, heartbeat) replaces a lower one; leaving is one way for an
 * incarnation. Each node talks to a fixed number of neighbours and sends them a bounded number of digests, so the cost
 * of a node does not grow with the fleet; what grows is the time a digest takes to get around, and the time-outs with it.
 */
class member_table {
	std::map<std::string, member> _members; ///< Without the own VM.
	member_digest _self;
	std::size_t _rotation = 0;
	std::vector<member_change> _changes;

	void _set_state(member &p_member, member_state p_state);
	std::size_t _count_alive() const;

public:
	explicit member_table(member_digest p_self);

	/** Changes what this node says of itself. */
	void update_self(bool p_ready, bool p_leaving, std::uint64_t p_configuration_version, customer_demands p_demand);

	/** Says whether this node is a hub of its zone. */
	void set_hub(bool p_is_hub) { _self.hub = p_is_hub; }

	/** Raises the own heartbeat and returns the digests to send: the own first, then a bounded rotation of others. */
	std::vector<member_digest> make_heartbeat();

	/** Raises the own heartbeat and returns the own digest alone, for receivers that hear of others otherwise. */
	std::vector<member_digest> make_own_heartbeat();

	/** Takes in digests from a peer. */
	void take_digests(const std::vector<member_digest> &p_digests, instant p_now);

	/** Takes in the platform's list of entry nodes. An empty one changes nothing. */
	void take_listings(const std::vector<entry_listing> &p_listings, instant p_now);

	/** Lets time pass: suspects and removes the silent. */
	void tick(instant p_now);

	/** Nodes to keep a link to: the next few on a ring of hashed names, and one of another zone. */
	std::vector<std::string> choose_neighbours() const;

	/** All nodes that count for sharing limits, the own one first. */
	std::vector<share_member> get_share_members(instant p_now) const;

	/** Time after which a silent member is suspected; grows with the size of the fleet. */
	duration get_suspect_after() const;

	const member_digest &get_self() const { return _self; }
	const std::map<std::string, member> &get_members() const { return _members; }

	/** Member by VM; nullptr when unknown. */
	const member *find(const std::string &p_vm) const;

	/** Hands out the changes since the last call. */
	std::vector<member_change> take_changes();
};

} // namespace calicoscale

#endif // MEMBER_TABLE_H
