/*
 * calicoscale: forwarded_exchanges.h
 * Exchanges of this node that other nodes carry out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FORWARDED_EXCHANGES_H
#define FORWARDED_EXCHANGES_H

#include "drivers/exchange_messages.h"
#include "main/gateway/forwarded_answer.h"
#include "main/gateway/gateway_fleet.h"

#include <functional>
#include <map>
#include <string>

namespace calicoscale {

/**
 * The exchanges that this node has forwarded. Its hooks are those of a direct exchange: the node that took the request decides on
 * repeats, limits and the answer, and the other one only carries bytes. A request counts as not sent only if the other node reports
 * so; if that node fails or a message is lost, the exchange is broken and the request may have run.
 */
class forwarded_exchanges {
	struct exchange {
		std::string peer;
		channel_hooks hooks;
		forwarded_answer answer;
		std::uint32_t next_number = 0;
		std::uint32_t unconfirmed = 0; ///< Bytes that were processed and not confirmed yet.
		bool is_paused = false;
	};

	gateway_context &_context;
	gateway_fleet &_fleet;
	std::function<void(const std::string &, forwarding_end)> _on_ended;
	std::map<exchange_id, exchange> _open;
	exchange_id _next_id; ///< Starts at a random number, so that answers to an earlier process of this node match no exchange.

	void _on_progress(const std::string &p_vm, const exchange_progress_message &p_message);
	void _pass_head(exchange_id p_id, const http_head &p_head);
	void _pass_body(exchange_id p_id, const std::string &p_bytes);
	void _confirm(exchange_id p_id, exchange &r_exchange);
	void _on_peer_lost(const std::string &p_vm);
	void _end(exchange_id p_id, forwarding_end p_end);
	/** Ends an exchange whose peer forwards something else than one answer to its request. */
	void _reject(exchange_id p_id, forwarding_end p_end);

public:
	/** @param p_on_ended receives the peer, empty for one that was not sent to any, and the end of each exchange, before its own hook. */
	forwarded_exchanges(gateway_context &p_context, gateway_fleet &p_fleet, std::function<void(const std::string &, forwarding_end)> p_on_ended);

	/** Requests that are larger are not forwarded, as a message must fit into a frame. */
	static constexpr std::size_t MAX_REQUEST_BYTES = 1024UL * 1024;

	/** Forwards an exchange to a peer. Its hooks are called from the loop, never before this returns. */
	exchange_id start(const std::string &p_peer, channel_request p_request, channel_hooks p_hooks);

	/** Ends an exchange, from the loop, as one of which nothing was sent. */
	exchange_id decline(channel_hooks p_hooks);

	/** Cancels an exchange; its hooks are not called afterwards. */
	void cancel(exchange_id p_id);

	/** Pauses or resumes an answer: while paused, at most one window of its bytes arrives. */
	void set_reading(exchange_id p_id, bool p_reads);

	std::size_t get_open_count() const { return _open.size(); }
};

} // namespace calicoscale

#endif // FORWARDED_EXCHANGES_H
