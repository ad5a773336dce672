/*
 * calicoscale: http_client.cpp
 * HTTP calls by evhttp; a failure tells whether any byte was handed to the socket.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_client.h"

#include "drivers/http_reader.h"
#include "drivers/http_status.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <optional>

namespace calicoscale {

namespace {

constexpr std::size_t MAX_IDLE_PER_ADDRESS = 16;
constexpr duration MAX_IDLE_TIME = std::chrono::seconds(20);
constexpr std::size_t MAX_HEADER_BYTES = 64 * 1024;

struct connection_deleter {
	void operator()(evhttp_connection *p_connection) const { evhttp_connection_free(p_connection); }
};

using connection_pointer = std::unique_ptr<evhttp_connection, connection_deleter>;

std::vector<http_header> read_headers(evhttp_request *p_request) {
	std::vector<http_header> headers;
	const evkeyvalq *list = evhttp_request_get_input_headers(p_request);
	for (const evkeyval *entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
		headers.push_back(http_header{ entry->key, entry->value });
	}
	return headers;
}

std::string_view trim_blanks(std::string_view p_text) {
	const std::size_t start = std::min(p_text.find_first_not_of(" \t"), p_text.size());
	return p_text.substr(start, p_text.find_last_not_of(" \t") + 1 - start);
}

std::string take_all(evbuffer *p_buffer) {
	std::string bytes(evbuffer_get_length(p_buffer), '\0');
	evbuffer_remove(p_buffer, bytes.data(), bytes.size());
	return bytes;
}

timeval to_timeval(duration p_value) {
	timeval result{};
	result.tv_sec = static_cast<time_t>(p_value.count() / 1'000'000);
	result.tv_usec = static_cast<suseconds_t>(p_value.count() % 1'000'000);
	return result;
}

} // namespace

bool is_contradictory(const std::vector<http_header> &p_headers, std::string_view p_name) {
	std::optional<std::string_view> first;
	for (const http_header &header : p_headers) {
		if (header.name.size() != p_name.size() || strncasecmp(header.name.data(), p_name.data(), p_name.size()) != 0) {
			continue;
		}
		const std::string_view value = trim_blanks(header.value);
		if (first.value_or(value) != value) {
			return true;
		}
		first = value;
	}
	return false;
}

std::string http_result::find_header(std::string_view p_name) const {
	const std::string name(p_name);
	for (const http_header &header : headers) {
		if (strcasecmp(header.name.c_str(), name.c_str()) == 0) {
			return header.value;
		}
	}
	return "";
}

struct http_client::idle_connection {
	connection_pointer connection;
	instant since{};
};

/** One call in progress; owns its connection until it ends. */
class http_client::call_state {
	http_client &_client;
	call_id _id;
	std::string _address;
	connection_pointer _connection;
	evhttp_request *_request = nullptr;
	evbuffer_cb_entry *_output_watch = nullptr;
	evbuffer *_output = nullptr;
	evbuffer_cb_entry *_input_watch = nullptr;
	evbuffer *_input = nullptr;
	/** Reads the answer too, as evhttp accepts bytes that are no valid answer. Nothing of an answer is used that this reader refuses. */
	http_reader _checker{ http_reader::kind::ANSWER, http_reader::hooks{ [](const http_head &) {}, [](std::string_view) {} }, MAX_HEADER_BYTES };
	http_hooks _hooks;
	http_failure _failure = http_failure::LOST;
	bool _has_sent_bytes = false;
	bool _in_callback = false;
	const bool _is_first; ///< The connection is new.
	bool _may_keep = false; ///< The connection may carry another call.
	std::string _error_body;
	std::size_t _received = 0;

	static void _on_output_change(evbuffer *, const evbuffer_cb_info *p_info, void *p_self) {
		call_state &self = *static_cast<call_state *>(p_self);
		if (p_info->n_deleted > 0) {
			self._has_sent_bytes = true;
			self._client._bytes_sent += p_info->n_deleted;
		}
	}

	/** Called by libevent before evhttp handles the bytes. */
	static void _on_input_change(evbuffer *p_input, const evbuffer_cb_info *p_info, void *p_self) {
		call_state &self = *static_cast<call_state *>(p_self);
		if (p_info->n_added == 0 || self._is_refused()) {
			return;
		}
		std::string added(p_info->n_added, '\0');
		evbuffer_ptr place;
		evbuffer_ptr_set(p_input, &place, evbuffer_get_length(p_input) - p_info->n_added, EVBUFFER_PTR_SET);
		evbuffer_copyout_from(p_input, &place, added.data(), added.size());
		self._check(added);
		if (self._is_refused()) {
			self._failure = http_failure::MALFORMED;
			// A request must not be cancelled while evhttp reads its answer.
			self._client._loop.post([&client = self._client, id = self._id] { client._refuse(id); });
		}
	}

	void _check(std::string_view p_bytes) {
		while (!p_bytes.empty() && _checker.get_state() == http_reader::state::READING) {
			p_bytes.remove_prefix(_checker.feed(p_bytes));
			if (_checker.get_state() == http_reader::state::COMPLETE && http_status::is_interim(_checker.get_head().status)) {
				_checker.reset();
			}
		}
	}

	bool _is_refused() const {
		return _checker.get_state() == http_reader::state::MALFORMED || _checker.get_state() == http_reader::state::HEADERS_TOO_LARGE;
	}

	static void _on_chunk(evhttp_request *p_request, void *p_self) {
		call_state &self = *static_cast<call_state *>(p_self);
		const std::string bytes = take_all(evhttp_request_get_input_buffer(p_request));
		self._received += bytes.size();
		if (self._is_refused()) {
			return;
		}
		if (evhttp_request_get_response_code(p_request) != http_status::OK) {
			self._error_body += bytes;
			return;
		}
		self._in_callback = true;
		if (self._hooks.on_chunk) {
			self._hooks.on_chunk(bytes);
		}
		self._in_callback = false;
	}

	static void _on_error(evhttp_request_error p_error, void *p_self) {
		call_state &self = *static_cast<call_state *>(p_self);
		switch (p_error) {
			case EVREQ_HTTP_TIMEOUT:
				self._failure = http_failure::TIMED_OUT;
				break;
			case EVREQ_HTTP_INVALID_HEADER:
			case EVREQ_HTTP_DATA_TOO_LONG:
				self._failure = http_failure::MALFORMED;
				break;
			default:
				self._failure = http_failure::LOST;
				break;
		}
	}

	static void _on_done(evhttp_request *p_request, void *p_self) {
		call_state &self = *static_cast<call_state *>(p_self);
		self._request = nullptr;
		http_result result;
		const bool has_answer = p_request != nullptr && evhttp_request_get_response_code(p_request) != 0;
		if (!has_answer) {
			result.failure = self._has_sent_bytes ? self._failure : http_failure::CONNECT_FAILED;
			self._client._end(self._id, result, false);
			return;
		}
		self._checker.finish_at_close();
		if (self._checker.get_state() != http_reader::state::COMPLETE) {
			result.failure = self._failure;
			self._client._end(self._id, result, false);
			return;
		}
		result.status = evhttp_request_get_response_code(p_request);
		result.headers = read_headers(p_request);
		const std::string remainder = take_all(evhttp_request_get_input_buffer(p_request));
		self._received += remainder.size();
		result.body = self._error_body + remainder;
		result.has_length = !result.find_header("Content-Length").empty() || !result.find_header("Transfer-Encoding").empty();
		self._client._bytes_received += self._received;
		const bool keep = result.has_length && strcasecmp(result.find_header("Connection").c_str(), "close") != 0;
		self._client._end(self._id, result, keep);
	}

	void _watch_connection() {
		bufferevent *stream = evhttp_connection_get_bufferevent(_connection.get());
		_output = bufferevent_get_output(stream);
		_output_watch = evbuffer_add_cb(_output, &call_state::_on_output_change, this);
		_input = bufferevent_get_input(stream);
		_input_watch = evbuffer_add_cb(_input, &call_state::_on_input_change, this);
	}

public:
	call_state(http_client &p_client, call_id p_id, std::string p_address, connection_pointer p_connection, bool p_is_first, http_hooks p_hooks) :
			_client(p_client), _id(p_id), _address(std::move(p_address)), _connection(std::move(p_connection)), _hooks(std::move(p_hooks)), _is_first(p_is_first) {}

	~call_state() {
		detach();
	}

	call_state(const call_state &) = delete;
	call_state &operator=(const call_state &) = delete;

	void send(const http_call &p_call) {
		_watch_connection();
		_request = evhttp_request_new(&call_state::_on_done, this);
		evhttp_request_set_error_cb(_request, &call_state::_on_error);
		if (_hooks.on_chunk) {
			evhttp_request_set_chunked_cb(_request, &call_state::_on_chunk);
		}
		evkeyvalq *headers = evhttp_request_get_output_headers(_request);
		evhttp_add_header(headers, "Host", _address.c_str());
		for (const http_header &header : p_call.headers) {
			evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
		}
		if (p_call.is_post) {
			evbuffer_add(evhttp_request_get_output_buffer(_request), p_call.body.data(), p_call.body.size());
		}
		const timeval timeout = to_timeval(p_call.timeout);
		evhttp_connection_set_timeout_tv(_connection.get(), &timeout);
		evhttp_connection_set_retries(_connection.get(), 0);
		evhttp_connection_set_max_body_size(_connection.get(), static_cast<ev_ssize_t>(p_call.largest_answer));
		evhttp_connection_set_max_headers_size(_connection.get(), MAX_HEADER_BYTES);
		const evhttp_cmd_type command = p_call.is_post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
		if (evhttp_make_request(_connection.get(), _request, command, p_call.path.c_str()) != 0 && _request != nullptr) {
			// No socket could be created; evhttp freed the request without a callback.
			_request = nullptr;
			http_result result;
			result.failure = http_failure::CONNECT_FAILED;
			_client._end(_id, result, false);
		}
	}

	/** Stops watching; the connection may then be kept or freed. */
	void detach() {
		if (_output_watch != nullptr) {
			evbuffer_remove_cb_entry(_output, _output_watch);
			_output_watch = nullptr;
			evbuffer_remove_cb_entry(_input, _input_watch);
			_input_watch = nullptr;
		}
	}

	void abort() {
		detach();
		_hooks = http_hooks();
		if (_request != nullptr) {
			evhttp_request *request = _request;
			_request = nullptr;
			evhttp_cancel_request(request);
		}
	}

	bool is_in_callback() const { return _in_callback; }
	void silence() { _hooks = http_hooks(); }
	const http_hooks &get_hooks() const { return _hooks; }
	const std::string &get_address() const { return _address; }
	call_id get_id() const { return _id; }
	bool is_first() const { return _is_first; }
	bool may_keep() const { return _may_keep; }
	void set_may_keep(bool p_may_keep) { _may_keep = p_may_keep; }
	connection_pointer take_connection() { return std::move(_connection); }
};

http_client::http_client(event_loop &p_loop) :
		_loop(p_loop) {
}

http_client::~http_client() {
	for (auto &[id, call] : _calls) {
		call->abort();
	}
}

call_id http_client::start(const http_call &p_call, http_hooks p_hooks) {
	const call_id id = _next_id++;
	const std::string address = to_string(p_call.to);
	connection_pointer connection;
	const auto idle = _idle.find(address);
	if (!p_call.fresh_connection && idle != _idle.end() && !idle->second.empty()) {
		connection = std::move(idle->second.back().connection);
		idle->second.pop_back();
	}
	const bool is_first = !connection;
	if (is_first) {
		connection.reset(evhttp_connection_base_new(_loop.get_base(), nullptr, p_call.to.host.c_str(), p_call.to.port));
	}
	auto state = std::make_unique<call_state>(*this, id, address, std::move(connection), is_first, std::move(p_hooks));
	call_state &call = *state;
	_calls.emplace(id, std::move(state));
	// Sent in a later turn of the loop, so that hooks never run inside start().
	_loop.post([this, id, p_call, &call] {
		if (_calls.contains(id)) {
			call.send(p_call);
		}
	});
	return id;
}

void http_client::_end(call_id p_id, http_result p_result, bool p_keep) {
	const auto found = _calls.find(p_id);
	if (found == _calls.end()) {
		return;
	}
	std::shared_ptr<call_state> call = std::move(found->second);
	_calls.erase(found);
	call->detach();
	call->set_may_keep(p_keep);
	_ended = call;
	p_result.call = p_id;
	p_result.is_first_on_connection = call->is_first();
	// evhttp still uses the connection after this callback, so it is kept or freed in a later turn of the loop.
	_loop.post([this, call] {
		std::vector<idle_connection> &idle = _idle[call->get_address()];
		if (call->may_keep() && idle.size() < MAX_IDLE_PER_ADDRESS) {
			idle.push_back(idle_connection{ call->take_connection(), event_loop::now() });
		}
	});
	if (call->get_hooks().on_end) {
		call->get_hooks().on_end(p_result);
	}
}

void http_client::_refuse(call_id p_id) {
	const auto found = _calls.find(p_id);
	if (found == _calls.end()) {
		return;
	}
	std::shared_ptr<call_state> call = std::move(found->second);
	_calls.erase(found);
	const std::function<void(const http_result &)> hook = call->get_hooks().on_end;
	call->abort();
	_loop.post([call] {});
	if (hook) {
		http_result result;
		result.call = p_id;
		result.failure = http_failure::MALFORMED;
		hook(result);
	}
}

void http_client::cancel(call_id p_id) {
	const auto found = _calls.find(p_id);
	if (found == _calls.end()) {
		return;
	}
	std::shared_ptr<call_state> call = std::move(found->second);
	_calls.erase(found);
	if (call->is_in_callback()) {
		// A request must not be cancelled inside its own callback: evhttp would continue with freed memory.
		call->detach();
		_loop.post([call] { call->abort(); });
		return;
	}
	call->abort();
	_loop.post([call] {});
}

void http_client::discard_connection(call_id p_id) {
	const std::shared_ptr<call_state> call = _ended.lock();
	if (call && call->get_id() == p_id) {
		call->set_may_keep(false);
	}
}

void http_client::drop_old_connections() {
	const instant now = event_loop::now();
	for (auto &[address, idle] : _idle) {
		std::erase_if(idle, [now](const idle_connection &p_idle) { return now - p_idle.since > MAX_IDLE_TIME; });
	}
	std::erase_if(_idle, [](const auto &p_entry) { return p_entry.second.empty(); });
}

} // namespace calicoscale
