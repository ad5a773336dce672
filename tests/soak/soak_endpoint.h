/*
 * calicoscale: soak_endpoint.h
 * An endpoint of a soak: answers, misbehaves, crashes and starts again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_ENDPOINT_H
#define SOAK_ENDPOINT_H

#include "drivers/caller_server.h"
#include "tests/soak/later_queue.h"
#include "tests/soak/notice_book.h"

#include <memory>
#include <optional>
#include <string>

namespace calicoscale {

/** What an endpoint does wrong with part of its requests. */
enum class endpoint_mode {
	SOUND,
	FAILS, ///< Runs and answers 500.
	SHEDS, ///< Refuses, and says that it did not run.
	CLOSES, ///< Runs and closes without an answer.
	MISTAKES, ///< Answers another request.
	CUTS, ///< Breaks its answer off.
	HANGS, ///< Runs and never answers.
	UNSEALED, ///< Answers bytes that are not its own, or contradicts itself, or names its seal as a header of the connection.
	COUNT,
};

/** How an answer ends that is not spoilt otherwise. */
enum class answer_ending {
	USUAL,
	WITH_CONNECTION, ///< Whole, with neither a length nor chunks.
	CUT_WITH_CONNECTION, ///< The same, but a stream ends inside an event, in good order.
	CUT_IN_CHUNKS, ///< A stream ends inside an event, with its last chunk.
	COUNT,
};

/** Speaks as the platform's pages say; tells the book what it runs. */
class soak_endpoint {
	event_loop &_loop;
	promise_book &_book;
	notice_book &_notices;
	std::size_t _number;
	std::string _name;
	std::string _version; ///< Of its software; empty if its events do not name it.
	std::string _host; ///< Listens there at any port.
	std::unique_ptr<caller_server> _server;
	std::unique_ptr<later_queue> _work;
	unix_milliseconds _born = 0;
	std::uint64_t _sequence = 0;
	endpoint_mode _mode = endpoint_mode::SOUND;
	bool _varies_ends = false;
	bool _sends_malformed = false;
	std::size_t _rejected_part = 0; ///< One in so many requests is rejected; 0 for none.
	std::size_t _arrived = 0; ///< Requests since that was set.
	std::size_t _served = 0;

	void _on_exchange(const std::shared_ptr<caller_exchange> &p_exchange);
	void _answer(caller_exchange &p_exchange, endpoint_mode p_mode);
	/** Answers with headers that must not be passed on as they are; of three kinds, by the request's id. */
	void _answer_with_bad_headers(caller_exchange &p_exchange, const std::string &p_id) const;
	/** Answers with a head that is not valid HTTP, of a kind told by the request's id. */
	void _answer_malformed(caller_exchange &p_exchange, const std::string &p_id) const;
	bool _is_malformed(const std::string &p_id) const;
	void _begin_stream(const std::shared_ptr<caller_exchange> &p_exchange, endpoint_mode p_mode);
	void _stream(const std::shared_ptr<caller_exchange> &p_exchange, int p_number, endpoint_mode p_mode, answer_ending p_ending);
	answer_ending _choose_ending(const std::string &p_id) const;
	endpoint_mode _take_mode();
	bool _is_rejected();
	void _reject(caller_exchange &p_exchange) const;
	std::vector<http_header> _make_headers(const std::string &p_id) const;

public:
	soak_endpoint(event_loop &p_loop, promise_book &p_book, notice_book &p_notices, std::size_t p_number, std::string p_host);

	/** Begins a life that knows nothing of an earlier one. */
	void start();

	/** Ends; what it works on is gone. */
	void crash();

	/** Sets the version of its software, for its next start; it gets another name with each version. */
	void set_version(const std::string &p_version);
	const std::string &get_version() const { return _version; }

	void set_mode(endpoint_mode p_mode) { _mode = p_mode; }

	/** Whether each answer ends in one of the ways of answer_ending, told by its request's id. */
	void set_varies_ends(bool p_varies) { _varies_ends = p_varies; }

	/** Whether part of its answers has a head that is not valid HTTP. */
	void set_sends_malformed(bool p_sends) { _sends_malformed = p_sends; }

	/** From now on one in so many requests is rejected, with proof that it did not run; 0 for none. */
	void set_rejected_part(std::size_t p_part);

	/** Its record in the store, reached at an address. */
	std::string write_record(const network_address &p_address, const std::string &p_zone, bool p_is_leaving);

	bool is_running() const { return _server != nullptr; }
	const std::string &get_name() const { return _name; }
	network_address get_address() const { return _server->get_address(); }
};

} // namespace calicoscale

#endif // SOAK_ENDPOINT_H
