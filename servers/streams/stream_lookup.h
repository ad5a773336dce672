/*
 * calicoscale: stream_lookup.h
 * Concludes from the answers of other nodes which version began a stream.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_LOOKUP_H
#define STREAM_LOOKUP_H

#include "servers/streams/stream_record.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** State of a lookup. */
enum class lookup_state {
	OPEN, ///< Some nodes have not answered yet.
	FOUND, ///< A node has the record.
	ABSENT, ///< All nodes that were asked have answered, and none has the record.
	UNANSWERED, ///< Some nodes did not answer in time, and no other has the record.
};

/** Returns the name of a state, e.g. "absent". */
std::string_view get_name(lookup_state p_state);

/** Answer of one node to a lookup. */
struct lookup_answer {
	std::optional<stream_origin> origin; ///< From the node's record of the stream.
};

/** Nodes that are asked for a record, one group after the other. */
enum class lookup_round {
	FIRST_SOURCES, ///< The two nodes that most likely have the record.
	ALL_SOURCES, ///< All nodes that should have the record.
	ALL_REACHABLE, ///< These again, as the record may have been on its way to them, and others.
};

/** Number of nodes that are asked in the first round. */
constexpr std::size_t FIRST_SOURCE_COUNT = 2;

/**
 * One lookup. Usually the first nodes have the record; more nodes are asked only if these don't. One record is sufficient, as the
 * origin of a stream never changes. The caller passes the current time.
 */
class stream_lookup {
	instant _started_at;
	instant _expires_at;
	lookup_round _round = lookup_round::FIRST_SOURCES;
	std::set<std::string> _awaited; ///< Nodes that have not answered the last question.
	std::optional<stream_origin> _origin;
	std::string _source;

public:
	/** Time after which all sources are asked, if the first ones are silent. */
	static constexpr duration WIDEN_TIME = std::chrono::milliseconds(15);
	/** Time after which the nodes are asked once more; the record of a caller that returns at once may need it to arrive there. */
	static constexpr duration RECHECK_TIME = std::chrono::milliseconds(50);

	/** @param p_expires_at when the lookup ends if some nodes have not answered. */
	stream_lookup(instant p_now, instant p_expires_at) :
			_started_at(p_now), _expires_at(p_expires_at) {}

	/** Records that nodes were asked. */
	void on_asked(const std::vector<std::string> &p_nodes);

	/** Returns the next round if it is to begin now. Returns each round after the first one once. */
	std::optional<lookup_round> take_round(instant p_now);

	/** Applies an answer of a node. */
	void on_answer(const std::string &p_vm, const lookup_answer &p_answer);

	/** Applies that a node can't be asked, or failed. */
	void on_lost(const std::string &p_vm) { _awaited.erase(p_vm); }

	lookup_state get_state(instant p_now) const;

	/** What began the stream, if FOUND. */
	const std::optional<stream_origin> &get_origin() const { return _origin; }

	/** The node that had the record, if FOUND. */
	const std::string &get_source() const { return _source; }
};

} // namespace calicoscale

#endif // STREAM_LOOKUP_H
