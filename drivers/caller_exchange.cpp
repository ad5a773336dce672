/*
 * calicoscale: caller_exchange.cpp
 * One request of a caller and the way to answer it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/caller_exchange.h"

#include "drivers/caller_connection.h"
#include "drivers/http_status.h"

#include <array>
#include <cstdint>
#include <cstdio>

namespace calicoscale {

void caller_exchange::_write_head(int p_status, const std::vector<http_header> &p_headers, std::optional<std::size_t> p_length) {
	const bool is_http_1_0 = head.minor_version == 0;
	const bool has_body = !http_status::has_no_body(p_status);
	_without_body = _without_body || !has_body;
	_chunked = has_body && !p_length && !is_http_1_0;
	std::string text = "HTTP/1.1 " + std::to_string(p_status) + " " + std::string(get_reason_phrase(p_status)) + "\r\n";
	for (const http_header &header : p_headers) {
		text += header.name + ": " + header.value + "\r\n";
	}
	if (has_body && p_length) {
		text += "Content-Length: " + std::to_string(*p_length) + "\r\n";
	} else if (_chunked) {
		text += "Transfer-Encoding: chunked\r\n";
	}
	_ends_with_connection = has_body && !p_length && !_chunked;
	if (_ends_with_connection) {
		_connection->set_reset_on_close(true);
	}
	const bool is_last = _connection->is_closing() || !head.keep_alive || _ends_with_connection;
	if (is_last) {
		head.keep_alive = false;
		text += "Connection: close\r\n";
	} else if (const std::int64_t seconds = _connection->announce_idle_limit(); seconds > 0) {
		// HTTP/1.0 callers keep a connection only if the answer says so explicitly.
		text += is_http_1_0 ? "Connection: keep-alive\r\n" : "";
		text += "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n";
	}
	text += "\r\n";
	_connection->write(text);
	_started = true;
}

void caller_exchange::_finish_answer() {
	_ended = true;
	if (_ends_with_connection) {
		_connection->set_reset_on_close(false);
	}
	const std::optional<connection_end> end = head.keep_alive ? std::nullopt : std::optional<connection_end>(connection_end::LAST_ANSWER);
	_connection->finish(end);
}

bool caller_exchange::is_full() const {
	return _connection != nullptr && _connection->is_full();
}

void caller_exchange::reply(int p_status, const std::vector<http_header> &p_headers, std::string_view p_body) {
	if (is_gone() || _ended) {
		return;
	}
	_write_head(p_status, p_headers, p_body.size());
	if (!_without_body) {
		_connection->write(p_body);
	}
	_finish_answer();
}

void caller_exchange::start(int p_status, const std::vector<http_header> &p_headers) {
	if (!is_gone() && !_started) {
		_write_head(p_status, p_headers, std::nullopt);
	}
}

void caller_exchange::send(std::string_view p_bytes) {
	if (is_gone() || _ended || _without_body || p_bytes.empty()) {
		return;
	}
	if (!_chunked) {
		_connection->write(p_bytes);
		return;
	}
	std::array<char, 24> size{};
	const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", p_bytes.size());
	std::string chunk(size.data(), static_cast<std::size_t>(length));
	chunk.append(p_bytes);
	chunk += "\r\n";
	_connection->write(chunk);
}

void caller_exchange::end() {
	if (is_gone() || _ended) {
		return;
	}
	if (_chunked && !_without_body) {
		_connection->write("0\r\n\r\n");
	}
	_finish_answer();
}

void caller_exchange::abort() {
	if (is_gone() || _ended) {
		return;
	}
	_ended = true;
	// A body that is delimited by the close would look complete after an orderly close, so the connection is reset.
	if (_ends_with_connection) {
		_connection->reset();
		return;
	}
	_connection->finish(connection_end::BROKEN_OFF);
}

} // namespace calicoscale
