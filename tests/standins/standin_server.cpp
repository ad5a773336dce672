/*
 * calicoscale: standin_server.cpp
 * A listening address that faults can close and open again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_server.h"

namespace calicoscale {

standin_server::standin_server(event_loop &p_loop, const network_address &p_address, std::function<void(std::unique_ptr<http_exchange>)> p_handler) :
		_loop(p_loop), _address(p_address), _handler(std::move(p_handler)) {
	set_open(true);
}

void standin_server::set_open(bool p_open) {
	if (!p_open) {
		// Freed from the loop: a handler of this server may be on the stack.
		std::shared_ptr<http_server> closed = std::move(_server);
		if (closed) {
			closed->stop_listening();
			_loop.post([closed] {});
		}
		return;
	}
	if (!_server) {
		http_server_limits limits;
		limits.body_bytes = 8 * 1024 * 1024;
		_server = std::make_unique<http_server>(_loop, _address, limits, _handler);
		_address = _server->get_address();
	}
}

} // namespace calicoscale
