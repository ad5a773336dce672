/*
 * calicoscale: rollout_wire.h
 * FlatBuffers form of what nodes tell each other of roll-outs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_WIRE_H
#define ROLLOUT_WIRE_H

#include "drivers/generated/node_link_generated.h"
#include "servers/rollout/rollout.h"

#include <vector>

namespace calicoscale {

using rollout_offsets = flatbuffers::Vector<flatbuffers::Offset<wire::rollout_entry>>;

/** Serialises the roll-outs; returns a null offset when there are none. */
flatbuffers::Offset<rollout_offsets> write_rollouts(flatbuffers::FlatBufferBuilder &r_builder, const std::vector<rollout_update> &p_rollouts);

/** Decodes the roll-outs. Skips entries without a service or with an unknown state. */
std::vector<rollout_update> read_rollouts(const rollout_offsets *p_entries);

} // namespace calicoscale

#endif // ROLLOUT_WIRE_H
