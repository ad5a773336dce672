/*
 * calicoscale: http_reader.h
 * Strict reader of HTTP/1.1 messages, one at a time, based on http_parser.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HTTP_READER_H
#define HTTP_READER_H

#include "drivers/http_client.h"
#include "drivers/http_syntax_checker.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct http_parser;

namespace calicoscale {

/** How the end of a message's body is determined. */
enum class body_framing {
	LENGTH, ///< By a length, or the message has no body.
	CHUNKS,
	CONNECTION, ///< Only by the end of the connection.
};

/** Name of a framing, e.g. "chunks". */
std::string_view get_name(body_framing p_framing);

/** Start line and headers of a message, headers in the order received. */
struct http_head {
	std::string method; ///< Of a request.
	std::string target; ///< Of a request, as received.
	int status = 0; ///< Of an answer.
	int minor_version = 1;
	std::vector<http_header> headers;
	bool keep_alive = false;
	body_framing framing = body_framing::CONNECTION;

	/** Returns the first value of a header (name compared case-insensitively); nullptr when absent. */
	const std::string *find(std::string_view p_name) const;
	std::size_t count(std::string_view p_name) const;

	/** Whether the end of the body is known without the close of the connection. */
	bool has_length() const { return framing != body_framing::CONNECTION; }
};

/** Whether the headers of an answer are valid: its status, the names and values of its headers, and how its end is marked. */
bool is_valid_answer(const http_head &p_head);

/** Compares header names or values case-insensitively. */
bool is_same_header(std::string_view p_left, std::string_view p_right);

/**
 * Reads one message at a time. All bytes pass http_syntax_checker before http_parser gets them, as that one skips some of them unread. evhttp
 * is not used here: it hides raw targets and surplus bytes, drops the connection on answers that arrive early, and treats a body truncated
 * by a reset as complete.
 */
class http_reader {
public:
	using kind = http_syntax_checker::kind;

	enum class state {
		READING,
		COMPLETE, ///< A complete message was read; reset() prepares for the next.
		MALFORMED, ///< Not valid HTTP. Hooks were called for what came before, but never for an invalid head.
		HEADERS_TOO_LARGE,
	};

	struct hooks {
		std::function<void(const http_head &)> on_head;
		std::function<void(std::string_view)> on_body;
	};

private:
	struct parser_deleter {
		void operator()(http_parser *p_parser) const;
	};

	kind _kind;
	hooks _hooks;
	http_syntax_checker _syntax;
	std::unique_ptr<http_parser, parser_deleter> _parser;
	state _state = state::READING;
	http_head _head;
	std::string _field;
	std::string _value;
	bool _in_value = false;
	bool _has_begun = false;
	bool _has_head = false;
	bool _without_body = false;
	std::size_t _header_bytes = 0;
	std::size_t _max_header_bytes;

	static http_reader &_self(http_parser *p_parser);
	void _finish_header();
	bool _count(std::size_t p_bytes);
	int _on_headers_complete();
	std::size_t _parse(std::string_view p_bytes);

	friend struct http_reader_callbacks;

public:
	http_reader(kind p_kind, hooks p_hooks, std::size_t p_max_header_bytes);
	~http_reader();
	http_reader(const http_reader &) = delete;
	http_reader &operator=(const http_reader &) = delete;

	/** Parses bytes and returns how many were consumed; stops after a complete message. */
	std::size_t feed(std::string_view p_bytes);

	/** To be called when the peer has closed its end; completes a body that is delimited by the close. */
	void finish_at_close();

	/** Discards the current message and starts a new one. */
	void reset();

	/** The answer to a HEAD has no body whatever its headers say. */
	void set_without_body(bool p_without) { _without_body = p_without; }

	void set_max_header_bytes(std::size_t p_bytes) { _max_header_bytes = p_bytes; }

	state get_state() const { return _state; }
	const http_head &get_head() const { return _head; }
	bool has_begun() const { return _has_begun; }
	bool has_head() const { return _has_head; }
};

} // namespace calicoscale

#endif // HTTP_READER_H
