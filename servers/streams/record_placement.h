/*
 * calicoscale: record_placement.h
 * Selects the nodes that store the record of a stream.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RECORD_PLACEMENT_H
#define RECORD_PLACEMENT_H

#include "servers/streams/stream_record.h"

#include <string>
#include <vector>

namespace calicoscale {

/** A node that may store records. */
struct record_node {
	std::string vm;
	std::string zone;
};

/**
 * Returns the nodes that store a record written in a zone: two of that zone and one of another one, by rendezvous hashing, so
 * that nodes which know the same members agree and a lost node moves only its own records. A zone with fewer nodes is
 * complemented by others.
 */
std::vector<std::string> choose_holders(const stream_key &p_key, const std::vector<record_node> &p_nodes, const std::string &p_zone);

/**
 * Returns the nodes to ask for a record from within a zone. Includes the holders for a writer of that zone, and one holder for a
 * writer of any other zone, provided that both know the same nodes. One more node of the own zone covers a member that only one of
 * them knew.
 */
std::vector<std::string> choose_sources(const stream_key &p_key, const std::vector<record_node> &p_nodes, const std::string &p_zone);

} // namespace calicoscale

#endif // RECORD_PLACEMENT_H
