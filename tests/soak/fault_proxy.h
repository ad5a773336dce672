/*
 * calicoscale: fault_proxy.h
 * A TCP proxy that harms what passes through it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FAULT_PROXY_H
#define FAULT_PROXY_H

#include "drivers/event_loop.h"
#include "servers/routing/endpoint_state.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace calicoscale {

/** How the link is now. */
struct link_harm {
	duration delay{}; ///< Of each way.
	bool holds_up = false; ///< Nothing passes towards the target.
	bool holds_down = false; ///< Nothing passes back.
	std::size_t bytes_per_second = 0; ///< Of each connection and way; 0 is no limit.
	bool operator==(const link_harm &p_other) const = default;
};

/** Listens and passes on to a target. What one side ends or resets, the other sees ended or reset. */
class fault_proxy {
	class passage;

	event_loop &_loop;
	network_address _target;
	network_address _address;
	evconnlistener *_listener = nullptr;
	link_harm _harm;
	duration _usual_delay{};
	std::size_t _repeated_part = 0; ///< One in so many answers passes twice; 0 for none.
	std::size_t _repeatable = 0; ///< Number of answers that could have passed twice.
	std::vector<std::unique_ptr<passage>> _passages;
	timer _pump_timer;

	static void _on_accept(evconnlistener *, int p_socket, sockaddr *, int, void *p_self);
	void _pump();
	void _drop(passage *p_passage);

public:
	/** @throws std::runtime_error when the address cannot be bound. */
	fault_proxy(event_loop &p_loop, const network_address &p_address, network_address p_target);
	~fault_proxy();
	fault_proxy(const fault_proxy &) = delete;
	fault_proxy &operator=(const fault_proxy &) = delete;

	void set_target(const network_address &p_target) { _target = p_target; }
	/** Of each way, also while nothing harms the link. */
	void set_usual_delay(duration p_delay) { _usual_delay = p_delay; }
	void set_harm(const link_harm &p_harm) { _harm = p_harm; }

	/** From now on one in so many answers passes a second time, in turn immediately or where the next answer on its connection is due; 0 for none. */
	void set_repeated_part(std::size_t p_part) { _repeated_part = p_part; }

	/** Resets the connections that are open. */
	void reset_all();

	/** The connections that are open say nothing any more, in neither way, and are never closed. */
	void silence_all();

	const network_address &get_address() const { return _address; }
};

} // namespace calicoscale

#endif // FAULT_PROXY_H
