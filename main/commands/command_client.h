/*
 * calicoscale: command_client.h
 * Calls of operator commands to nodes, one at a time, with a time-out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMAND_CLIENT_H
#define COMMAND_CLIENT_H

#include "drivers/http_client.h"

#include <string>

namespace calicoscale {

/** Thrown when a node does not answer. */
class command_error : public std::runtime_error {
public:
	using std::runtime_error::runtime_error;
};

/** Makes blocking calls on a loop of its own. */
class command_client {
	event_loop _loop;
	http_client _client;
	std::string _key;
	duration _timeout;

public:
	/** @param p_key admin key; empty for none. */
	command_client(std::string p_key, duration p_timeout);

	/**
	 * Calls and waits.
	 * @throws command_error when there is no whole answer in time.
	 */
	http_result call(const network_address &p_to, bool p_is_post, const std::string &p_path, const std::string &p_body = "");
};

} // namespace calicoscale

#endif // COMMAND_CLIENT_H
