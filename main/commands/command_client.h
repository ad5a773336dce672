/*
 * calicoscale: command_client.h
 * Blocking HTTP calls of operator commands to nodes, with a time-out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMAND_CLIENT_H
#define COMMAND_CLIENT_H

#include "drivers/http_client.h"

#include <string>

namespace calicoscale {

/** Thrown when a node can't be reached or doesn't answer. */
class command_error : public std::runtime_error {
public:
	using std::runtime_error::runtime_error;
};

/** Makes blocking calls, one at a time, on its own event loop. */
class command_client {
	event_loop _loop;
	http_client _client;
	std::string _key;
	duration _timeout;

public:
	/** @param p_key admin key; empty for none. @param p_timeout time limit of each call. */
	command_client(std::string p_key, duration p_timeout);

	/**
	 * Sends a request and waits for the answer, whatever its status.
	 * @throws command_error if the connection fails or no complete answer arrives in time.
	 */
	http_result call(const network_address &p_to, bool p_is_post, const std::string &p_path, const std::string &p_body = "");
};

} // namespace calicoscale

#endif // COMMAND_CLIENT_H
