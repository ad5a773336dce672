/*
 * calicoscale: http_syntax_checker.cpp
 * Checks the bytes of HTTP/1.1 messages before they are parsed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_syntax_checker.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

/** In patterns of start lines; all other characters stand for themselves. */
constexpr char ANY_DIGIT = '#';
constexpr std::string_view VERSION_PATTERN = "HTTP/1.#";
constexpr std::string_view STATUS_PATTERN = "HTTP/1.# ###";

/** Digits of the size of a chunk, so that it fits into 64 bits. */
constexpr std::size_t MAX_SIZE_DIGITS = 16;

constexpr std::size_t BYTE_VALUES = 256;

using byte_set = std::array<bool, BYTE_VALUES>;

constexpr byte_set make_token_bytes() {
	byte_set result{};
	for (const char byte : std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
		result[static_cast<unsigned char>(byte)] = true;
	}
	return result;
}

constexpr byte_set make_value_bytes() {
	byte_set result{};
	for (std::size_t code = 0; code < BYTE_VALUES; code++) {
		result[code] = (code >= 0x20 && code != 0x7f) || code == '\t';
	}
	return result;
}

constexpr byte_set TOKEN_BYTES = make_token_bytes();
constexpr byte_set VALUE_BYTES = make_value_bytes();

bool is_in(const byte_set &p_set, char p_byte) {
	return p_set[static_cast<unsigned char>(p_byte)];
}

bool is_digit(char p_byte) {
	return p_byte >= '0' && p_byte <= '9';
}

bool is_target_byte(char p_byte) {
	return is_value_byte(p_byte) && p_byte != ' ' && p_byte != '\t';
}

bool is_matching(char p_byte, char p_pattern) {
	return p_pattern == ANY_DIGIT ? is_digit(p_byte) : p_byte == p_pattern;
}

/** Returns the value of a hexadecimal digit; -1 for any other byte. */
int read_hex_digit(char p_byte) {
	if (is_digit(p_byte)) {
		return p_byte - '0';
	}
	if (p_byte >= 'a' && p_byte <= 'f') {
		return p_byte - 'a' + 10;
	}
	return p_byte >= 'A' && p_byte <= 'F' ? p_byte - 'A' + 10 : -1;
}

} // namespace

bool is_token_byte(char p_byte) {
	return is_in(TOKEN_BYTES, p_byte);
}

bool is_value_byte(char p_byte) {
	return is_in(VALUE_BYTES, p_byte);
}

http_syntax_checker::http_syntax_checker(kind p_kind) :
		_kind(p_kind) {
}

void http_syntax_checker::reset() {
	*this = http_syntax_checker(_kind);
}

void http_syntax_checker::begin_body(bool p_is_chunked) {
	_part = p_is_chunked ? part::CHUNK_SIZE : part::BODY;
	_part_behind_fields = part::MESSAGE_END;
	_line_end = line_end::CRLF;
	_position = 0;
	_chunk_bytes = 0;
}

/** Takes the first byte of the end of a line; fails at any other byte, and where an earlier line ended in another way. */
http_syntax_checker::part http_syntax_checker::_end_line(char p_byte, part p_next) {
	const line_end found = p_byte == '\n' ? line_end::LF : line_end::CRLF;
	if ((p_byte != '\r' && p_byte != '\n') || (_line_end != line_end::UNKNOWN && _line_end != found)) {
		return part::FAILED;
	}
	_line_end = found;
	if (found == line_end::LF) {
		return p_next;
	}
	_part_behind_line = p_next;
	return part::LINE_FEED;
}

http_syntax_checker::part http_syntax_checker::_check_start(char p_byte) {
	_position = 0;
	// Empty lines before a request are no part of its head.
	_line_end = line_end::UNKNOWN;
	if (_kind == kind::ANSWER) {
		return _check_status(p_byte);
	}
	return p_byte == '\r' || p_byte == '\n' ? _end_line(p_byte, part::START) : _check_method(p_byte);
}

http_syntax_checker::part http_syntax_checker::_check_method(char p_byte) {
	if (p_byte == ' ' && _position > 0) {
		_position = 0;
		return part::TARGET;
	}
	_position++;
	return is_token_byte(p_byte) ? part::METHOD : part::FAILED;
}

http_syntax_checker::part http_syntax_checker::_check_target(char p_byte) {
	if (p_byte == ' ' && _position > 0) {
		_position = 0;
		return part::REQUEST_VERSION;
	}
	_position++;
	return is_target_byte(p_byte) ? part::TARGET : part::FAILED;
}

http_syntax_checker::part http_syntax_checker::_check_version(char p_byte) {
	if (_position == VERSION_PATTERN.size()) {
		return _end_line(p_byte, part::FIELD_START);
	}
	return is_matching(p_byte, VERSION_PATTERN[_position++]) ? part::REQUEST_VERSION : part::FAILED;
}

http_syntax_checker::part http_syntax_checker::_check_status(char p_byte) {
	if (_position == STATUS_PATTERN.size()) {
		return p_byte == ' ' ? part::REASON : _end_line(p_byte, part::FIELD_START);
	}
	return is_matching(p_byte, STATUS_PATTERN[_position++]) ? part::STATUS : part::FAILED;
}

/** Checks a byte of a text that takes the rest of its line. */
http_syntax_checker::part http_syntax_checker::_check_text(char p_byte, part p_next) {
	return is_value_byte(p_byte) ? _part : _end_line(p_byte, p_next);
}

http_syntax_checker::part http_syntax_checker::_check_field_start(char p_byte) {
	if (is_token_byte(p_byte)) {
		return part::FIELD_NAME;
	}
	return _end_line(p_byte, _part_behind_fields);
}

http_syntax_checker::part http_syntax_checker::_check_field_name(char p_byte) {
	if (p_byte == ':') {
		return part::FIELD_VALUE;
	}
	return is_token_byte(p_byte) ? part::FIELD_NAME : part::FAILED;
}

http_syntax_checker::part http_syntax_checker::_check_chunk_size(char p_byte) {
	const int digit = read_hex_digit(p_byte);
	if (digit < 0) {
		return _position > 0 ? _check_behind_size(p_byte) : part::FAILED;
	}
	_chunk_bytes = _chunk_bytes * 16 + static_cast<std::uint64_t>(digit);
	return _position++ < MAX_SIZE_DIGITS ? part::CHUNK_SIZE : part::FAILED;
}

http_syntax_checker::part http_syntax_checker::_check_behind_size(char p_byte) {
	if (p_byte == ' ') {
		return part::CHUNK_SPACES;
	}
	return p_byte == ';' ? part::CHUNK_EXTENSION : _end_line(p_byte, _get_part_behind_size());
}

http_syntax_checker::part http_syntax_checker::_get_part_behind_size() const {
	return _chunk_bytes > 0 ? part::CHUNK_DATA : part::FIELD_START;
}

http_syntax_checker::part http_syntax_checker::_check_byte(char p_byte) {
	switch (_part) {
		case part::START:
			return _check_start(p_byte);
		case part::METHOD:
			return _check_method(p_byte);
		case part::TARGET:
			return _check_target(p_byte);
		case part::REQUEST_VERSION:
			return _check_version(p_byte);
		case part::STATUS:
			return _check_status(p_byte);
		case part::REASON:
		case part::FIELD_VALUE:
			return _check_text(p_byte, part::FIELD_START);
		case part::FIELD_START:
			return _check_field_start(p_byte);
		case part::FIELD_NAME:
			return _check_field_name(p_byte);
		case part::LINE_FEED:
			return p_byte == '\n' ? _part_behind_line : part::FAILED;
		case part::CHUNK_SIZE:
			return _check_chunk_size(p_byte);
		case part::CHUNK_SPACES:
			return _check_behind_size(p_byte);
		case part::CHUNK_EXTENSION:
			return _check_text(p_byte, _get_part_behind_size());
		case part::CHUNK_DATA_END:
			_position = 0;
			return _end_line(p_byte, part::CHUNK_SIZE);
		default:
			return part::FAILED;
	}
}

/** Skips bytes that may have any value. @return how many. */
std::size_t http_syntax_checker::_skip_data(std::size_t p_available) {
	if (_part == part::BODY) {
		return p_available;
	}
	if (_part != part::CHUNK_DATA) {
		return 0;
	}
	const std::size_t skipped = static_cast<std::size_t>(std::min<std::uint64_t>(p_available, _chunk_bytes));
	_chunk_bytes -= skipped;
	if (_chunk_bytes == 0) {
		_part = part::CHUNK_DATA_END;
	}
	return skipped;
}

/** Returns how many bytes follow that leave the checker in the middle of the same name or text. */
std::size_t http_syntax_checker::_skip_run(std::string_view p_bytes) const {
	const bool is_text = _part == part::FIELD_VALUE || _part == part::REASON || _part == part::CHUNK_EXTENSION;
	if (!is_text && _part != part::FIELD_NAME) {
		return 0;
	}
	const byte_set &set = is_text ? VALUE_BYTES : TOKEN_BYTES;
	const auto end = std::find_if_not(p_bytes.begin(), p_bytes.end(), [&set](char p_byte) { return is_in(set, p_byte); });
	return static_cast<std::size_t>(end - p_bytes.begin());
}

std::size_t http_syntax_checker::check(std::string_view p_bytes) {
	std::size_t valid = 0;
	while (valid < p_bytes.size()) {
		valid += _skip_data(p_bytes.size() - valid);
		valid += _skip_run(p_bytes.substr(valid));
		if (valid == p_bytes.size()) {
			break;
		}
		_part = _check_byte(p_bytes[valid]);
		if (has_failed()) {
			break;
		}
		valid++;
		if (_part == part::HEAD_END || _part == part::MESSAGE_END) {
			break;
		}
	}
	return valid;
}

} // namespace calicoscale
