/*
 * calicoscale: named_contacts.h
 * Finds the nodes that the store names and that no known node is in contact with.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NAMED_CONTACTS_H
#define NAMED_CONTACTS_H

#include "core/time.h"
#include "servers/membership/named_node.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** What is known of a node that the store names. */
enum class named_state {
	KNOWN, ///< The node is known and not stopping.
	REPLACED, ///< Another known node has its address.
	UNKNOWN,
};

/** What to do about the nodes that the store names. */
struct named_contact_plan {
	std::vector<named_node> dialled; ///< Nodes to connect to.
	std::vector<std::string> removed; ///< Nodes whose records are to be removed from the store.
	std::size_t unknown = 0; ///< Nodes in the state UNKNOWN.
};

/**
 * Seeks the other parts of a fleet that has fallen apart. Nodes that know each other can't tell whether they are the whole fleet, and the
 * seeds of their settings may all have been replaced, while every part can reach the store. One node of each part reads the names there: often
 * after a change of the nodes that it knows, seldom otherwise, so that a fleet without changes makes few calls. It dials the named
 * nodes that it does not know, each less and less often, and has the record of a node removed that could not be reached for long. The
 * caller passes the current time and random numbers.
 */
class named_contacts {
	struct contact {
		network_address address;
		instant found_at{};
		instant next_dial_at{};
		duration pause = duration::zero(); ///< Between the last two dials; zero before the first one.
	};

	std::string _vm;
	std::map<std::string, contact> _sought; ///< Named nodes that are not known.
	std::size_t _known_nodes = 0;
	instant _changed_at{}; ///< When the number of known nodes last changed.
	instant _read_at{}; ///< When the names are read next.
	bool _is_seeking = false;

	/** Forgets nodes that are known by now or named no more, and those whose address changed. */
	void _forget(const std::map<std::string, const named_node *> &p_sought);

public:
	/** Longest time between two reads of the names by the node that seeks, without jitter. */
	static constexpr duration MAX_READ_INTERVAL = std::chrono::seconds(16);
	/** Time after which the record of a node that is still not known is removed. The part of a node that is alive writes a record again. */
	static constexpr duration REMOVAL_TIME = std::chrono::minutes(10);
	/** Maximum number of nodes that are dialled, and of records that are removed, after a read. One node that answers joins two parts. */
	static constexpr std::size_t MAX_ACTIONS = 4;

	explicit named_contacts(std::string p_vm) :
			_vm(std::move(p_vm)) {}

	/**
	 * Whether to read the names now.
	 * @param p_is_seeking whether this node reads for the nodes that it knows.
	 * @param p_known_nodes number of nodes that this node knows and that are not stopping.
	 * @param p_unit a random number from 0 to 1.
	 */
	bool take_read(bool p_is_seeking, std::size_t p_known_nodes, double p_unit, instant p_now);

	/** Plans contacts with the named nodes after a read. */
	named_contact_plan plan(const std::vector<named_node> &p_names, const std::function<named_state(const named_node &)> &p_get_state, instant p_now);
};

} // namespace calicoscale

#endif // NAMED_CONTACTS_H
