/*
 * calicoscale: http_reader.cpp
 * Strict reader of HTTP/1.1 messages, one at a time, based on http_parser.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_reader.h"

#include "core/enum_names.h"
#include "drivers/http_status.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <climits>

namespace calicoscale {

bool is_same_header(std::string_view p_left, std::string_view p_right) {
	return p_left.size() == p_right.size() && strncasecmp(p_left.data(), p_right.data(), p_left.size()) == 0;
}

const std::string *http_head::find(std::string_view p_name) const {
	for (const http_header &header : headers) {
		if (is_same_header(header.name, p_name)) {
			return &header.value;
		}
	}
	return nullptr;
}

std::size_t http_head::count(std::string_view p_name) const {
	return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [p_name](const http_header &p_header) {
		return is_same_header(p_header.name, p_name);
	}));
}

/**
 * What http_parser calls; a result other than 0 stops it with an error. Fields behind a body in chunks are read and ignored, as the
 * headers have been used by then.
 */
struct http_reader_callbacks {
	static int on_begin(http_parser *p_parser) {
		http_reader::_self(p_parser)._has_begun = true;
		return 0;
	}

	static int on_url(http_parser *p_parser, const char *p_bytes, std::size_t p_size) {
		http_reader &self = http_reader::_self(p_parser);
		self._head.target.append(p_bytes, p_size);
		return self._count(p_size) ? 0 : 1;
	}

	static int on_field(http_parser *p_parser, const char *p_bytes, std::size_t p_size) {
		http_reader &self = http_reader::_self(p_parser);
		if (self._has_head) {
			return self._count(p_size) ? 0 : 1;
		}
		if (self._in_value) {
			self._finish_header();
		}
		self._field.append(p_bytes, p_size);
		return self._count(p_size) ? 0 : 1;
	}

	static int on_value(http_parser *p_parser, const char *p_bytes, std::size_t p_size) {
		http_reader &self = http_reader::_self(p_parser);
		if (self._has_head) {
			return self._count(p_size) ? 0 : 1;
		}
		self._in_value = true;
		self._value.append(p_bytes, p_size);
		return self._count(p_size) ? 0 : 1;
	}

	static int on_headers_complete(http_parser *p_parser) {
		return http_reader::_self(p_parser)._on_headers_complete();
	}

	static int on_body(http_parser *p_parser, const char *p_bytes, std::size_t p_size) {
		http_reader::_self(p_parser)._hooks.on_body(std::string_view(p_bytes, p_size));
		return 0;
	}

	static int on_complete(http_parser *p_parser) {
		http_reader::_self(p_parser)._state = http_reader::state::COMPLETE;
		http_parser_pause(p_parser, 1);
		return 0;
	}
};

namespace {

/** Bytes counted for each header beyond its name and value: separator and line end. */
constexpr std::size_t BYTES_PER_HEADER = 4;

const http_parser_settings &get_parser_settings() {
	static const http_parser_settings settings = [] {
		http_parser_settings result;
		http_parser_settings_init(&result);
		result.on_message_begin = &http_reader_callbacks::on_begin;
		result.on_url = &http_reader_callbacks::on_url;
		result.on_header_field = &http_reader_callbacks::on_field;
		result.on_header_value = &http_reader_callbacks::on_value;
		result.on_headers_complete = &http_reader_callbacks::on_headers_complete;
		result.on_body = &http_reader_callbacks::on_body;
		result.on_message_complete = &http_reader_callbacks::on_complete;
		return result;
	}();
	return settings;
}

constexpr std::array<enum_name<body_framing>, 3> FRAMING_NAMES{ {
		{ body_framing::LENGTH, "length" },
		{ body_framing::CHUNKS, "chunks" },
		{ body_framing::CONNECTION, "connection" },
} };

body_framing get_answer_framing(const http_parser &p_parser) {
	const bool has_no_body = http_status::has_no_body(static_cast<int>(p_parser.status_code));
	if (!has_no_body && (p_parser.flags & F_CHUNKED) != 0) {
		return body_framing::CHUNKS;
	}
	return has_no_body || p_parser.content_length != ULLONG_MAX ? body_framing::LENGTH : body_framing::CONNECTION;
}

bool are_headers_valid(const http_head &p_head) {
	// Needed for heads that a peer forwards: their bytes did not pass http_syntax_checker here.
	return std::all_of(p_head.headers.begin(), p_head.headers.end(), [](const http_header &p_header) {
		const bool is_token = !p_header.name.empty() && std::all_of(p_header.name.begin(), p_header.name.end(), is_token_byte);
		return is_token && std::all_of(p_header.value.begin(), p_header.value.end(), is_value_byte);
	});
}

bool is_framing_valid(const http_head &p_head) {
	// Rejects framing that two implementations could interpret differently, which would allow request smuggling.
	const std::size_t encodings = p_head.count("Transfer-Encoding");
	if (encodings > 1 || p_head.count("Content-Length") > 1 || p_head.count("Host") > 1) {
		return false;
	}
	const std::string *encoding = p_head.find("Transfer-Encoding");
	return encoding == nullptr || is_same_header(*encoding, "chunked");
}

bool is_status_valid(int p_status) {
	// Nothing asks endpoints for another protocol.
	return p_status >= http_status::FIRST && p_status <= http_status::LAST && p_status != http_status::SWITCHING_PROTOCOLS;
}

} // namespace

bool is_valid_answer(const http_head &p_head) {
	return is_status_valid(p_head.status) && are_headers_valid(p_head) && is_framing_valid(p_head);
}

std::string_view get_name(body_framing p_framing) {
	return find_name(FRAMING_NAMES, p_framing);
}

void http_reader::parser_deleter::operator()(http_parser *p_parser) const {
	delete p_parser;
}

http_reader::http_reader(kind p_kind, hooks p_hooks, std::size_t p_max_header_bytes) :
		_kind(p_kind), _hooks(std::move(p_hooks)), _syntax(p_kind), _parser(new http_parser), _max_header_bytes(p_max_header_bytes) {
	reset();
}

http_reader::~http_reader() = default;

http_reader &http_reader::_self(http_parser *p_parser) {
	return *static_cast<http_reader *>(p_parser->data);
}

void http_reader::reset() {
	http_parser_init(_parser.get(), _kind == kind::REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	_parser->data = this;
	_syntax.reset();
	_state = state::READING;
	_head = http_head();
	_field.clear();
	_value.clear();
	_in_value = false;
	_has_begun = false;
	_has_head = false;
	_header_bytes = 0;
}

bool http_reader::_count(std::size_t p_bytes) {
	_header_bytes += p_bytes;
	if (_header_bytes > _max_header_bytes) {
		_state = state::HEADERS_TOO_LARGE;
		return false;
	}
	return true;
}

void http_reader::_finish_header() {
	_head.headers.push_back(http_header{ std::move(_field), std::move(_value) });
	_field.clear();
	_value.clear();
	_in_value = false;
	_header_bytes += BYTES_PER_HEADER;
}

int http_reader::_on_headers_complete() {
	if (_in_value || !_field.empty()) {
		_finish_header();
	}
	if (_kind == kind::REQUEST) {
		_head.method = http_method_str(static_cast<http_method>(_parser->method));
	}
	_head.status = static_cast<int>(_parser->status_code);
	_head.minor_version = _parser->http_minor;
	_head.keep_alive = http_should_keep_alive(_parser.get()) != 0;
	_head.framing = _kind == kind::REQUEST || _without_body ? body_framing::LENGTH : get_answer_framing(*_parser);
	const bool is_valid = _kind == kind::REQUEST ? _parser->upgrade == 0 && are_headers_valid(_head) && is_framing_valid(_head) : is_valid_answer(_head);
	if (_parser->http_major != 1 || !is_valid || !_syntax.is_behind_head()) {
		return -1;
	}
	_syntax.begin_body((_parser->flags & F_CHUNKED) != 0);
	_has_head = true;
	_hooks.on_head(_head);
	const bool ends_here = _without_body || (_kind == kind::ANSWER && http_status::has_no_body(_head.status));
	return ends_here ? 1 : 0;
}

std::size_t http_reader::_parse(std::string_view p_bytes) {
	const std::size_t consumed = http_parser_execute(_parser.get(), &get_parser_settings(), p_bytes.data(), p_bytes.size());
	const http_errno error = HTTP_PARSER_ERRNO(_parser.get());
	if (error == HPE_HEADER_OVERFLOW) {
		_state = state::HEADERS_TOO_LARGE;
	} else if (_state == state::READING && error != HPE_OK) {
		_state = state::MALFORMED;
	}
	return consumed;
}

std::size_t http_reader::feed(std::string_view p_bytes) {
	std::size_t consumed = 0;
	while (_state == state::READING && consumed < p_bytes.size()) {
		const std::string_view valid = p_bytes.substr(consumed, _syntax.check(p_bytes.substr(consumed)));
		// http_parser takes a call without bytes for the end of the connection.
		consumed += valid.empty() ? 0 : _parse(valid);
		if (_state == state::READING && _syntax.has_failed()) {
			_state = state::MALFORMED;
		}
	}
	return consumed;
}

void http_reader::finish_at_close() {
	if (_state != state::READING || !_has_head || _head.has_length()) {
		return;
	}
	http_parser_execute(_parser.get(), &get_parser_settings(), nullptr, 0);
}

} // namespace calicoscale
