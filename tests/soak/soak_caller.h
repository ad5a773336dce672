/*
 * calicoscale: soak_caller.h
 * A caller of a soak: keeps connections, rests, sends, leaves.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "tests/soak/later_queue.h"
#include "tests/soak/soak_connection.h"
#include "tests/soak/soak_random.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace calicoscale {

/** A node as callers find it. */
struct caller_site {
	network_address address;
	network_address proxied_address; ///< Leads there through a proxy.
	bool takes_new = false; ///< The balancer sends new connections there.
	std::size_t life = 0; ///< Of its process.
};

/** What the callers of a soak share. */
struct caller_context {
	event_loop &loop;
	promise_book &book;
	std::vector<caller_site> &sites;
	duration idle_limit{}; ///< Of the configuration, after which a node may close.
	bool resumes_streams = false; ///< Callers resume streams that break off, and drop some to do so.
};

/** Text of a request as a caller sends it. */
std::string write_request_head(const soak_attempt &p_attempt, const std::string &p_key);

/** Sends one request after the other, with rests between; keeps its connection as long as the node does. */
class soak_caller {
	caller_context &_context;
	soak_random _random;
	timer _next_timer;
	timer _part_timer;
	timer _give_up_timer;
	std::unique_ptr<soak_connection> _connection;
	std::shared_ptr<soak_attempt> _attempt;
	std::shared_ptr<soak_attempt> _broken; ///< The request whose stream the next one resumes.
	int _resumptions = 0; ///< Of the current stream.
	std::size_t _node = 0;
	bool _is_proxied = false;
	instant _rested_since{};
	std::optional<duration> _told_rest; ///< Keep-Alive told that the node closes after this.
	bool _is_heedless = false;
	bool _is_stopped = false;

	void _next();
	bool _open();
	void _send();
	void _rest();
	/** Keeps a stream that was broken off or dropped, to resume it soon. Returns whether there is something to resume. */
	bool _keep_stream();
	void _end_connection();
	void _give_up();
	void _on_answer(const http_head &p_head, const std::string &p_body);
	void _on_broken(unanswered_end p_end, bool p_has_begun);

public:
	soak_caller(caller_context &p_context, std::uint64_t p_seed);

	/** Sends nothing new. */
	void stop() { _is_stopped = true; }

	/** Its last request is not judged yet. */
	bool is_waiting() const { return _attempt != nullptr; }

	/** Nobody waits any longer: a request that is still open goes without an answer. */
	void end();
};

} // namespace calicoscale

#endif // SOAK_CALLER_H
