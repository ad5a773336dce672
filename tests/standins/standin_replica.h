/*
 * calicoscale: standin_replica.h
 * Stand-in for a replica of the platform: plain services, streams and stages.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_REPLICA_H
#define STANDIN_REPLICA_H

#include "drivers/caller_server.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** What a replica does with the requests it gets. */
enum class replica_mode {
	ANSWER,
	FAIL, ///< Runs and answers 500.
	SHED, ///< Refuses, and says so.
	RESET_AFTER_RUN, ///< Runs and closes without an answer.
	WITHOUT_SEAL, ///< Answers bytes that are not its own.
	BREAK_STREAM, ///< Breaks a stream that begins at its start off in the middle of its second event.
	HOLD, ///< Runs and does not answer.
	HOLD_STREAM, ///< Sends the first event of a stream that begins at its start, and no other.
	END, ///< Its process ends as the request begins to run.
};

/** One request as the replica got it. */
struct seen_request {
	http_head head;
	std::string body;

	std::string get(std::string_view p_name) const {
		const std::string *value = head.find(p_name);
		return value == nullptr ? std::string() : *value;
	}
};

/** Answers as the platform's pages say; its seal is its name. */
class standin_replica {
	event_loop &_loop;
	std::string _name;
	const std::uint64_t _born; ///< Unix millisecond of its start; rises with each start, also within one millisecond.
	std::unique_ptr<caller_server> _server; ///< None once its process has ended.
	network_address _address;
	std::vector<std::shared_ptr<caller_exchange>> _held;
	std::vector<std::shared_ptr<caller_exchange>> _held_stages;
	std::size_t _next_handle = 1;

	void _on_exchange(const std::shared_ptr<caller_exchange> &p_exchange);
	void _run_stage(caller_exchange &p_exchange);
	void _stream(caller_exchange &p_exchange);
	/** Whether the newest request has a part that ends the process. */
	bool _has_ending_part() const;
	/** Begins an answer, as far as the first half of its first event, and ends the process. */
	void _end_while_answering(caller_exchange &p_exchange);
	/** What it says about itself in all its answers. */
	std::vector<http_header> _make_notices() const;
	std::vector<http_header> _make_headers(const caller_exchange &p_exchange) const;

public:
	replica_mode mode = replica_mode::ANSWER;
	std::string zone = "a";
	std::string version = "v1"; ///< Of its software, as its entry says.
	bool names_version = false; ///< Each event of its streams names its version.
	std::vector<seen_request> runs; ///< Requests it began to work on.
	std::size_t meant_for_others = 0; ///< Requests it rejected as they named another replica.
	std::size_t stage_calls = 0;
	std::vector<std::string> stage_items; ///< "attempt.stage.piece" of each piece made.
	std::map<std::string, std::vector<std::string>> item_inputs; ///< Handles that an item was made from, by "attempt.stage.piece".
	std::set<std::string> results; ///< Handles not released yet.
	bool hold_stages = false; ///< Calls wait until run_held_stages().
	std::size_t most_results = 1000; ///< Pieces that would be more find no room.
	std::size_t pieces_without_room = 0;
	std::string ending_body; ///< A request with this body ends its process as it begins to run, whatever the mode; empty for none.
	std::vector<std::string> ending_parts; ///< A request whose prompt has one of these parts before its last ends its process as it begins to answer.
	std::string ending_key; ///< A stage call with a piece of this caller's key ends its process; empty for none.
	std::function<void()> on_ended; ///< Called once, when its process has ended.
	std::function<void()> on_stage_call; ///< Called as a stage call arrives, before it runs.
	int cold_ms = 0; ///< How much longer it is cold, as its answers say.
	std::string rate_limit; ///< Requests a second that it names in its answers, as it writes them; empty for none.
	bool says_leaving = false; ///< In its answers; its entry does not change.
	std::string retry_after; ///< Seconds of rest that it asks for when it sheds, as it writes them; empty for none.
	std::map<std::string, std::size_t> arrivals_by_request; ///< Of requests other than stage calls, by attempt id; refused ones included.
	std::vector<instant> arrivals; ///< Of requests and stage calls that were meant for it, refused ones included.
	std::string missing_input; ///< This handle is reported as gone, once.

	standin_replica(event_loop &p_loop, std::string p_name);

	/** Its entry in the store. */
	std::string get_entry(const std::string &p_service, bool p_leaving = false) const;
	const std::string &get_name() const { return _name; }
	std::uint64_t get_born() const { return _born; }
	const network_address &get_address() const { return _address; }

	/** Its process ends: nobody listens at its address, and all its connections end. */
	void end_process();

	bool has_ended() const { return _server == nullptr; }

	/** Runs the stage calls that wait and holds no more. */
	void run_held_stages();

	/** Most requests that arrived within any span of a length, from a moment on. */
	std::size_t get_most_arrivals(duration p_span, instant p_since) const;

	std::size_t get_held_stages() const { return _held_stages.size(); }

	/** Whether the caller of a held request has gone. */
	bool is_held_gone() const;
};

} // namespace calicoscale

#endif // STANDIN_REPLICA_H
