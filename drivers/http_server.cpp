/*
 * calicoscale: http_server.cpp
 * HTTP server by evhttp, with stricter limits than its defaults.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>

namespace calicoscale {

namespace {

/** Input in bytes that is buffered while an answer is pending; beyond it the socket is not read. */
constexpr std::size_t MAX_READ_AHEAD = 256 * 1024;
constexpr int STATUS_INTERNAL_ERROR = 500;

/**
 * evhttp stops reading while a request is being answered, so it would not notice that the caller disconnects. Reading is
 * enabled again without the read callback, which would abort the process if a byte arrived in this state.
 */
void watch_for_close(evhttp_connection *p_connection) {
	bufferevent *stream = evhttp_connection_get_bufferevent(p_connection);
	bufferevent_data_cb read_hook = nullptr;
	bufferevent_data_cb write_hook = nullptr;
	bufferevent_event_cb event_hook = nullptr;
	void *argument = nullptr;
	bufferevent_getcb(stream, &read_hook, &write_hook, &event_hook, &argument);
	bufferevent_setcb(stream, nullptr, write_hook, event_hook, argument);
	bufferevent_setwatermark(stream, EV_READ, 0, MAX_READ_AHEAD);
	bufferevent_enable(stream, EV_READ);
}

void disable_nagle(evhttp_connection *p_connection) {
	const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(p_connection));
	const int on = 1;
	setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

http_exchange::http_exchange(evhttp_request *p_request, std::shared_ptr<std::set<http_exchange *>> p_siblings) :
		_request(p_request), _connection(evhttp_request_get_connection(p_request)), _siblings(std::move(p_siblings)) {
	_siblings->insert(this);
	disable_nagle(_connection);
	watch_for_close(_connection);
	evhttp_connection_set_closecb(_connection, &http_exchange::_on_closed, this);
}

http_exchange::~http_exchange() {
	_siblings->erase(this);
	if (_streaming && !_answered) {
		break_stream();
	} else if (!_answered) {
		reply(STATUS_INTERNAL_ERROR, "text/plain", "no answer\n");
	}
}

void http_exchange::_on_closed(evhttp_connection *, void *p_self) {
	http_exchange &self = *static_cast<http_exchange *>(p_self);
	self._gone = true;
	self._connection = nullptr;
	if (self._on_disconnect) {
		// The hook may destroy this exchange.
		const std::function<void()> hook = std::move(self._on_disconnect);
		self._on_disconnect = nullptr;
		hook();
	}
}

void http_exchange::detach() {
	_forget_connection();
	_gone = true;
	_answered = true;
	_on_disconnect = nullptr;
}

void http_exchange::_forget_connection() {
	if (_connection != nullptr) {
		evhttp_connection_set_closecb(_connection, nullptr, nullptr);
		_connection = nullptr;
	}
}

bool http_exchange::is_post() const {
	return evhttp_request_get_command(_request) == EVHTTP_REQ_POST;
}

bool http_exchange::is_get() const {
	return evhttp_request_get_command(_request) == EVHTTP_REQ_GET;
}

std::string http_exchange::get_path() const {
	const evhttp_uri *uri = evhttp_request_get_evhttp_uri(_request);
	const char *path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
	return path == nullptr ? "" : path;
}

std::optional<std::string> http_exchange::find_parameter(std::string_view p_name) const {
	const evhttp_uri *uri = evhttp_request_get_evhttp_uri(_request);
	const char *query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
	if (query == nullptr) {
		return std::nullopt;
	}
	evkeyvalq parameters{};
	if (evhttp_parse_query_str(query, &parameters) != 0) {
		return std::nullopt;
	}
	const char *value = evhttp_find_header(&parameters, std::string(p_name).c_str());
	std::optional<std::string> result;
	if (value != nullptr) {
		result = value;
	}
	evhttp_clear_headers(&parameters);
	return result;
}

std::optional<std::string> http_exchange::find_header(std::string_view p_name) const {
	const char *value = evhttp_find_header(evhttp_request_get_input_headers(_request), std::string(p_name).c_str());
	if (value == nullptr) {
		return std::nullopt;
	}
	return value;
}

std::size_t http_exchange::count_header(std::string_view p_name) const {
	const std::string name(p_name);
	std::size_t count = 0;
	const evkeyvalq *list = evhttp_request_get_input_headers(_request);
	for (const evkeyval *entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
		count += strcasecmp(entry->key, name.c_str()) == 0 ? 1 : 0;
	}
	return count;
}

std::string http_exchange::take_body() {
	evbuffer *buffer = evhttp_request_get_input_buffer(_request);
	std::string body(evbuffer_get_length(buffer), '\0');
	evbuffer_remove(buffer, body.data(), body.size());
	return body;
}

void http_exchange::_add_headers(const std::string &p_content_type, const std::vector<http_header> &p_headers) {
	evkeyvalq *headers = evhttp_request_get_output_headers(_request);
	evhttp_add_header(headers, "Content-Type", p_content_type.c_str());
	for (const http_header &header : p_headers) {
		evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
	}
}

void http_exchange::reply(int p_status, const std::string &p_content_type, const std::string &p_body, const std::vector<http_header> &p_headers) {
	if (_answered) {
		return;
	}
	_answered = true;
	_forget_connection();
	_add_headers(p_content_type, p_headers);
	evbuffer *body = evbuffer_new();
	evbuffer_add(body, p_body.data(), p_body.size());
	// Without a connection evhttp only frees the request.
	evhttp_send_reply(_request, p_status, nullptr, body);
	evbuffer_free(body);
}

void http_exchange::start_stream(int p_status, const std::string &p_content_type, const std::vector<http_header> &p_headers) {
	_streaming = true;
	if (_answered) {
		return;
	}
	_add_headers(p_content_type, p_headers);
	evhttp_send_reply_start(_request, p_status, nullptr);
}

void http_exchange::send_part(std::string_view p_bytes) {
	if (_gone || p_bytes.empty()) {
		return;
	}
	evbuffer *part = evbuffer_new();
	evbuffer_add(part, p_bytes.data(), p_bytes.size());
	evhttp_send_reply_chunk(_request, part);
	evbuffer_free(part);
}

void http_exchange::end_stream() {
	if (_answered) {
		return;
	}
	_answered = true;
	_forget_connection();
	evhttp_send_reply_end(_request);
}

void http_exchange::break_stream() {
	if (_answered) {
		return;
	}
	if (_connection == nullptr) {
		end_stream();
		return;
	}
	// Shuts the socket down without evhttp, which then cleans up as for a failed connection.
	const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(_connection));
	_answered = true;
	_forget_connection();
	shutdown(socket, SHUT_RDWR);
	evhttp_send_reply_end(_request);
}

void http_server::server_deleter::operator()(evhttp *p_server) const {
	evhttp_free(p_server);
}

http_server::http_server(event_loop &p_loop, const network_address &p_address, const http_server_limits &p_limits, std::function<void(std::unique_ptr<http_exchange>)> p_handler) :
		_server(evhttp_new(p_loop.get_base())), _handler(std::move(p_handler)), _open(std::make_shared<std::set<http_exchange *>>()) {
	evhttp_set_max_headers_size(_server.get(), static_cast<ev_ssize_t>(p_limits.header_bytes));
	evhttp_set_max_body_size(_server.get(), static_cast<ev_ssize_t>(p_limits.body_bytes));
	evhttp_set_timeout(_server.get(), p_limits.idle_seconds);
	evhttp_set_allowed_methods(_server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
	evhttp_set_gencb(_server.get(), &http_server::_on_request, this);
	_socket = evhttp_bind_socket_with_handle(_server.get(), p_address.host.c_str(), p_address.port);
	if (_socket == nullptr) {
		throw std::runtime_error("cannot listen at " + to_string(p_address));
	}
	sockaddr_in bound{};
	socklen_t size = sizeof(bound);
	getsockname(evhttp_bound_socket_get_fd(_socket), reinterpret_cast<sockaddr *>(&bound), &size);
	_address = network_address{ p_address.host, ntohs(bound.sin_port) };
}

http_server::~http_server() {
	const std::set<http_exchange *> open = *_open;
	for (http_exchange *exchange : open) {
		exchange->detach();
	}
}

void http_server::_on_request(evhttp_request *p_request, void *p_self) {
	http_server &self = *static_cast<http_server *>(p_self);
	try {
		self._handler(std::make_unique<http_exchange>(p_request, self._open));
	} catch (const std::exception &error) {
		// No exception may propagate through libevent; the exchange answered 500 when it was destroyed.
		LOG(ERROR) << "event=handler_failed what=" << error.what();
	}
}

void http_server::stop_listening() {
	if (_socket != nullptr) {
		evhttp_del_accept_socket(_server.get(), _socket);
		_socket = nullptr;
	}
}

} // namespace calicoscale
