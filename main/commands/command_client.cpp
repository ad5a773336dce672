/*
 * calicoscale: command_client.cpp
 * Blocking HTTP calls of operator commands to nodes, with a time-out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_client.h"

namespace calicoscale {

command_client::command_client(std::string p_key, duration p_timeout) :
		_client(_loop), _key(std::move(p_key)), _timeout(p_timeout) {
}

http_result command_client::call(const network_address &p_to, bool p_is_post, const std::string &p_path, const std::string &p_body) {
	http_call call;
	call.to = p_to;
	call.is_post = p_is_post;
	call.path = p_path;
	call.body = p_body;
	call.timeout = _timeout;
	call.fresh_connection = true;
	call.largest_answer = 64 * 1024 * 1024;
	if (!_key.empty()) {
		call.headers.push_back(http_header{ "Authorization", "Bearer " + _key });
	}
	http_result result;
	bool has_terminated = false;
	http_hooks hooks;
	hooks.on_end = [this, &result, &has_terminated](const http_result &p_result) {
		result = p_result;
		has_terminated = true;
		_loop.stop();
	};
	timer give_up(_loop, [this] { _loop.stop(); });
	give_up.set(_timeout);
	const call_id id = _client.start(call, std::move(hooks));
	_loop.run();
	if (!has_terminated) {
		_client.cancel(id);
		throw command_error(to_string(p_to) + " did not answer in time");
	}
	if (result.failure == http_failure::CONNECT_FAILED) {
		throw command_error("cannot connect to " + to_string(p_to));
	}
	if (result.failure == http_failure::MALFORMED) {
		throw command_error(to_string(p_to) + " sent bytes that are not a valid HTTP answer");
	}
	if (result.failure != http_failure::NONE) {
		throw command_error(to_string(p_to) + " broke off its answer");
	}
	return result;
}

} // namespace calicoscale
