/*
 * calicoscale: standin_server.h
 * A listening address that faults can close and open again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "drivers/http_server.h"

#include <functional>
#include <memory>

namespace calicoscale {

/** An HTTP server that keeps its port while it is shut. */
class standin_server {
	event_loop &_loop;
	network_address _address;
	std::function<void(std::unique_ptr<http_exchange>)> _handler;
	std::unique_ptr<http_server> _server;
	std::unique_ptr<int, std::function<void(int *)>> _port_holder; ///< Bound and not listening while shut, so that nobody else gets the port.

	void _hold_port();

public:
	standin_server(event_loop &p_loop, const network_address &p_address, std::function<void(std::unique_ptr<http_exchange>)> p_handler);

	/** Closes or opens the address; closing drops all connections. */
	void set_open(bool p_open);

	const network_address &get_address() const { return _address; }
};

} // namespace calicoscale

#endif // STANDIN_SERVER_H
