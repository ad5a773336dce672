/*
 * calicoscale: caller_server.cpp
 * Serves callers over HTTP/1.1: whole requests in, answers out as they come.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/caller_server.h"

#include "drivers/http_status.h"
#include "drivers/socket_address.h"
#include "drivers/socket_queues.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <stdexcept>

namespace calicoscale {

namespace {

/** A caller may send this much ahead of its answer before it is made to wait. */
constexpr std::size_t MOST_READ_AHEAD = 256 * 1024;
constexpr duration SWEEP_INTERVAL = std::chrono::milliseconds(500);
/** How long the caller's end is awaited after the last answer, so that a reset does not destroy that answer. */
constexpr duration LINGER = std::chrono::seconds(1);
/**
 * Part of the idle limit that answers tell callers. The rest is for the way of the answer, the way of the next request and a
 * node that is held up. Callers keep to it: of 2,394 requests on a calm day with a limit of 15 s, 25 came on connections that
 * had rested for over 12 s, five of them for over 15 s; none once answers told 12 s (one play each, same seed).
 */
constexpr double REST_TOLD = 0.8;
/** A caller that takes no bytes for so long is gone. */
constexpr unsigned int USER_TIMEOUT_MS = 5000;
constexpr int BACKLOG = 1024;

constexpr std::array<std::string_view, 5> END_NAMES{ "rested", "stopping", "last_answer", "rejected", "broken_off" };

struct status_phrase {
	int status;
	std::string_view phrase;
};

constexpr std::array<status_phrase, 16> PHRASES{ {
		{ 200, "OK" },
		{ 202, "Accepted" },
		{ 204, "No Content" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 403, "Forbidden" },
		{ 404, "Not Found" },
		{ 408, "Request Timeout" },
		{ 413, "Content Too Large" },
		{ 421, "Misdirected Request" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
} };

} // namespace

std::string_view get_reason_phrase(int p_status) {
	for (const status_phrase &row : PHRASES) {
		if (row.status == p_status) {
			return row.phrase;
		}
	}
	return "Status";
}

std::string_view get_name(connection_end p_end) {
	return END_NAMES[static_cast<std::size_t>(p_end)];
}

/** One connection of a caller. */
class caller_server::connection {
	enum class phase {
		READING,
		ANSWERING,
		LINGERING, ///< The last answer is out or on its way; what comes in is thrown away.
		ENDED, ///< Ended without owing an answer; what comes in is not read.
	};

	caller_server &_owner;
	bufferevent *_stream;
	http_reader _reader;
	phase _phase = phase::READING;
	std::shared_ptr<caller_exchange> _exchange;
	std::string _body;
	instant _idle_since;
	duration _promised_rest; ///< The limit that was in force at the last answer, or when the connection was opened.
	instant _request_since{};
	connection_end _end = connection_end::RESTED; ///< Counts once the connection lingers.
	instant _ended_at{};
	std::size_t _handed_over = 0;
	bool _too_large = false;
	bool _is_open_request = false;

	static void _on_readable(bufferevent *, void *p_self) {
		static_cast<connection *>(p_self)->_read();
	}

	static void _on_drained(bufferevent *, void *p_self) {
		connection &self = *static_cast<connection *>(p_self);
		if (self._phase == phase::ENDED && self._is_all_taken()) {
			self.close();
		} else if (self._phase == phase::LINGERING || self._phase == phase::ENDED) {
			self._end_sending();
		}
	}

	static void _on_event(bufferevent *, short p_what, void *p_self) {
		if ((p_what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
			static_cast<connection *>(p_self)->close();
		}
	}

	void _on_head(const http_head &p_head) {
		const std::string *length = p_head.find("Content-Length");
		if (length != nullptr && std::strtoull(length->c_str(), nullptr, 10) > _owner._limits.body_bytes) {
			_too_large = true;
			return;
		}
		const std::string *expectation = p_head.find("Expect");
		if (expectation != nullptr && is_same_header(*expectation, "100-continue")) {
			static constexpr std::string_view GO_ON = "HTTP/1.1 100 Continue\r\n\r\n";
			bufferevent_write(_stream, GO_ON.data(), GO_ON.size());
		}
	}

	void _on_body(std::string_view p_bytes) {
		if (_body.size() + p_bytes.size() > _owner._limits.body_bytes) {
			_too_large = true;
			return;
		}
		_body.append(p_bytes);
	}

	void _reject(int p_status) {
		_owner._rejected++;
		const std::string text = "HTTP/1.1 " + std::to_string(p_status) + " " + std::string(get_reason_phrase(p_status)) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
		bufferevent_write(_stream, text.data(), text.size());
		linger(connection_end::REJECTED);
	}

	/** Tells of bytes that came behind this side's end. */
	void _note_crossed(std::size_t p_bytes) {
		if (p_bytes > 0 && _owner._on_crossed) {
			_owner._on_crossed(crossed_end{ _end, event_loop::now() - _ended_at, _ended_at - _idle_since, p_bytes });
		}
	}

	/** Reads what is there as far as one request goes. */
	void _read() {
		evbuffer *input = bufferevent_get_input(_stream);
		while (_phase == phase::READING && evbuffer_get_length(input) > 0) {
			const std::size_t size = evbuffer_get_contiguous_space(input);
			const char *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
			if (!_reader.has_begun()) {
				_request_since = event_loop::now();
				_reader.set_most_header_bytes(_owner._limits.header_bytes);
			}
			const std::size_t taken = _reader.feed(std::string_view(bytes, size));
			evbuffer_drain(input, taken);
			_check_reader();
		}
		if (_phase == phase::LINGERING) {
			_note_crossed(evbuffer_get_length(input));
			evbuffer_drain(input, evbuffer_get_length(input));
		}
	}

	void _check_reader() {
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
				_hand_over();
		}
	}

	void _hand_over() {
		const http_head &head = _reader.get_head();
		if (head.target.empty() || head.target.front() != '/' || (head.find("Host") == nullptr && head.minor_version > 0)) {
			_reject(http_status::BAD_REQUEST);
			return;
		}
		_phase = phase::ANSWERING;
		_is_open_request = true;
		_owner._open_requests++;
		_exchange = std::make_shared<caller_exchange>();
		_exchange->_server = &_owner;
		_exchange->_connection = this;
		_exchange->_without_body = head.method == "HEAD";
		_exchange->head = head;
		_exchange->body = std::move(_body);
		_exchange->received_at = _request_since;
		_exchange->rested = _request_since - _idle_since;
		_exchange->earlier = _handed_over++;
		_body.clear();
		const std::shared_ptr<caller_exchange> exchange = _exchange;
		_owner._handler(exchange);
	}

	void _end_sending() { shutdown(bufferevent_getfd(_stream), SHUT_WR); }
	bool _is_all_written() const { return evbuffer_get_length(bufferevent_get_output(_stream)) == 0; }

	/** Whether the caller's system has all that was answered, so that a reset cannot destroy it. */
	bool _is_all_taken() const { return _is_all_written() && get_unacknowledged_bytes(bufferevent_getfd(_stream)) == 0U; }

	/** Whether bytes of the caller wait to be read: a loop that was held up runs timers before it reads sockets. */
	bool _has_waiting_bytes() const {
		return evbuffer_get_length(bufferevent_get_input(_stream)) > 0 || get_unread_bytes(bufferevent_getfd(_stream)) > 0;
	}

	void _note_end(connection_end p_end) {
		_end = p_end;
		_ended_at = event_loop::now();
		_owner._ended[p_end]++;
	}

	/** A head has its own limit; a body may take as long as a connection may rest besides. */
	duration _get_reading_limit() const {
		const caller_server_limits &limits = _owner._limits;
		return _reader.has_head() ? limits.header_timeout + limits.idle_timeout : limits.header_timeout;
	}

	void _forget_request() {
		if (_is_open_request) {
			_is_open_request = false;
			_owner._open_requests--;
		}
		if (_exchange) {
			_exchange->_connection = nullptr;
			_exchange.reset();
		}
	}

public:
	connection(caller_server &p_owner, bufferevent *p_stream) :
			_owner(p_owner), _stream(p_stream), _reader(http_reader::kind::REQUEST, http_reader::hooks{ [this](const http_head &p_head) { _on_head(p_head); }, [this](std::string_view p_bytes) { _on_body(p_bytes); } }, p_owner._limits.header_bytes), _idle_since(event_loop::now()), _promised_rest(p_owner._limits.idle_timeout) {
		bufferevent_setcb(_stream, &connection::_on_readable, &connection::_on_drained, &connection::_on_event, this);
		bufferevent_setwatermark(_stream, EV_READ, 0, MOST_READ_AHEAD);
		bufferevent_enable(_stream, EV_READ | EV_WRITE);
		const int on = 1;
		const int socket = bufferevent_getfd(_stream);
		setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &USER_TIMEOUT_MS, sizeof(USER_TIMEOUT_MS));
	}

	~connection() {
		_forget_request();
		bufferevent_free(_stream);
	}

	connection(const connection &) = delete;
	connection &operator=(const connection &) = delete;

	/** Drops the connection; a request at work is told that its caller is gone. */
	void close() {
		bufferevent_setcb(_stream, nullptr, nullptr, nullptr, nullptr);
		bufferevent_disable(_stream, EV_READ | EV_WRITE);
		const std::shared_ptr<caller_exchange> exchange = _exchange;
		_forget_request();
		if (exchange && !exchange->_ended && exchange->_on_gone) {
			exchange->_on_gone();
		}
		_owner._drop(this);
	}

	/** Sends what is left, then waits for the caller to close. */
	void linger(connection_end p_end) {
		_phase = phase::LINGERING;
		_note_end(p_end);
		if (_is_all_written()) {
			_end_sending();
		}
	}

	/**
	 * Ends a connection that owes no answer. A request that crosses the end is never read but reset, so that its caller knows
	 * that it did not run: one that was read and then closed upon looks like one that was lost at work.
	 */
	void end_unread(connection_end p_end) {
		_phase = phase::ENDED;
		_note_end(p_end);
		bufferevent_disable(_stream, EV_READ);
		if (_is_all_taken()) {
			close();
		} else if (_is_all_written()) {
			_end_sending();
		}
	}

	/** The answer is out: reads the next request or closes. */
	void finish(std::optional<connection_end> p_end) {
		_forget_request();
		_idle_since = event_loop::now();
		if (p_end) {
			linger(*p_end);
			return;
		}
		_phase = phase::READING;
		_reader.reset();
		if (evbuffer_get_length(bufferevent_get_input(_stream)) > 0) {
			bufferevent_trigger(_stream, EV_READ, BEV_OPT_DEFER_CALLBACKS);
		}
	}

	void write(std::string_view p_bytes) { bufferevent_write(_stream, p_bytes.data(), p_bytes.size()); }

	/** Whether the connection owes no answer and no request waits to be read. */
	bool is_idle() const { return _phase == phase::READING && !_reader.has_begun() && !_has_waiting_bytes(); }

	/** Whether a request can be read in time: what waits in the socket may be the rest of it. */
	bool is_too_slow(instant p_now) const {
		return _phase == phase::READING && _reader.has_begun() && p_now - _request_since > _get_reading_limit() && !_has_waiting_bytes();
	}

	/** Promises the caller the idle limit in force, also if it is lowered later. @return seconds to tell. */
	std::int64_t promise_rest() {
		_promised_rest = _owner._limits.idle_timeout;
		return static_cast<std::int64_t>(to_seconds(_promised_rest) * REST_TOLD);
	}

	/** How long the connection has been without a request. */
	duration get_rest(instant p_now) const { return p_now - _idle_since; }

	/** Ends what takes too long. */
	void sweep(instant p_now) {
		const bool has_ended = _phase == phase::LINGERING || _phase == phase::ENDED;
		const bool is_taken = _phase == phase::ENDED && _is_all_taken();
		if (has_ended && (is_taken || p_now - _ended_at > LINGER)) {
			close();
		} else if (get_rest(p_now) > std::max(_promised_rest, _owner._limits.idle_timeout) && is_idle()) {
			end_unread(connection_end::RESTED);
		} else if (is_too_slow(p_now)) {
			_reject(http_status::REQUEST_TIMEOUT);
		}
	}
};

void caller_exchange::_write_head(int p_status, const std::vector<http_header> &p_headers, std::optional<std::size_t> p_length) {
	const bool is_plain_old = head.minor_version == 0;
	_chunked = !p_length && !is_plain_old;
	std::string text = "HTTP/1.1 " + std::to_string(p_status) + " ";
	text += get_reason_phrase(p_status);
	text += "\r\n";
	for (const http_header &header : p_headers) {
		text += header.name;
		text += ": ";
		text += header.value;
		text += "\r\n";
	}
	if (p_length) {
		text += "Content-Length: " + std::to_string(*p_length) + "\r\n";
	} else if (_chunked) {
		text += "Transfer-Encoding: chunked\r\n";
	}
	caller_server::connection &connection = *static_cast<caller_server::connection *>(_connection);
	const bool is_last = _server->_closing || !head.keep_alive || (!p_length && is_plain_old);
	if (is_last) {
		head.keep_alive = false;
		text += "Connection: close\r\n";
	} else if (const std::int64_t seconds = connection.promise_rest(); seconds > 0) {
		text += "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n";
	}
	text += "\r\n";
	connection.write(text);
	_started = true;
}

void caller_exchange::_finish_answer() {
	_ended = true;
	const std::optional<connection_end> end = head.keep_alive ? std::nullopt : std::optional<connection_end>(connection_end::LAST_ANSWER);
	static_cast<caller_server::connection *>(_connection)->finish(end);
}

void caller_exchange::reply(int p_status, const std::vector<http_header> &p_headers, std::string_view p_body) {
	if (is_gone() || _ended) {
		return;
	}
	_write_head(p_status, p_headers, p_body.size());
	caller_server::connection &connection = *static_cast<caller_server::connection *>(_connection);
	if (!_without_body) {
		connection.write(p_body);
	}
	_finish_answer();
}

void caller_exchange::start(int p_status, const std::vector<http_header> &p_headers) {
	if (!is_gone() && !_started) {
		_write_head(p_status, p_headers, std::nullopt);
	}
}

void caller_exchange::send(std::string_view p_bytes) {
	if (is_gone() || _ended || p_bytes.empty()) {
		return;
	}
	caller_server::connection &connection = *static_cast<caller_server::connection *>(_connection);
	if (!_chunked) {
		connection.write(p_bytes);
		return;
	}
	std::array<char, 24> size{};
	const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", p_bytes.size());
	std::string chunk(size.data(), static_cast<std::size_t>(length));
	chunk.append(p_bytes);
	chunk += "\r\n";
	connection.write(chunk);
}

void caller_exchange::end() {
	if (is_gone() || _ended) {
		return;
	}
	caller_server::connection &connection = *static_cast<caller_server::connection *>(_connection);
	if (_chunked) {
		connection.write("0\r\n\r\n");
	}
	_finish_answer();
}

void caller_exchange::abort() {
	if (is_gone() || _ended) {
		return;
	}
	_ended = true;
	caller_server::connection &connection = *static_cast<caller_server::connection *>(_connection);
	// A body that ends with the connection would look whole after an orderly close, so this one is reset.
	if (_started && !_chunked) {
		connection.close();
		return;
	}
	connection.finish(connection_end::BROKEN_OFF);
}

caller_server::caller_server(event_loop &p_loop, const network_address &p_address, const caller_server_limits &p_limits, std::function<void(std::shared_ptr<caller_exchange>)> p_handler) :
		_loop(p_loop), _limits(p_limits), _handler(std::move(p_handler)), _sweep_timer(p_loop, [this] { _sweep(); }) {
	const sockaddr_in address = make_socket_address(p_address);
	const unsigned int flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
	_listener = evconnlistener_new_bind(p_loop.get_base(), &caller_server::_on_accept, this, flags, BACKLOG, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
	if (_listener == nullptr) {
		throw std::runtime_error("cannot listen at " + to_string(p_address));
	}
	_address = get_bound_address(evconnlistener_get_fd(_listener), p_address.host);
	_sweep_timer.set(SWEEP_INTERVAL);
}

caller_server::~caller_server() {
	if (_listener != nullptr) {
		evconnlistener_free(_listener);
	}
}

void caller_server::_on_accept(evconnlistener *, int p_socket, sockaddr *, int, void *p_self) {
	caller_server &self = *static_cast<caller_server *>(p_self);
	bufferevent *stream = bufferevent_socket_new(self._loop.get_base(), p_socket, BEV_OPT_CLOSE_ON_FREE);
	self._connections.push_back(std::make_unique<connection>(self, stream));
}

void caller_server::_drop(connection *p_connection) {
	const auto found = std::find_if(_connections.begin(), _connections.end(), [p_connection](const std::unique_ptr<connection> &p_entry) {
		return p_entry.get() == p_connection;
	});
	if (found == _connections.end()) {
		return;
	}
	// Freed from the loop, as this may run inside one of the connection's own callbacks.
	std::shared_ptr<connection> removed = std::move(*found);
	_connections.erase(found);
	_loop.post([removed] {});
}

void caller_server::_sweep() {
	const instant now = event_loop::now();
	for (std::size_t i = _connections.size(); i > 0; i--) {
		_connections[i - 1]->sweep(now);
	}
	_sweep_timer.set(SWEEP_INTERVAL);
}

void caller_server::stop_listening() {
	_closing = true;
	if (_listener != nullptr) {
		evconnlistener_free(_listener);
		_listener = nullptr;
	}
	close_idle(duration::zero());
}

void caller_server::close_idle(duration p_rest) {
	const instant now = event_loop::now();
	// From the end, as a connection that is closed at once leaves the list.
	for (std::size_t i = _connections.size(); i > 0; i--) {
		connection &entry = *_connections[i - 1];
		if (entry.get_rest(now) >= p_rest && entry.is_idle()) {
			entry.end_unread(connection_end::STOPPING);
		}
	}
}

} // namespace calicoscale
