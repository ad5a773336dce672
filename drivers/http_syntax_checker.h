/*
 * calicoscale: http_syntax_checker.h
 * Checks the bytes of HTTP/1.1 messages before they are parsed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HTTP_SYNTAX_CHECKER_H
#define HTTP_SYNTAX_CHECKER_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace calicoscale {

/** Whether a byte may stand in a method or in the name of a header. */
bool is_token_byte(char p_byte);

/** Whether a byte may stand in the value of a header: no control character but the tab. */
bool is_value_byte(char p_byte);

/**
 * Checks one message at a time: its start line, headers, chunk sizes, ends of chunks and trailers. Parsers skip some bytes
 * unread or join lines, each in its own way, so that the result of parsing does not show what was received.
 *
 * Accepted beyond the grammar of RFC 9112: lines that end with LF alone, if all lines of the head do; empty lines before a request; a
 * status line without a reason and the blank before it; spaces behind a chunk's size.
 */
class http_syntax_checker {
public:
	enum class kind {
		REQUEST,
		ANSWER,
	};

private:
	/** The part of the message that the next byte belongs to. */
	enum class part {
		START,
		METHOD,
		TARGET,
		REQUEST_VERSION,
		STATUS,
		REASON,
		FIELD_START,
		FIELD_NAME,
		FIELD_VALUE,
		LINE_FEED, ///< The second byte of the end of a line.
		HEAD_END,
		BODY, ///< Any bytes, up to the end that the parser finds.
		CHUNK_SIZE,
		CHUNK_SPACES,
		CHUNK_EXTENSION,
		CHUNK_DATA,
		CHUNK_DATA_END,
		MESSAGE_END,
		FAILED,
	};

	/** How the lines of the message end. */
	enum class line_end {
		UNKNOWN,
		LF,
		CRLF,
	};

	kind _kind;
	part _part = part::START;
	part _part_behind_line = part::START; ///< Follows LINE_FEED.
	line_end _line_end = line_end::UNKNOWN;
	part _part_behind_fields = part::HEAD_END; ///< Follows the blank line behind headers or trailers.
	std::size_t _position = 0; ///< Within the method, the target, the version, the status line or the chunk's size.
	std::uint64_t _chunk_bytes = 0; ///< Remaining bytes of the current chunk.

	part _end_line(char p_byte, part p_next);
	part _check_start(char p_byte);
	part _check_method(char p_byte);
	part _check_target(char p_byte);
	part _check_version(char p_byte);
	part _check_status(char p_byte);
	part _check_text(char p_byte, part p_next);
	part _check_field_start(char p_byte);
	part _check_field_name(char p_byte);
	part _check_chunk_size(char p_byte);
	part _check_behind_size(char p_byte);
	part _get_part_behind_size() const;
	part _check_byte(char p_byte);
	std::size_t _skip_data(std::size_t p_available);
	std::size_t _skip_run(std::string_view p_bytes) const;

public:
	explicit http_syntax_checker(kind p_kind);

	/**
	 * Checks the bytes that follow those of the last call.
	 * @return the number of bytes that are valid and may be parsed. It is smaller than the number given if a byte is invalid (then
	 * has_failed() returns true), if the head ends (call begin_body() next) or if the message ends (call reset() next).
	 */
	std::size_t check(std::string_view p_bytes);

	/** To be called behind the head, with what its headers say of the body. */
	void begin_body(bool p_is_chunked);

	/** Begins another message. */
	void reset();

	/** Whether the head is complete, and begin_body() was not called yet. */
	bool is_behind_head() const { return _part == part::HEAD_END; }

	bool has_failed() const { return _part == part::FAILED; }
};

} // namespace calicoscale

#endif // HTTP_SYNTAX_CHECKER_H
