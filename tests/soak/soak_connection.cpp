/*
 * calicoscale: soak_connection.cpp
 * A caller's connection to a node, and how it ends.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_connection.h"

#include "drivers/socket_address.h"
#include "tests/soak/socket_end.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace calicoscale {

namespace {

constexpr std::size_t MOST_HEADER_BYTES = 16384;
constexpr duration RESET_CHECK = std::chrono::milliseconds(20);

} // namespace

soak_connection::soak_connection(event_loop &p_loop, const network_address &p_to, soak_connection_hooks p_hooks) :
		_loop(p_loop),
		_hooks(std::move(p_hooks)),
		_stream(bufferevent_socket_new(p_loop.get_base(), -1, 0)),
		_reader(http_reader::kind::ANSWER, http_reader::hooks{ [](const http_head &) {}, [this](std::string_view p_bytes) { _body.append(p_bytes); } }, MOST_HEADER_BYTES),
		_reset_timer(p_loop, [this] { _watch_for_reset(); }) {
	bufferevent_setcb(_stream, &soak_connection::_on_readable, &soak_connection::_on_drained, &soak_connection::_on_event, this);
	const sockaddr_in address = make_socket_address(p_to);
	bufferevent_socket_connect(_stream, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
	const int on = 1;
	setsockopt(bufferevent_getfd(_stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	bufferevent_enable(_stream, EV_READ | EV_WRITE);
}

soak_connection::~soak_connection() {
	const int socket = bufferevent_getfd(_stream);
	bufferevent_free(_stream);
	close_socket(socket);
}

void soak_connection::abandon() {
	_is_over = true;
	_reset_timer.cancel();
	bufferevent_setcb(_stream, nullptr, nullptr, nullptr, nullptr);
}

void soak_connection::send(std::string_view p_bytes, bool p_is_last) {
	if (!_is_open_request) {
		_reader.reset();
		_body.clear();
		_is_open_request = true;
		_told_sent = false;
	}
	_is_whole_request = p_is_last;
	bufferevent_write(_stream, p_bytes.data(), p_bytes.size());
}

void soak_connection::_on_drained(bufferevent *p_stream, void *p_self) {
	soak_connection &self = *static_cast<soak_connection *>(p_self);
	const bool is_out = self._is_connected && self._is_whole_request && evbuffer_get_length(bufferevent_get_output(p_stream)) == 0;
	if (self._is_open_request && is_out && !self._told_sent) {
		self._told_sent = true;
		self._hooks.on_sent();
	}
}

void soak_connection::_on_event(bufferevent *p_stream, short p_what, void *p_self) {
	soak_connection &self = *static_cast<soak_connection *>(p_self);
	if ((p_what & BEV_EVENT_CONNECTED) != 0) {
		self._is_connected = true;
		_on_drained(p_stream, p_self);
	} else if ((p_what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
		self._on_end((p_what & BEV_EVENT_ERROR) != 0);
	}
}

void soak_connection::_on_readable(bufferevent *, void *p_self) {
	static_cast<soak_connection *>(p_self)->_read();
}

void soak_connection::_read() {
	evbuffer *input = bufferevent_get_input(_stream);
	std::string bytes(evbuffer_get_length(input), '\0');
	evbuffer_remove(input, bytes.data(), bytes.size());
	if (bytes.empty() || _is_over) {
		return;
	}
	if (!_is_open_request) {
		_hooks.on_surplus(bytes);
		return;
	}
	const std::size_t taken = _reader.feed(bytes);
	const http_reader::state state = _reader.get_state();
	const bool is_bad = state == http_reader::state::MALFORMED || (state == http_reader::state::COMPLETE && taken < bytes.size());
	if (is_bad) {
		_hooks.on_surplus(bytes.substr(taken));
	} else if (state == http_reader::state::COMPLETE) {
		_take_answer();
	}
}

void soak_connection::_take_answer() {
	_is_open_request = false;
	const http_head head = _reader.get_head();
	const std::string body = std::move(_body);
	_hooks.on_answer(head, body);
}

void soak_connection::_break(unanswered_end p_end) {
	_is_over = true;
	_reset_timer.cancel();
	_hooks.on_broken(p_end, _reader.has_begun());
}

void soak_connection::_on_end(bool p_is_reset) {
	if (_is_over || _closed_at != instant()) {
		return;
	}
	if (!_is_open_request) {
		_is_over = true;
		_hooks.on_closed();
		return;
	}
	if (!p_is_reset) {
		_reader.finish_at_close();
		if (_reader.get_state() == http_reader::state::COMPLETE) {
			_take_answer();
			return;
		}
	}
	if (p_is_reset || _reader.has_begun()) {
		_break(p_is_reset ? unanswered_end::RESET : unanswered_end::ORDERLY);
		return;
	}
	_closed_at = event_loop::now();
	_watch_for_reset();
}

void soak_connection::_watch_for_reset() {
	// The peer's end came first; a reset behind it tells that it read no more.
	const bool is_reset = has_socket_error(bufferevent_getfd(_stream));
	if (is_reset || event_loop::now() - _closed_at > RESET_WAIT) {
		_break(is_reset || !_told_sent ? unanswered_end::RESET : unanswered_end::ORDERLY);
		return;
	}
	_reset_timer.set(RESET_CHECK);
}

} // namespace calicoscale
