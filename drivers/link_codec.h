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

/** Messages that peers of an earlier version take for malformed; they are sent only to those that name them. */
enum class link_feature : std::uint32_t {
	CRASHES = 1U << 0U,
	REQUESTED_LISTS = 1U << 1U, ///< Asks for the endpoints when it knows none, and answers a peer that does.
	LIMITS = 1U << 2U,
};

/** First message of both ends. */
struct hello_message {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::string nonce;
	std::uint32_t features = 0; ///< Bits of link_feature.
};

/** Second message of both ends. */
struct proof_message {
	std::string code;
};

/** Asks for the configuration if the receiver has a higher version. */
struct request_configuration_message {
	std::uint64_t have = 0;
};

/** The sender knows no endpoints and asks for all of them. */
struct request_endpoints_message {};

/** The sender does not tell the endpoints just now, so that the receiver asks another node. */
struct decline_endpoints_message {};

using link_message = std::variant<hello_message, proof_message, heartbeat_message, request_configuration_message, configuration_snapshot, pass_request_message, pass_answer_message, assign_work_message, work_ended_message, cancel_work_message, release_results_message, report_prompts_message, report_endpoints_message, report_results_message, report_delta_message, report_crashes_message, request_endpoints_message, decline_endpoints_message, report_limits_message>;

/** Writes a message as the bytes of one frame, its length not included. */
std::string encode(const link_message &p_message);

/** Name of a kind of message by its place among the alternatives of link_message, e.g. "heartbeat". */
std::string_view get_kind_name(std::size_t p_kind);

/** Reads a frame; empty when the buffer does not verify or lacks a field. */
std::optional<link_message> decode_link_message(std::string_view p_bytes);

} // namespace calicoscale

#endif // LINK_CODEC_H
