/*
 * calicoscale: member_table.h
 * Table of the entry nodes of the fleet, as known to this node.
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

/** State of a member. */
enum class member_state {
	ALIVE,
	SUSPECT, ///< No newer heartbeat for some time; the member still counts for sharing limits, but its grant has expired.
	LEAVING, ///< The member announced that it stops.
	GONE, ///< No newer heartbeat for a long time.
};

/** Name of a state, e.g. "suspect". */
std::string_view get_name(member_state p_state);

/** State that a node publishes about itself; other nodes relay it unchanged. */
struct member_digest {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::uint64_t heartbeat = 0; ///< Rises while the node runs, so that the newer digest has the higher number.
	std::string zone;
	std::string region;
	network_address link;
	network_address admin;
	bool ready = false;
	bool leaving = false;
	std::uint64_t configuration_version = 0;
	customer_demands demand; ///< The largest demands only.
	double cores = 1.0; ///< Processor cores that the node may use; may be a fraction.
	bool hub = false; ///< Whether the node carries the control traffic of its zone.
};

/** An entry node on the platform's list. */
struct entry_listing {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::string zone;
	network_address link;
	bool leaving = false;
};

/** A member, with what this node observed of it. */
struct member {
	member_digest digest;
	member_state state = member_state::ALIVE;
	instant last_contact_at{}; ///< When a newer heartbeat was last received.
	bool listed = false; ///< Whether it is on the platform's list.
};

/** A change of a member's state, for logs and the timeline. */
struct member_change {
	std::string vm;
	member_state state = member_state::ALIVE;
};

/**
 * Members by VM name. A digest with a higher (incarnation, heartbeat) replaces a lower one; within an incarnation the leaving flag is
 * never reset. Each node sends a bounded number of digests to a fixed number of neighbours, so that the cost per node doesn't grow
 * with the fleet. The time until a digest has reached all nodes does grow, and the time-outs grow with it.
 */
class member_table {
	std::map<std::string, member> _members; ///< Excludes the own VM.
	member_digest _self;
	std::size_t _rotation = 0;
	std::vector<member_change> _changes;

	void _set_state(member &p_member, member_state p_state);
	std::size_t _count_alive() const;

public:
	explicit member_table(member_digest p_self);

	/** Updates the digest of this node. p_leaving can't be reset; only the largest demands are kept. */
	void update_self(bool p_ready, bool p_leaving, std::uint64_t p_configuration_version, customer_demands p_demand);

	/** Sets whether this node is a hub of its zone. */
	void set_hub(bool p_is_hub) { _self.hub = p_is_hub; }

	/** Increments the own heartbeat and returns the digests to send: the own first, then a bounded number of others in rotation. */
	std::vector<member_digest> make_heartbeat();

	/** Increments the own heartbeat and returns the own digest alone, for receivers that get those of others in another way. */
	std::vector<member_digest> make_own_heartbeat();

	/** Merges digests received from a peer. */
	void merge_digests(const std::vector<member_digest> &p_digests, instant p_now);

	/** Applies the platform's list of entry nodes. An empty list changes nothing. */
	void apply_listings(const std::vector<entry_listing> &p_listings, instant p_now);

	/** Updates the states of members that are silent, and erases unlisted ones after a long time. */
	void tick(instant p_now);

	/** Returns the nodes to which to keep a link: the next few on a ring of hashed names, and one of another zone. */
	std::vector<std::string> choose_neighbours() const;

	/** Returns all nodes that count for sharing limits, the own one first. */
	std::vector<share_member> get_share_members(instant p_now) const;

	/**
	 * Number of nodes that may have sent to endpoints within a window, including this one. Silent members count until they are
	 * erased, as they may only be cut off from this node; those that announced their stop count while the last contact is in the window.
	 */
	std::size_t count_senders(duration p_window, instant p_now) const;

	/** Time after which a silent member is suspected; grows with the size of the fleet. */
	duration get_suspect_after() const;

	const member_digest &get_self() const { return _self; }
	const std::map<std::string, member> &get_members() const { return _members; }

	/** Returns the member with a VM name; nullptr when unknown. */
	const member *find(const std::string &p_vm) const;

	/** Returns the changes since the last call. */
	std::vector<member_change> take_changes();
};

} // namespace calicoscale

#endif // MEMBER_TABLE_H
