/*
 * calicoscale: exchange_forwarder.h
 * Carries out exchanges with endpoints for nodes that cannot connect to them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EXCHANGE_FORWARDER_H
#define EXCHANGE_FORWARDER_H

#include "drivers/endpoint_probe.h"
#include "drivers/exchange_messages.h"
#include "main/gateway/gateway_fleet.h"
#include "servers/reach/forwarding_capacity.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace calicoscale {

/**
 * Sends the requests of other nodes to endpoints and passes the answers back, within a window that the owner of the exchange confirms.
 * Decides nothing about a request. An exchange ends when its owner cancels it or is lost.
 */
class exchange_forwarder {
	using key = std::pair<std::string, std::uint64_t>; ///< Owner, and the id that it assigned.

	struct exchange {
		exchange_id id = 0;
		std::size_t request_bytes = 0;
		std::uint32_t next_number = 0;
		std::size_t unconfirmed = 0; ///< Bytes that were sent to the owner and not confirmed by it.
		bool is_unframed = false; ///< Only the close of the connection ends the answer.
		network_address endpoint;
	};

	/** Starts an exchange at the given endpoint. */
	using starter = std::function<exchange_id(channel_request, channel_hooks)>;

	gateway_context &_context;
	gateway_fleet &_fleet;
	starter _start;
	std::function<bool(const channel_request &)> _reaches;
	forwarding_capacity _capacity;
	endpoint_probe _end_probe;
	std::map<key, exchange> _open;
	instant _ticked_at{};
	bool _is_stopping = false;

	/** Reports to the owner of an exchange that it is not carried out. */
	void _reject(const std::string &p_vm, const open_exchange_message &p_message, forwarding_end p_end);
	void _on_opened(const std::string &p_vm, const open_exchange_message &p_message);
	void _on_controlled(const std::string &p_vm, const control_exchange_message &p_message);
	void _on_head(const key &p_key, const http_head &p_head);
	void _on_body(const key &p_key, std::string_view p_bytes);
	void _on_end(const key &p_key, channel_end p_end);
	/** Sends a message of an exchange to its owner. Cancels the exchange if the message cannot be sent. */
	void _send(const key &p_key, exchange_progress_message p_message);
	void _finish(const key &p_key, forwarding_end p_end);
	void _cancel(const key &p_key);
	void _on_owner_lost(const std::string &p_vm);

public:
	/**
	 * @param p_start starts a direct exchange.
	 * @param p_reaches whether this node reaches the endpoint of a request.
	 */
	exchange_forwarder(gateway_context &p_context, gateway_fleet &p_fleet, starter p_start, std::function<bool(const channel_request &)> p_reaches);

	/** Declines new exchanges from now on; those in progress continue. */
	void stop_accepting() { _is_stopping = true; }

	/** Measures the lateness of the event loop. Must be called once per interval. */
	void tick(duration p_interval);

	std::size_t get_open_count() const { return _open.size(); }
};

} // namespace calicoscale

#endif // EXCHANGE_FORWARDER_H
