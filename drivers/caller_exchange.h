/*
 * calicoscale: caller_exchange.h
 * One request of a caller and the way to answer it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_EXCHANGE_H
#define CALLER_EXCHANGE_H

#include "core/time.h"
#include "drivers/http_reader.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

class caller_connection;

/** One request and the way to answer it. May outlive its connection; anything sent afterwards is dropped. */
class caller_exchange {
	friend class caller_connection;

	caller_connection *_connection = nullptr; ///< Null once the answer is complete or the connection is closed.
	std::function<void()> _on_disconnect;
	std::function<void(bool)> _on_flow;
	bool _started = false;
	bool _ended = false;
	bool _chunked = false;
	bool _ends_with_connection = false; ///< Only the close of the connection marks the end of the answer.
	bool _without_body = false;

	void _write_head(int p_status, const std::vector<http_header> &p_headers, std::optional<std::size_t> p_length);
	void _finish_answer();

public:
	http_head head;
	std::string body;
	instant received_at{}; ///< When the first byte was read.
	duration rested = duration::zero(); ///< Idle time since the connection's previous answer, or since it was opened.
	std::size_t earlier = 0; ///< Number of earlier requests on the connection.

	/** Sets a hook that is called when the caller disconnects before the answer is complete. */
	void set_on_disconnect(std::function<void()> p_hook) { _on_disconnect = std::move(p_hook); }

	/** Sets a hook that is called with false when sending should pause because the caller reads too slowly, and with true when it may resume. */
	void set_on_flow(std::function<void(bool)> p_hook) { _on_flow = std::move(p_hook); }

	/** Whether sending should pause because the caller reads too slowly. */
	bool is_full() const;

	/** Sends a complete answer. */
	void reply(int p_status, const std::vector<http_header> &p_headers, std::string_view p_body);

	/** Starts an answer of unknown length. */
	void start(int p_status, const std::vector<http_header> &p_headers);
	void send(std::string_view p_bytes);
	void end();

	/** Aborts an answer, so that the caller cannot take it for complete. */
	void abort();

	bool is_gone() const { return _connection == nullptr; }
	bool has_started() const { return _started; }
	bool has_ended() const { return _ended; }
};

} // namespace calicoscale

#endif // CALLER_EXCHANGE_H
