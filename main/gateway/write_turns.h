/*
 * calicoscale: write_turns.h
 * The order in which nodes write a record of the store that any of them may write.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef WRITE_TURNS_H
#define WRITE_TURNS_H

#include "core/time.h"
#include "main/gateway/gateway_fleet.h"

#include <string>

namespace calicoscale {

/**
 * Returns the time for which this node leaves the writing of a record to nodes of a higher rank, so that typically one node writes.
 * Ranks follow from a hash of the subject and the names of the dispatching nodes; a node that dispatches nothing writes only if no
 * dispatching node can.
 * @param p_subject what the record is about.
 */
duration get_write_delay(const gateway_fleet &p_fleet, const std::string &p_subject);

} // namespace calicoscale

#endif // WRITE_TURNS_H
