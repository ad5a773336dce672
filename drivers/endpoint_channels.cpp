/*
 * calicoscale: endpoint_channels.cpp
 * Kept connections to endpoints, one request at a time on each.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_channels.h"

#include "core/enum_names.h"
#include "drivers/activity_scope.h"
#include "drivers/socket_address.h"
#include "drivers/socket_queues.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace calicoscale {

namespace {

constexpr std::size_t MAX_HEADER_BYTES = 64 * 1024;
/** Unacknowledged bytes older than this mean that the endpoint or the path has failed; some retransmissions fit in. */
constexpr unsigned int USER_TIMEOUT_MS = 2000;
constexpr duration USER_TIMEOUT = std::chrono::milliseconds(USER_TIMEOUT_MS);
constexpr int KEEPALIVE_IDLE_S = 1;
constexpr int KEEPALIVE_INTERVAL_S = 1;
constexpr int KEEPALIVE_PROBES = 2;
constexpr duration SWEEP_INTERVAL = std::chrono::seconds(1);
/** Idle connections are closed after this time, or after KEEP_ALIVE_SHARE of the time that the endpoint advertises if that is shorter. */
constexpr duration MAX_KEPT_TIME = std::chrono::seconds(4);
constexpr double KEEP_ALIVE_SHARE = 0.6;
/**
 * A restart is noticed with a delay: the endpoint writes its entry, which is read every 0.9 s. A connection opened within
 * this time may belong to the later start, whatever the wall clock says, and is left to fail by itself.
 */
constexpr duration RESTART_NOTICE_DELAY = std::chrono::milliseconds(2000);
/** Bytes of an answer that are passed on before the channel checks whether reading was paused. */
constexpr std::size_t MAX_FED_BYTES = 4UL * 1024;
constexpr std::size_t READ_HIGH_WATERMARK = 64 * 1024;

constexpr std::array<enum_name<channel_end>, 4> END_NAMES{ {
		{ channel_end::COMPLETE, "complete" },
		{ channel_end::CONNECT_FAILED, "connect_failed" },
		{ channel_end::BROKEN, "broken" },
		{ channel_end::MALFORMED, "malformed" },
} };

constexpr std::array<enum_name<surplus_kind>, 6> SURPLUS_NAMES{ {
		{ surplus_kind::OTHER_ANSWER, "other_answer" },
		{ surplus_kind::WITHOUT_ID, "without_id" },
		{ surplus_kind::SEVERAL_IDS, "several_ids" },
		{ surplus_kind::COPY, "copy" },
		{ surplus_kind::BEHIND_ANSWER, "behind_answer" },
		{ surplus_kind::WHILE_IDLE, "while_idle" },
} };

void set_option(int p_socket, int p_level, int p_name, int p_value) {
	setsockopt(p_socket, p_level, p_name, &p_value, sizeof(p_value));
}

int open_socket() {
	const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (handle < 0) {
		return handle;
	}
	set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(USER_TIMEOUT_MS));
	set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	return handle;
}

timeval to_timeval(duration p_time) {
	return timeval{ static_cast<time_t>(p_time.count() / 1'000'000), static_cast<suseconds_t>(p_time.count() % 1'000'000) };
}

/** Returns how long to keep an idle connection, according to the Keep-Alive header of the endpoint. */
duration read_keep_alive(const http_head &p_head) {
	const std::string *value = p_head.find("Keep-Alive");
	if (value == nullptr) {
		return MAX_KEPT_TIME;
	}
	const std::size_t position = value->find("timeout=");
	if (position == std::string::npos) {
		return MAX_KEPT_TIME;
	}
	const double seconds = std::strtod(value->c_str() + position + 8, nullptr);
	return std::min(MAX_KEPT_TIME, from_seconds(seconds * KEEP_ALIVE_SHARE));
}

} // namespace

std::string_view get_name(channel_end p_end) {
	return find_name(END_NAMES, p_end);
}

std::string_view get_name(surplus_kind p_kind) {
	return find_name(SURPLUS_NAMES, p_kind);
}

answer_owner find_answer_owner(const connection_history &p_history, const channel_request &p_request, const http_head &p_head) {
	if (!p_request.echo_header.empty() && is_contradictory(p_head.headers, p_request.echo_header)) {
		return answer_owner::UNKNOWN;
	}
	return p_history.judge(p_request.echo_value, p_request.echo_header.empty() ? nullptr : p_head.find(p_request.echo_header));
}

/** One connection. */
class endpoint_channels::channel {
	friend class endpoint_channels;

	endpoint_channels &_owner;
	bufferevent *_stream = nullptr;
	std::uint64_t _number;
	connection_history _history;
	http_reader _reader;
	exchange_id _id = 0; ///< 0 while idle.
	channel_request _request;
	channel_hooks _hooks;
	endpoint_identity _endpoint;
	bool _connected = false;
	bool _skipping = false;
	bool _ended = false;
	bool _has_ambiguous_answer = false; ///< A copy of the answer could not be told from the next answer.
	bool _is_paused = false; ///< The receiver of the answer paused reading.
	duration _kept_for = MAX_KEPT_TIME;
	instant _idle_since{};
	instant _opened_at{};
	std::unique_ptr<timer> _fault_timer; ///< Ends the exchange on a path with a simulated failure; otherwise not set.

	static void _on_readable(bufferevent *, void *p_self) {
		static_cast<channel *>(p_self)->_read();
	}

	static void _on_event(bufferevent *, short p_what, void *p_self) {
		channel &self = *static_cast<channel *>(p_self);
		if ((p_what & BEV_EVENT_CONNECTED) != 0) {
			self._connected = true;
			self._report_contact();
			bufferevent_set_timeouts(self._stream, nullptr, nullptr);
			return;
		}
		if (self._id == 0) {
			self._owner._on_idle_event(&self);
			return;
		}
		if (!self._connected && (p_what & BEV_EVENT_TIMEOUT) != 0 && is_connected(bufferevent_getfd(self._stream))) {
			self._await_connected();
			return;
		}
		if (!self._connected) {
			self._owner._finish(self, channel_end::CONNECT_FAILED, false);
			return;
		}
		self._on_closed((p_what & BEV_EVENT_EOF) != 0);
	}

	/** Handles a connect time-out that expired during a process stall in which the connection was established. */
	void _await_connected() {
		bufferevent_set_timeouts(_stream, nullptr, nullptr);
		bufferevent_enable(_stream, EV_WRITE);
	}

	/** Only an orderly close can complete an answer without a length. */
	void _on_closed(bool p_orderly) {
		_is_paused = false;
		_read();
		if (_ended) {
			return;
		}
		if (p_orderly && !_skipping) {
			_reader.finish_at_close();
		}
		const bool is_whole = _reader.get_state() == http_reader::state::COMPLETE && !_skipping && !_is_copy();
		_owner._finish(*this, is_whole ? channel_end::COMPLETE : channel_end::BROKEN, false);
	}

	void _report_contact() {
		if (_owner._on_contact && !(_request.zone.empty() && _request.service.empty())) {
			_owner._on_contact(_request);
		}
	}

	/** Handles bytes that belong to no request; the head is that of the surplus answer if it has been read. */
	void _on_surplus(surplus_kind p_kind, const http_head &p_head) {
		_history.on_surplus();
		if (!_owner._on_surplus) {
			return;
		}
		const std::string *echo = _request.echo_header.empty() ? nullptr : p_head.find(_request.echo_header);
		_owner._on_surplus(surplus_report{ p_kind, _endpoint, _request.service, get_position(), _request.echo_value, echo == nullptr ? std::string() : *echo, p_head.status });
	}

	bool _is_interim() const { return _reader.get_head().status / 100 == 1; }

	void _on_head(const http_head &p_head) {
		if (_is_interim()) {
			return;
		}
		const answer_owner belongs_to = find_answer_owner(_history, _request, p_head);
		if (belongs_to == answer_owner::UNKNOWN) {
			_on_surplus(p_head.find(_request.echo_header) == nullptr ? surplus_kind::WITHOUT_ID : surplus_kind::SEVERAL_IDS, p_head);
			_owner._finish(*this, channel_end::MALFORMED, false);
			return;
		}
		_skipping = belongs_to == answer_owner::OTHER_EXCHANGE;
		if (_skipping) {
			_owner._skipped_answers++;
			_on_surplus(surplus_kind::OTHER_ANSWER, p_head);
			return;
		}
		if (_hooks.on_head) {
			_hooks.on_head(p_head);
		}
	}

	void _on_body(std::string_view p_bytes) {
		if (!_skipping && !_ended && _hooks.on_body) {
			_hooks.on_body(p_bytes);
		}
	}

	void _read() {
		const activity_scope scope(_owner._loop, activity::ENDPOINT_ANSWERS);
		if (_id == 0) {
			_on_surplus(surplus_kind::WHILE_IDLE, http_head());
			_owner._on_idle_event(this);
			return;
		}
		evbuffer *input = bufferevent_get_input(_stream);
		if (evbuffer_get_length(input) > 0) {
			_report_contact();
		}
		while (!_ended && !_is_paused && evbuffer_get_length(input) > 0) {
			// Fed in parts, so that a pause takes effect within an answer that arrived in one read.
			const std::size_t size = std::min(evbuffer_get_contiguous_space(input), MAX_FED_BYTES);
			const char *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
			const std::size_t taken = _reader.feed(std::string_view(bytes, size));
			if (_ended) {
				return;
			}
			evbuffer_drain(input, taken);
			if (_reader.get_state() == http_reader::state::COMPLETE) {
				_on_complete();
			} else if (_reader.get_state() != http_reader::state::READING) {
				_owner._finish(*this, channel_end::MALFORMED, false);
			}
		}
	}

	/** Whether the complete answer is a copy of an earlier one. Must be called once for each answer. */
	bool _is_copy() {
		if (!_hooks.get_answer_digest) {
			return false;
		}
		const std::optional<std::uint64_t> digest = _hooks.get_answer_digest();
		_has_ambiguous_answer = !digest;
		if (!digest || _history.take_answer(*digest)) {
			return false;
		}
		_owner._skipped_answers++;
		_on_surplus(surplus_kind::COPY, _reader.get_head());
		return true;
	}

	void _on_complete() {
		if (_is_interim() || _skipping || _is_copy()) {
			_skipping = false;
			_reader.reset();
			return;
		}
		const bool has_surplus = evbuffer_get_length(bufferevent_get_input(_stream)) > 0;
		if (has_surplus) {
			_on_surplus(surplus_kind::BEHIND_ANSWER, http_head());
		}
		const bool is_request_out = evbuffer_get_length(bufferevent_get_output(_stream)) == 0;
		const bool keep = _reader.get_head().keep_alive && _reader.get_head().has_length() && _history.is_reusable() && !_has_ambiguous_answer && is_request_out;
		_kept_for = read_keep_alive(_reader.get_head());
		_owner._finish(*this, channel_end::COMPLETE, keep);
	}

public:
	channel(endpoint_channels &p_owner, std::uint64_t p_number) :
			_owner(p_owner), _number(p_number), _reader(http_reader::kind::ANSWER, http_reader::hooks{ [this](const http_head &p_head) { _on_head(p_head); }, [this](std::string_view p_bytes) { _on_body(p_bytes); } }, MAX_HEADER_BYTES) {}

	~channel() {
		if (_stream != nullptr) {
			bufferevent_free(_stream);
		}
	}

	channel(const channel &) = delete;
	channel &operator=(const channel &) = delete;

	/** Starts to connect; returns false when that fails immediately. */
	bool open(const network_address &p_to, duration p_timeout) {
		_opened_at = event_loop::now();
		const int handle = open_socket();
		if (handle < 0) {
			return false;
		}
		_stream = bufferevent_socket_new(_owner._loop.get_base(), handle, BEV_OPT_CLOSE_ON_FREE);
		const path_fault fault = _owner._faults.get(p_to);
		if (fault != path_fault::NONE) {
			fail_path_after(fault == path_fault::REFUSED ? duration::zero() : p_timeout);
			return true;
		}
		bufferevent_setcb(_stream, &channel::_on_readable, nullptr, &channel::_on_event, this);
		bufferevent_setwatermark(_stream, EV_READ, 0, READ_HIGH_WATERMARK);
		const timeval timeout = to_timeval(p_timeout);
		bufferevent_set_timeouts(_stream, nullptr, &timeout);
		bufferevent_enable(_stream, EV_READ | EV_WRITE);
		const sockaddr_in address = make_socket_address(p_to);
		return bufferevent_socket_connect(_stream, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
	}

	void begin(exchange_id p_id, channel_request p_request, channel_hooks p_hooks) {
		_id = p_id;
		_request = std::move(p_request);
		_hooks = std::move(p_hooks);
		_endpoint = _request.endpoint;
		_history.on_started(_request.echo_value);
		_skipping = false;
		_ended = false;
		_reader.reset();
		_reader.set_without_body(_request.is_head);
		bufferevent_write(_stream, _request.bytes.data(), _request.bytes.size());
		_request.bytes = std::string();
	}

	channel_position get_position() const { return channel_position{ _number, _history.get_place() }; }

	/** Receives nothing more, and ends the exchange after a time. */
	void fail_path_after(duration p_time) {
		bufferevent_setcb(_stream, nullptr, nullptr, nullptr, nullptr);
		bufferevent_disable(_stream, EV_READ | EV_WRITE);
		_fault_timer = std::make_unique<timer>(_owner._loop, [this] { _owner._fail_path(_id); });
		_fault_timer->set(p_time);
	}

	void set_paused(bool p_paused) {
		if (_fault_timer) {
			return;
		}
		if (p_paused == _is_paused) {
			return;
		}
		_is_paused = p_paused;
		if (p_paused) {
			bufferevent_disable(_stream, EV_READ);
			return;
		}
		bufferevent_enable(_stream, EV_READ);
		if (evbuffer_get_length(bufferevent_get_input(_stream)) > 0) {
			bufferevent_trigger(_stream, EV_READ, BEV_OPT_DEFER_CALLBACKS);
		}
	}

	void stop_callbacks() {
		_ended = true;
		if (_stream != nullptr) {
			bufferevent_setcb(_stream, nullptr, nullptr, nullptr, nullptr);
			bufferevent_disable(_stream, EV_READ | EV_WRITE);
		}
	}
};

endpoint_channels::endpoint_channels(event_loop &p_loop) :
		_loop(p_loop), _sweep_timer(p_loop, [this] { _sweep(); }) {
	_sweep_timer.set(SWEEP_INTERVAL);
}

endpoint_channels::~endpoint_channels() = default;

void endpoint_channels::_free(std::unique_ptr<channel> p_channel) {
	p_channel->stop_callbacks();
	// The channel is freed from the event loop, as this function may run inside one of its own callbacks.
	std::shared_ptr<channel> removed = std::move(p_channel);
	_loop.post([removed] {});
}

std::unique_ptr<endpoint_channels::channel> endpoint_channels::_take_kept(const channel_request &p_request) {
	const auto kept = _idle.find(p_request.endpoint);
	if (kept == _idle.end()) {
		return nullptr;
	}
	const instant now = event_loop::now();
	std::vector<std::unique_ptr<channel>> &stack = kept->second;
	for (std::size_t i = stack.size(); i > 0 && now - stack[i - 1]->_idle_since <= std::min(p_request.longest_idle, stack[i - 1]->_kept_for); i--) {
		if (!stack[i - 1]->_history.may_carry(p_request.echo_value)) {
			continue;
		}
		std::unique_ptr<channel> taken = std::move(stack[i - 1]);
		stack.erase(stack.begin() + static_cast<std::ptrdiff_t>(i - 1));
		// The endpoint may have closed the connection in this iteration of the loop; a request sent on it would count as one that
		// may have run.
		if (is_quiet(bufferevent_getfd(taken->_stream))) {
			return taken;
		}
		_free(std::move(taken));
	}
	return nullptr;
}

exchange_id endpoint_channels::start(channel_request p_request, channel_hooks p_hooks) {
	const exchange_id id = _next_id++;
	std::unique_ptr<channel> used = p_request.use_kept ? _take_kept(p_request) : nullptr;
	if (!used) {
		used = std::make_unique<channel>(*this, ++_opened);
		if (!used->open(p_request.to, p_request.connect_timeout)) {
			const std::function<void(channel_end)> hook = std::move(p_hooks.on_end);
			_free(std::move(used));
			_loop.post([hook] { hook(channel_end::CONNECT_FAILED); });
			return id;
		}
	}
	used->begin(id, std::move(p_request), std::move(p_hooks));
	_busy.emplace(id, std::move(used));
	return id;
}

void endpoint_channels::_finish(channel &p_channel, channel_end p_end, bool p_keep) {
	const auto found = _busy.find(p_channel._id);
	if (found == _busy.end()) {
		return;
	}
	std::unique_ptr<channel> owned = std::move(found->second);
	_busy.erase(found);
	owned->_ended = true;
	owned->_id = 0;
	const std::function<void(channel_end)> hook = std::move(owned->_hooks.on_end);
	owned->_hooks = channel_hooks();
	if (p_keep) {
		owned->set_paused(false);
		owned->_idle_since = event_loop::now();
		_idle[owned->_endpoint].push_back(std::move(owned));
	} else {
		_free(std::move(owned));
	}
	hook(p_end);
}

void endpoint_channels::_fail_path(exchange_id p_id) {
	const auto found = _busy.find(p_id);
	if (found != _busy.end()) {
		channel &failed = *found->second;
		_finish(failed, failed._connected ? channel_end::BROKEN : channel_end::CONNECT_FAILED, false);
	}
}

void endpoint_channels::set_path_faults(std::function<path_fault(const network_address &)> p_find) {
	_faults.set(std::move(p_find));
	for (auto &[endpoint, stack] : _idle) {
		for (std::unique_ptr<channel> &entry : stack) {
			if (_faults.get(entry->_request.to) != path_fault::NONE) {
				_free(std::move(entry));
			}
		}
		std::erase(stack, nullptr);
	}
	for (const auto &[id, entry] : _busy) {
		const path_fault fault = _faults.get(entry->_request.to);
		if (fault != path_fault::NONE) {
			entry->fail_path_after(fault == path_fault::REFUSED ? duration::zero() : USER_TIMEOUT);
		}
	}
}

bool endpoint_channels::has_unread(exchange_id p_id) const {
	const auto found = _busy.find(p_id);
	return found != _busy.end() && found->second->_connected && get_unread_bytes(bufferevent_getfd(found->second->_stream)) > 0;
}

channel_position endpoint_channels::get_position(exchange_id p_id) const {
	const auto found = _busy.find(p_id);
	return found == _busy.end() ? channel_position() : found->second->get_position();
}

void endpoint_channels::set_reading(exchange_id p_id, bool p_reads) {
	const auto found = _busy.find(p_id);
	if (found != _busy.end()) {
		found->second->set_paused(!p_reads);
	}
}

void endpoint_channels::cancel(exchange_id p_id) {
	const auto found = _busy.find(p_id);
	if (found == _busy.end()) {
		return;
	}
	std::unique_ptr<channel> owned = std::move(found->second);
	_busy.erase(found);
	_free(std::move(owned));
}

void endpoint_channels::_on_idle_event(channel *p_channel) {
	const auto kept = _idle.find(p_channel->_endpoint);
	if (kept == _idle.end()) {
		return;
	}
	std::vector<std::unique_ptr<channel>> &stack = kept->second;
	const auto found = std::find_if(stack.begin(), stack.end(), [p_channel](const std::unique_ptr<channel> &p_entry) { return p_entry.get() == p_channel; });
	if (found == stack.end()) {
		return;
	}
	std::unique_ptr<channel> owned = std::move(*found);
	stack.erase(found);
	_free(std::move(owned));
}

void endpoint_channels::drop_idle(const endpoint_identity &p_endpoint) {
	const auto kept = _idle.find(p_endpoint);
	if (kept == _idle.end()) {
		return;
	}
	for (std::unique_ptr<channel> &entry : kept->second) {
		_free(std::move(entry));
	}
	_idle.erase(kept);
}

std::size_t endpoint_channels::end_replaced(const endpoint_identity &p_endpoint, duration p_started_ago) {
	drop_idle(p_endpoint);
	const instant latest = event_loop::now() - std::max(p_started_ago, RESTART_NOTICE_DELAY);
	std::vector<exchange_id> replaced;
	for (const auto &[id, entry] : _busy) {
		if (entry->_endpoint == p_endpoint && entry->_opened_at < latest) {
			replaced.push_back(id);
		}
	}
	for (const exchange_id id : replaced) {
		const auto found = _busy.find(id);
		// The hook of one exchange may have cancelled another.
		if (found != _busy.end()) {
			channel &ended = *found->second;
			_finish(ended, ended._connected ? channel_end::BROKEN : channel_end::CONNECT_FAILED, false);
		}
	}
	return replaced.size();
}

void endpoint_channels::_sweep() {
	const instant now = event_loop::now();
	for (auto &[endpoint, stack] : _idle) {
		for (std::unique_ptr<channel> &entry : stack) {
			if (now - entry->_idle_since > entry->_kept_for) {
				_free(std::move(entry));
			}
		}
		std::erase(stack, nullptr);
	}
	std::erase_if(_idle, [](const auto &p_entry) { return p_entry.second.empty(); });
	_sweep_timer.set(SWEEP_INTERVAL);
}

} // namespace calicoscale
