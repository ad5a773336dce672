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
	std::optional<std::string> only_version; ///< The only version that the service can have begun the stream with; see version_presence.
};

/**
 * One lookup. The nodes that should have the record are asked first, and after RECHECK_TIME, which the record may need to arrive there,
 * they and others are asked once more. One record is sufficient, as the origin of a stream never changes. The caller passes the
 * current time.
 */
class stream_lookup {
	instant _started_at;
	instant _expires_at;
	std::set<std::string> _awaited; ///< Nodes that have not answered the last question.
	bool _is_rechecked = false;
	std::optional<stream_origin> _origin;
	std::string _source;
	std::set<std::string> _only_versions;

public:
	/** Time after which the nodes are asked once more. */
	static constexpr duration RECHECK_TIME = std::chrono::milliseconds(50);

	/** @param p_expires_at when the lookup ends if some nodes have not answered. */
	stream_lookup(instant p_now, instant p_expires_at) :
			_started_at(p_now), _expires_at(p_expires_at) {}

	/** Records that nodes were asked. */
	void on_asked(const std::vector<std::string> &p_nodes);

	/** Returns whether the nodes are to be asked once more now. Returns it once. */
	bool take_recheck(instant p_now);

	/** Applies an answer of a node. */
	void on_answer(const std::string &p_vm, const lookup_answer &p_answer);

	/** Applies that a node can't be asked, or failed. */
	void on_lost(const std::string &p_vm) { _awaited.erase(p_vm); }

	lookup_state get_state(instant p_now) const;

	/** What began the stream, if FOUND. */
	const std::optional<stream_origin> &get_origin() const { return _origin; }

	/** The node that had the record, if FOUND. */
	const std::string &get_source() const { return _source; }

	/** The only version that nodes know of for as long as the stream can have existed; empty if none knows, or they disagree. */
	std::optional<std::string> get_only_version() const;
};

} // namespace calicoscale

#endif // STREAM_LOOKUP_H
