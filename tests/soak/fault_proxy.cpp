/*
 * calicoscale: fault_proxy.cpp
 * A TCP proxy that harms what passes through it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/fault_proxy.h"

#include "drivers/http_reader.h"
#include "drivers/socket_address.h"
#include "tests/soak/socket_end.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace calicoscale {

namespace {

constexpr duration PUMP_INTERVAL = std::chrono::milliseconds(5);
constexpr int BACKLOG = 1024;
constexpr std::size_t MAX_HEADER_BYTES = 16UL * 1024;

bool is_whole_answer(const std::string &p_bytes) {
	http_reader reader(http_reader::kind::ANSWER, http_reader::hooks{ [](const http_head &) {}, [](std::string_view) {} }, MAX_HEADER_BYTES);
	return reader.feed(p_bytes) == p_bytes.size() && reader.get_state() == http_reader::state::COMPLETE;
}

} // namespace

/** One connection through the proxy. */
class fault_proxy::passage {
	struct part {
		instant due{};
		std::string bytes;
		bool is_end = false;
	};

	struct way {
		bufferevent *from = nullptr;
		bufferevent *to = nullptr;
		std::deque<part> parts;
		bool has_ended = false; ///< Its end was passed on.
		double allowance = 0.0; ///< Bytes that a narrow link lets pass now.
	};

	fault_proxy &_owner;
	bufferevent *_caller;
	bufferevent *_target;
	way _up;
	way _down;
	bool _is_silent = false;
	std::string _answer; ///< Bytes from the target since the last request.
	bool _repeats_late = false; ///< The answer passes a second time when the next request comes.

	static void _on_readable(bufferevent *p_stream, void *p_self) {
		passage &self = *static_cast<passage *>(p_self);
		evbuffer *input = bufferevent_get_input(p_stream);
		std::string bytes(evbuffer_get_length(input), '\0');
		evbuffer_remove(input, bytes.data(), bytes.size());
		self._add(p_stream, part{ self._get_due(), std::move(bytes), false });
	}

	static void _on_event(bufferevent *p_stream, short p_what, void *p_self) {
		passage &self = *static_cast<passage *>(p_self);
		if (self._is_silent) {
			return;
		}
		if ((p_what & BEV_EVENT_ERROR) != 0) {
			self._owner._drop(&self);
		} else if ((p_what & BEV_EVENT_EOF) != 0) {
			self._add(p_stream, part{ self._get_due(), "", true });
		}
	}

	/** Passes an end on once all that came before it is written. */
	static void _on_drained(bufferevent *, void *p_self) {
		passage &self = *static_cast<passage *>(p_self);
		for (const way *each : { &self._up, &self._down }) {
			if (each->has_ended && evbuffer_get_length(bufferevent_get_output(each->to)) == 0) {
				end_sending(bufferevent_getfd(each->to));
			}
		}
	}

	instant _get_due() const { return event_loop::now() + _owner._usual_delay + _owner._harm.delay; }

	/** Decides whether and when the answer of which bytes have arrived passes a second time. */
	void _on_answer_bytes(const std::string &p_bytes) {
		_answer += p_bytes;
		if (_owner._repeated_part == 0 || !is_whole_answer(_answer) || _owner._repeatable++ % _owner._repeated_part != 0) {
			return;
		}
		_repeats_late = (_owner._repeatable / _owner._repeated_part) % 2 == 0;
		if (!_repeats_late) {
			_down.parts.push_back(part{ _get_due(), _answer, false });
		}
	}

	void _on_request_bytes() {
		if (_repeats_late) {
			_down.parts.push_back(part{ _get_due(), _answer, false });
			_move(_down, _owner._harm.holds_down);
		}
		_repeats_late = false;
		_answer.clear();
	}

	void _add(const bufferevent *p_from, part p_part) {
		way &chosen = p_from == _caller ? _up : _down;
		const std::string bytes = p_part.bytes;
		chosen.parts.push_back(std::move(p_part));
		if (!bytes.empty()) {
			p_from == _caller ? _on_request_bytes() : _on_answer_bytes(bytes);
		}
		_move(chosen, p_from == _caller ? _owner._harm.holds_up : _owner._harm.holds_down);
	}

	void _move(way &r_way, bool p_is_held) {
		const std::size_t rate = _owner._harm.bytes_per_second;
		while (!p_is_held && !r_way.parts.empty() && r_way.parts.front().due <= event_loop::now() && (rate == 0 || r_way.allowance > 0.0)) {
			const part &first = r_way.parts.front();
			r_way.allowance -= static_cast<double>(first.bytes.size());
			if (first.is_end) {
				r_way.has_ended = true;
				_on_drained(nullptr, this);
			} else {
				bufferevent_write(r_way.to, first.bytes.data(), first.bytes.size());
			}
			r_way.parts.pop_front();
		}
	}

	bool _is_over() const {
		return _up.has_ended && _down.has_ended && evbuffer_get_length(bufferevent_get_output(_caller)) == 0 && evbuffer_get_length(bufferevent_get_output(_target)) == 0;
	}

public:
	passage(fault_proxy &p_owner, int p_socket) :
			_owner(p_owner), _caller(bufferevent_socket_new(p_owner._loop.get_base(), p_socket, 0)), _target(bufferevent_socket_new(p_owner._loop.get_base(), -1, 0)) {
		_up.from = _down.to = _caller;
		_up.to = _down.from = _target;
		for (bufferevent *stream : { _caller, _target }) {
			bufferevent_setcb(stream, &passage::_on_readable, &passage::_on_drained, &passage::_on_event, this);
		}
		const sockaddr_in address = make_socket_address(p_owner._target);
		bufferevent_socket_connect(_target, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
		bufferevent_enable(_caller, EV_READ | EV_WRITE);
		bufferevent_enable(_target, EV_READ | EV_WRITE);
	}

	/** Resets both ends, unless both had ended in good order. */
	~passage() {
		const bool is_orderly = _is_over() && !_is_silent;
		for (bufferevent *stream : { _caller, _target }) {
			const int socket = bufferevent_getfd(stream);
			bufferevent_free(stream);
			is_orderly ? close_socket(socket) : reset_socket(socket);
		}
	}

	passage(const passage &) = delete;
	passage &operator=(const passage &) = delete;

	void silence() {
		_is_silent = true;
		bufferevent_disable(_caller, EV_READ | EV_WRITE);
		bufferevent_disable(_target, EV_READ | EV_WRITE);
	}

	/** Moves what is due. False when the passage is over. */
	bool pump(double p_seconds) {
		if (_is_silent) {
			return true;
		}
		// An end is not read any further, so a reset behind it shows only here.
		const bool has_end = _up.has_ended || _down.has_ended;
		const bool is_reset = has_end && (has_socket_error(bufferevent_getfd(_caller)) || has_socket_error(bufferevent_getfd(_target)));
		if (is_reset || _is_over()) {
			return false;
		}
		for (way *each : { &_up, &_down }) {
			each->allowance = std::min(each->allowance, 0.0) + static_cast<double>(_owner._harm.bytes_per_second) * p_seconds;
		}
		_move(_up, _owner._harm.holds_up);
		_move(_down, _owner._harm.holds_down);
		return true;
	}
};

fault_proxy::fault_proxy(event_loop &p_loop, const network_address &p_address, network_address p_target) :
		_loop(p_loop), _target(std::move(p_target)), _pump_timer(p_loop, [this] { _pump(); }) {
	const sockaddr_in address = make_socket_address(p_address);
	_listener = evconnlistener_new_bind(p_loop.get_base(), &fault_proxy::_on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, BACKLOG, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
	if (_listener == nullptr) {
		throw std::runtime_error("cannot listen at " + to_string(p_address));
	}
	_address = get_bound_address(evconnlistener_get_fd(_listener), p_address.host);
	_pump_timer.set(PUMP_INTERVAL);
}

fault_proxy::~fault_proxy() {
	evconnlistener_free(_listener);
}

void fault_proxy::_on_accept(evconnlistener *, int p_socket, sockaddr *, int, void *p_self) {
	fault_proxy &self = *static_cast<fault_proxy *>(p_self);
	self._passages.push_back(std::make_unique<passage>(self, p_socket));
}

void fault_proxy::_drop(passage *p_passage) {
	const auto found = std::find_if(_passages.begin(), _passages.end(), [p_passage](const std::unique_ptr<passage> &p_entry) { return p_entry.get() == p_passage; });
	if (found != _passages.end()) {
		// Freed from the loop, as this may run inside one of its callbacks.
		const std::shared_ptr<passage> removed = std::move(*found);
		_passages.erase(found);
		_loop.post([removed] {});
	}
}

void fault_proxy::_pump() {
	for (std::size_t i = _passages.size(); i > 0; i--) {
		if (!_passages[i - 1]->pump(to_seconds(PUMP_INTERVAL))) {
			_drop(_passages[i - 1].get());
		}
	}
	_pump_timer.set(PUMP_INTERVAL);
}

void fault_proxy::reset_all() {
	_passages.clear();
}

void fault_proxy::silence_all() {
	for (const std::unique_ptr<passage> &entry : _passages) {
		entry->silence();
	}
}

} // namespace calicoscale
