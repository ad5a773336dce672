/*
 * calicoscale: exchange_codec.h
 * Serialisation of the messages about forwarded exchanges.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EXCHANGE_CODEC_H
#define EXCHANGE_CODEC_H

#include "drivers/exchange_messages.h"
#include "drivers/generated/node_link_generated.h"

namespace calicoscale {

flatbuffers::Offset<wire::open_exchange> write_message(flatbuffers::FlatBufferBuilder &r_builder, const open_exchange_message &p_message);
flatbuffers::Offset<wire::control_exchange> write_message(flatbuffers::FlatBufferBuilder &r_builder, const control_exchange_message &p_message);
flatbuffers::Offset<wire::exchange_progress> write_message(flatbuffers::FlatBufferBuilder &r_builder, const exchange_progress_message &p_message);

/** Returns empty if the endpoint's address is missing. */
std::optional<open_exchange_message> read_message(const wire::open_exchange &p_message);
control_exchange_message read_message(const wire::control_exchange &p_message);
/** Returns empty if the end or the framing is not a known one, or names and values of headers differ in number. */
std::optional<exchange_progress_message> read_message(const wire::exchange_progress &p_message);

} // namespace calicoscale

#endif // EXCHANGE_CODEC_H
