/*
 * calicoscale: endpoint_probe.cpp
 * Checks by a new connection whether an endpoint is reachable.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/endpoint_probe.h"

#include "drivers/socket_address.h"

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace calicoscale {

namespace {

/** Many round trips within a region; a port without a listener refuses within one. */
constexpr timeval PROBE_TIMEOUT{ 0, 500'000 };

/** Returns the error of a connection attempt; 0 when it succeeded. */
int get_connect_error(int p_socket) {
	int error = 0;
	socklen_t size = sizeof(error);
	return getsockopt(p_socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

probe_end get_end(int p_error) {
	if (p_error == 0) {
		return probe_end::ACCEPTED;
	}
	return p_error == ECONNREFUSED ? probe_end::REFUSED : probe_end::SILENT;
}

} // namespace

/** One connection attempt. */
class endpoint_probe::probe {
	struct event_deleter {
		void operator()(event *p_event) const { event_free(p_event); }
	};

	int _socket;
	int _error = 0; ///< Error of connect() itself, before waiting for the result.
	std::unique_ptr<event, event_deleter> _event;
	std::function<void(probe_end)> _hook;

	static void _on_event(int p_socket, short p_what, void *p_self) {
		const probe &self = *static_cast<probe *>(p_self);
		if ((p_what & EV_TIMEOUT) != 0) {
			self._hook(probe_end::SILENT);
			return;
		}
		self._hook(get_end(self._error != 0 ? self._error : get_connect_error(p_socket)));
	}

public:
	probe(event_loop &p_loop, const network_address &p_address, path_fault p_fault, std::function<void(probe_end)> p_hook) :
			_socket(p_fault == path_fault::NONE ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1),
			_event(event_new(p_loop.get_base(), _socket, EV_WRITE, &probe::_on_event, this)),
			_hook(std::move(p_hook)) {
		if (p_fault == path_fault::SILENT) {
			event_add(_event.get(), &PROBE_TIMEOUT);
			return;
		}
		const sockaddr_in address = make_socket_address(p_address);
		const bool is_begun = _socket >= 0 && (connect(_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 || errno == EINPROGRESS);
		if (is_begun) {
			event_add(_event.get(), &PROBE_TIMEOUT);
			return;
		}
		_error = p_fault == path_fault::REFUSED ? ECONNREFUSED : errno;
		event_active(_event.get(), EV_WRITE, 0);
	}

	~probe() {
		_event.reset();
		if (_socket >= 0) {
			close(_socket);
		}
	}

	probe(const probe &) = delete;
	probe &operator=(const probe &) = delete;
};

endpoint_probe::endpoint_probe(event_loop &p_loop, const path_faults &p_faults) :
		_loop(p_loop), _faults(p_faults) {
}

endpoint_probe::~endpoint_probe() = default;

void endpoint_probe::start(const network_address &p_address, std::function<void(probe_end)> p_hook) {
	const std::uint64_t id = _next_id++;
	const auto finish = [this, id, hook = std::move(p_hook)](probe_end p_end) {
		const auto found = _probes.find(id);
		// Freed from the loop, as this runs inside the probe.
		const std::shared_ptr<probe> ended = std::move(found->second);
		_probes.erase(found);
		_loop.post([ended] {});
		hook(p_end);
	};
	_probes.emplace(id, std::make_unique<probe>(_loop, p_address, _faults.get(p_address), finish));
}

} // namespace calicoscale
