/*
 * calicoscale: caller_connection.cpp
 * One connection of a caller: reads its requests one at a time and closes after the idle limit.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/caller_connection.h"

#include "drivers/http_status.h"
#include "drivers/socket_queues.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace calicoscale {

namespace {

/** Input in bytes that is buffered while an answer is pending; beyond it the socket is not read. */
constexpr std::size_t MAX_READ_AHEAD = 256 * 1024;
/** How long to wait for the caller to close after the last answer is written, so that a reset does not destroy that answer. */
constexpr duration LINGER_TIMEOUT = std::chrono::seconds(1);
/**
 * Share of the idle limit that answers advertise. The remainder covers the network delay of the answer and of the next request,
 * and process stalls of the node. Callers respect it: of 2,394 requests with a limit of 15 s, 25 arrived on connections that
 * had been idle for over 12 s, five of them for over 15 s; none did once answers advertised 12 s (one run each).
 */
constexpr double ADVERTISED_IDLE_SHARE = 0.8;
/** Maximum idle limit promised to a caller: after the limit is lowered, the old promise delays closing by no more than this. */
constexpr duration MAX_PROMISED_IDLE = std::chrono::minutes(5);
/** A connection whose caller accepts no output for this long is reset, even if the caller's system still responds. */
constexpr duration MAX_STALL = std::chrono::seconds(10);
/** The same limit while the output buffered for all callers exceeds the write budget. */
constexpr duration MAX_STALL_OVER_BUDGET = std::chrono::seconds(1);
/** TCP_USER_TIMEOUT: the system drops a connection whose sent bytes stay unacknowledged for this long. */
constexpr unsigned int USER_TIMEOUT_MS = 5000;

} // namespace

void caller_connection::_on_readable(bufferevent *, void *p_self) {
	static_cast<caller_connection *>(p_self)->_read();
}

void caller_connection::_on_drained(bufferevent *, void *p_self) {
	caller_connection &self = *static_cast<caller_connection *>(p_self);
	if (self._has_ended()) {
		self._continue_end();
	} else if (self._phase == phase::READING && !self._reader.has_begun()) {
		// The idle time starts when the answer has been written.
		self._idle_since = event_loop::now();
	}
}

void caller_connection::_on_output(evbuffer *, const evbuffer_cb_info *p_info, void *p_self) {
	caller_connection &self = *static_cast<caller_connection *>(p_self);
	self._shared.writes.add(p_info->n_added);
	self._shared.writes.remove(p_info->n_deleted);
	if (p_info->n_deleted > 0 || p_info->orig_size == 0) {
		self._output_progress_at = event_loop::now();
	}
	if (p_info->n_deleted > 0) {
		self._update_flow();
	}
}

void caller_connection::_update_flow() {
	const std::size_t outstanding = _get_unsent_bytes();
	const bool is_full = _is_full ? !_shared.writes.has_capacity(outstanding) : _shared.writes.is_full(outstanding);
	if (is_full == _is_full) {
		return;
	}
	_is_full = is_full;
	if (_exchange && !_exchange->_ended && _exchange->_on_flow) {
		_exchange->_on_flow(!is_full);
	}
}

std::size_t caller_connection::_get_unsent_bytes() const {
	return evbuffer_get_length(bufferevent_get_output(_stream));
}

bool caller_connection::_is_stalled(instant p_now) const {
	const duration limit = _shared.writes.is_over() ? MAX_STALL_OVER_BUDGET : MAX_STALL;
	return !_is_all_written() && p_now - _output_progress_at > limit;
}

void caller_connection::_on_event(bufferevent *, short p_what, void *p_self) {
	if ((p_what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
		static_cast<caller_connection *>(p_self)->close();
	}
}

void caller_connection::_on_head(const http_head &p_head) {
	const std::string *length = p_head.find("Content-Length");
	if (length != nullptr && std::strtoull(length->c_str(), nullptr, 10) > _shared.limits.body_bytes) {
		_too_large = true;
		return;
	}
	const std::string *expectation = p_head.find("Expect");
	if (expectation != nullptr && is_same_header(*expectation, "100-continue")) {
		static constexpr std::string_view CONTINUE_ANSWER = "HTTP/1.1 100 Continue\r\n\r\n";
		bufferevent_write(_stream, CONTINUE_ANSWER.data(), CONTINUE_ANSWER.size());
	}
}

void caller_connection::_on_body(std::string_view p_bytes) {
	if (_body.size() + p_bytes.size() > _shared.limits.body_bytes) {
		_too_large = true;
		return;
	}
	_body.append(p_bytes);
}

void caller_connection::_reject(int p_status) {
	_shared.rejected++;
	const std::string text = "HTTP/1.1 " + std::to_string(p_status) + " " + std::string(get_reason_phrase(p_status)) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	bufferevent_write(_stream, text.data(), text.size());
	_linger(connection_end::REJECTED);
}

void caller_connection::_report_post_close_input(std::size_t p_bytes, bool p_was_read) {
	if (p_bytes > 0 && _shared.on_post_close_input) {
		_shared.on_post_close_input(post_close_input{ _end, event_loop::now() - _ended_at, _ended_at - _idle_since, p_bytes, p_was_read });
	}
}

void caller_connection::_read() {
	evbuffer *input = bufferevent_get_input(_stream);
	while (_phase == phase::READING && evbuffer_get_length(input) > 0) {
		const std::size_t size = evbuffer_get_contiguous_space(input);
		const char *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
		if (!_reader.has_begun()) {
			_request_since = event_loop::now();
			_reader.set_max_header_bytes(_shared.limits.header_bytes);
		}
		const std::size_t consumed = _reader.feed(std::string_view(bytes, size));
		evbuffer_drain(input, consumed);
		_check_reader();
	}
	if (_phase == phase::LINGERING) {
		_report_post_close_input(evbuffer_get_length(input), true);
		evbuffer_drain(input, evbuffer_get_length(input));
	}
}

void caller_connection::_check_reader() {
	if (_too_large) {
		_reject(http_status::BODY_TOO_LARGE);
		return;
	}
	switch (_reader.get_state()) {
		case http_reader::state::READING:
			return;
		case http_reader::state::MALFORMED:
			_reject(http_status::BAD_REQUEST);
			return;
		case http_reader::state::HEADERS_TOO_LARGE:
			_reject(http_status::HEADERS_TOO_LARGE);
			return;
		case http_reader::state::COMPLETE:
			_deliver_request();
	}
}

void caller_connection::_deliver_request() {
	const http_head &head = _reader.get_head();
	if (head.target.empty() || head.target.front() != '/' || (head.find("Host") == nullptr && head.minor_version > 0)) {
		_reject(http_status::BAD_REQUEST);
		return;
	}
	_phase = phase::ANSWERING;
	_is_open_request = true;
	_shared.open_requests++;
	_exchange = std::make_shared<caller_exchange>();
	_exchange->_connection = this;
	_exchange->_without_body = head.method == "HEAD";
	_exchange->head = head;
	_exchange->body = std::move(_body);
	_exchange->received_at = _request_since;
	_exchange->rested = _request_since - _idle_since;
	_exchange->earlier = _request_count++;
	_body.clear();
	const std::shared_ptr<caller_exchange> exchange = _exchange;
	_shared.on_request(exchange);
}

void caller_connection::_continue_end() {
	if (!_is_all_written()) {
		return;
	}
	_written_at = event_loop::now();
	if (_phase == phase::ENDED && _is_all_acknowledged()) {
		close();
		return;
	}
	shutdown(bufferevent_getfd(_stream), SHUT_WR);
}

bool caller_connection::_may_close(instant p_now) const {
	if (!_is_all_written()) {
		return false;
	}
	const std::optional<std::size_t> outstanding = get_unacknowledged_bytes(bufferevent_getfd(_stream));
	if (_phase == phase::ENDED && outstanding) {
		return *outstanding == 0;
	}
	return p_now - _written_at > LINGER_TIMEOUT;
}

bool caller_connection::_is_all_written() const {
	return _get_unsent_bytes() == 0;
}

bool caller_connection::_is_all_acknowledged() const {
	return _is_all_written() && get_unacknowledged_bytes(bufferevent_getfd(_stream)) == 0U;
}

bool caller_connection::_has_unread_bytes() const {
	return evbuffer_get_length(bufferevent_get_input(_stream)) > 0 || get_unread_bytes(bufferevent_getfd(_stream)) > 0;
}

void caller_connection::_record_end(connection_end p_end) {
	_end = p_end;
	_ended_at = event_loop::now();
	_shared.ended[p_end]++;
}

duration caller_connection::_get_reading_limit() const {
	const caller_server_limits &limits = _shared.limits;
	return _reader.has_head() ? limits.header_timeout + limits.idle_timeout : limits.header_timeout;
}

void caller_connection::_release_request() {
	if (_is_open_request) {
		_is_open_request = false;
		_shared.open_requests--;
	}
	if (_exchange) {
		_exchange->_connection = nullptr;
		_exchange.reset();
	}
}

caller_connection::caller_connection(caller_connection_shared &p_shared, bufferevent *p_stream) :
		_shared(p_shared), _stream(p_stream), _reader(http_reader::kind::REQUEST, http_reader::hooks{ [this](const http_head &p_head) { _on_head(p_head); }, [this](std::string_view p_bytes) { _on_body(p_bytes); } }, p_shared.limits.header_bytes), _idle_since(event_loop::now()), _promised_idle_limit(p_shared.limits.idle_timeout) {
	bufferevent_setcb(_stream, &caller_connection::_on_readable, &caller_connection::_on_drained, &caller_connection::_on_event, this);
	bufferevent_setwatermark(_stream, EV_READ, 0, MAX_READ_AHEAD);
	evbuffer_add_cb(bufferevent_get_output(_stream), &caller_connection::_on_output, this);
	bufferevent_enable(_stream, EV_READ | EV_WRITE);
	const int on = 1;
	const int socket = bufferevent_getfd(_stream);
	setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &USER_TIMEOUT_MS, sizeof(USER_TIMEOUT_MS));
}

caller_connection::~caller_connection() {
	_leave_server();
	bufferevent_free(_stream);
}

void caller_connection::_leave_server() {
	if (_has_left_server) {
		return;
	}
	_has_left_server = true;
	_release_request();
	evbuffer_remove_cb(bufferevent_get_output(_stream), &caller_connection::_on_output, this);
	_shared.writes.remove(_get_unsent_bytes());
}

void caller_connection::close() {
	if (_phase == phase::ENDED) {
		_report_post_close_input(get_unread_bytes(bufferevent_getfd(_stream)), false);
	}
	bufferevent_setcb(_stream, nullptr, nullptr, nullptr, nullptr);
	bufferevent_disable(_stream, EV_READ | EV_WRITE);
	const std::shared_ptr<caller_exchange> exchange = _exchange;
	_release_request();
	if (exchange && !exchange->_ended && exchange->_on_disconnect) {
		exchange->_on_disconnect();
	}
	_leave_server();
	_shared.on_closed(*this);
}

void caller_connection::set_reset_on_close(bool p_resets) {
	const linger at_once{ p_resets ? 1 : 0, 0 };
	setsockopt(bufferevent_getfd(_stream), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void caller_connection::reset() {
	set_reset_on_close(true);
	close();
}

void caller_connection::_linger(connection_end p_end) {
	_phase = phase::LINGERING;
	_record_end(p_end);
	_continue_end();
}

void caller_connection::close_without_reading(connection_end p_end) {
	_phase = phase::ENDED;
	_record_end(p_end);
	bufferevent_disable(_stream, EV_READ);
	_continue_end();
}

void caller_connection::finish(std::optional<connection_end> p_end) {
	_release_request();
	_idle_since = event_loop::now();
	if (p_end) {
		_linger(*p_end);
		return;
	}
	_phase = phase::READING;
	_reader.reset();
	if (evbuffer_get_length(bufferevent_get_input(_stream)) > 0) {
		bufferevent_trigger(_stream, EV_READ, BEV_OPT_DEFER_CALLBACKS);
	}
}

void caller_connection::write(std::string_view p_bytes) {
	bufferevent_write(_stream, p_bytes.data(), p_bytes.size());
	_update_flow();
}

bool caller_connection::is_idle() const {
	return _phase == phase::READING && !_reader.has_begun() && _is_all_written() && !_has_unread_bytes();
}

bool caller_connection::_is_too_slow(instant p_now) const {
	return _phase == phase::READING && _reader.has_begun() && p_now - _request_since > _get_reading_limit() && !_has_unread_bytes();
}

std::int64_t caller_connection::announce_idle_limit() {
	_promised_idle_limit = std::min(_shared.limits.idle_timeout, MAX_PROMISED_IDLE);
	return static_cast<std::int64_t>(to_seconds(_promised_idle_limit) * ADVERTISED_IDLE_SHARE);
}

void caller_connection::sweep(instant p_now) {
	if (_is_stalled(p_now)) {
		if (_shared.on_slow_reader) {
			_shared.on_slow_reader(slow_reader{ _get_unsent_bytes(), p_now - _output_progress_at, _shared.writes.get_buffered_bytes() });
		}
		_shared.ended[connection_end::STALLED]++;
		reset();
		return;
	}
	if (_has_ended()) {
		if (_may_close(p_now)) {
			close();
		}
	} else if (get_idle_time(p_now) > std::max(_promised_idle_limit, _shared.limits.idle_timeout) && is_idle()) {
		close_without_reading(connection_end::IDLE_TIMEOUT);
	} else if (_is_too_slow(p_now)) {
		_reject(http_status::REQUEST_TIMEOUT);
	}
}

} // namespace calicoscale
