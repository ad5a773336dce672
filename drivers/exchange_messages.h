/*
 * calicoscale: exchange_messages.h
 * Messages by which one node carries out exchanges with endpoints for another.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EXCHANGE_MESSAGES_H
#define EXCHANGE_MESSAGES_H

#include "drivers/endpoint_channels.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace calicoscale {

/** Asks the receiver to carry out an exchange with an endpoint. */
struct open_exchange_message {
	std::uint64_t id = 0; ///< Assigned by the sender.
	channel_request request;
};

/** Confirms bytes of an answer, or cancels its exchange. */
struct control_exchange_message {
	std::uint64_t id = 0;
	std::uint32_t confirmed_bytes = 0; ///< Bytes of the body that the sender has processed since its last message.
	bool is_cancelled = false;
};

/** How a forwarded exchange ended. */
enum class forwarding_end : std::uint8_t {
	NONE, ///< It continues.
	COMPLETE,
	CONNECT_FAILED, ///< No byte of the request was sent to the endpoint.
	BROKEN,
	MALFORMED,
	DECLINED, ///< Not carried out for lack of capacity, or because the node is about to stop.
	COUNT,
};

/** Returns the name of an end, e.g. "declined". */
std::string_view get_name(forwarding_end p_end);

/** The next part of an answer. */
struct exchange_progress_message {
	std::uint64_t id = 0; ///< Assigned by the receiver.
	std::uint32_t number = 0; ///< Position among the messages of the exchange, from 0. Two links between the same nodes do not keep an order.
	std::optional<http_head> head;
	std::string body;
	forwarding_end end = forwarding_end::NONE;
};

} // namespace calicoscale

#endif // EXCHANGE_MESSAGES_H
