/*
 * calicoscale: read_reason.h
 * Reasons for which a node calls the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef READ_REASON_H
#define READ_REASON_H

#include <string_view>

namespace calicoscale {

/** Reason for which a node calls the store. */
enum class read_reason {
	NO_LINK, ///< The node has no link to a peer.
	READER, ///< The node reads for its zone.
	READER_SILENT, ///< The node that reads for the zone did not report in time.
	NOT_COVERED, ///< No responsive peer follows the topic.
	MISSED_DELTA, ///< A delta of the reader did not arrive.
	LISTS_DIFFER, ///< The list of this node differs from that of its reader.
	NEW_ERA, ///< The store was restored from an older copy.
	HISTORY_GONE, ///< The store no longer has the records after the known position.
	RETRY, ///< The previous read failed.
	REPEAT, ///< The previous read is overdue.
	STALL, ///< The process was stalled.
	NODE_NAMES, ///< Addresses of other nodes are read or written.
	CRASHES, ///< Records of crashes are read or written.
	ROLLOUTS, ///< The state of a roll-out is read or written.
	STREAMS, ///< The versions at which streams may have begun are read or written.
	COUNT, ///< Number of the others.
};

/** Returns the name of a reason, e.g. "reader_silent". */
std::string_view get_name(read_reason p_reason);

} // namespace calicoscale

#endif // READ_REASON_H
