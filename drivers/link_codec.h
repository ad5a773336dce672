/*
 * calicoscale: link_codec.h
 * FlatBuffers form of the messages between nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LINK_CODEC_H
#define LINK_CODEC_H

#include "drivers/node_link.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace calicoscale {

/** Messages that peers of an earlier version reject as malformed; they are sent only to peers that announce the feature. */
enum class link_feature : std::uint32_t {
	CRASHES = 1U << 0U,
	REQUESTED_LISTS = 1U << 1U, ///< The node requests the endpoints when it knows none, and answers such requests.
	LIMITS = 1U << 2U,
	STREAMS = 1U << 3U,
	FORWARDING = 1U << 4U, ///< The node carries out exchanges with endpoints for others.
};

/** First message that both ends send. */
struct hello_message {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::string nonce;
	std::uint32_t features = 0; ///< Bits of link_feature.
};

/** Second message that both ends send; proves knowledge of the fleet key. */
struct proof_message {
	std::string code;
};

/** Requests the configuration if the receiver has a higher version than `have`. */
struct request_configuration_message {
	std::uint64_t have = 0;
};

/** Requests all endpoints; sent by a node that knows none. */
struct request_endpoints_message {};

/** Declines to send the endpoints at present, so that the receiver requests them from another node. */
struct decline_endpoints_message {};

using link_message = std::variant<hello_message, proof_message, heartbeat_message, request_configuration_message, configuration_snapshot, pass_request_message, pass_answer_message, assign_work_message, work_ended_message, cancel_work_message, release_results_message, report_prompts_message, report_endpoints_message, report_results_message, report_delta_message, report_crashes_message, request_endpoints_message, decline_endpoints_message, report_limits_message, report_streams_message, request_stream_message, stream_answer_message, open_exchange_message, control_exchange_message, exchange_progress_message>;

/** Serialises a message as the bytes of one frame, without the length prefix. */
std::string encode(const link_message &p_message);

/** Returns the name of a kind of message by its index among the alternatives of link_message, e.g. "heartbeat". */
std::string_view get_kind_name(std::size_t p_kind);

/** Decodes a frame; returns empty when the buffer does not verify or lacks a required field. */
std::optional<link_message> decode_link_message(std::string_view p_bytes);

} // namespace calicoscale

#endif // LINK_CODEC_H
