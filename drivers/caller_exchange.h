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

/** One request and the way to answer it. It outlives its connection: what is sent then goes nowhere. */
class caller_exchange {
	friend class caller_connection;

	caller_connection *_connection = nullptr; ///< Set while the connection stands.
	std::function<void()> _on_gone;
	std::function<void(bool)> _on_flow;
	bool _started = false;
	bool _ended = false;
	bool _chunked = false;
	bool _ends_with_connection = false; ///< Nothing else tells where the answer ends.
	bool _without_body = false;

	void _write_head(int p_status, const std::vector<http_header> &p_headers, std::optional<std::size_t> p_length);
	void _finish_answer();

public:
	http_head head;
	std::string body;
	instant received_at{}; ///< When the first byte came.
	duration rested = duration::zero(); ///< Since the connection's previous answer, or since it was opened.
	std::size_t earlier = 0; ///< Requests that the connection carried before.

	/** Calls the hook when the caller goes away before the answer is complete. */
	void set_on_disconnect(std::function<void()> p_hook) { _on_gone = std::move(p_hook); }

	/** Calls the hook with false when the caller takes less than is sent, and with true when it may get more. */
	void set_on_flow(std::function<void(bool)> p_hook) { _on_flow = std::move(p_hook); }

	/** Whether the caller takes less than is sent. */
	bool is_full() const;

	/** Answers at once. */
	void reply(int p_status, const std::vector<http_header> &p_headers, std::string_view p_body);

	/** Begins an answer whose length is not known. */
	void start(int p_status, const std::vector<http_header> &p_headers);
	void send(std::string_view p_bytes);
	void end();

	/** Breaks an answer off, so that the caller cannot take it for whole. */
	void abort();

	bool is_gone() const { return _connection == nullptr; }
	bool has_started() const { return _started; }
	bool has_ended() const { return _ended; }
};

} // namespace calicoscale

#endif // CALLER_EXCHANGE_H
