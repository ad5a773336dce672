/*
 * calicoscale: node.h
 * One entry node: creates its services and connects them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_H
#define NODE_H

#include "main/serve/admin_interface.h"
#include "main/serve/caller_interface.h"

namespace calicoscale {

/** Entry node: owns its services and runs the drain before a planned stop. */
class node {
	enum class drain_phase {
		NONE,
		LISTENING, ///< Not ready, but still listening, so that the load balancer has time to notice.
		FINISHING, ///< The listener is closed; requests in flight continue.
		FLUSHING, ///< No request is in flight, or the longest drain time is over; outstanding costs are written to the ledger.
	};

	node_context _context;
	router _router;
	customer_limiter _limiter;
	configuration_service _configuration;
	admin_interface _admin;
	fleet_service _fleet;
	ledger_service _ledger;
	request_service _requests;
	once_service _once;
	request_door _door;
	resume_service _resumes;
	caller_interface _callers;
	timer _tick_timer;
	drain_phase _phase = drain_phase::NONE;
	instant _drain_started{};
	instant _flush_started{};
	bool _was_ready = false;

	void _on_configuration();
	void _tick();
	void _advance_drain();
	void _enter_phase(drain_phase p_phase, const char *p_name);

public:
	/**
	 * Binds all ports.
	 * @throws std::runtime_error when a port cannot be bound.
	 */
	node(event_loop &p_loop, const node_settings &p_settings);

	/** Starts the services. */
	void start();

	/** Starts a planned stop; the event loop is stopped when the drain is complete. Further calls do nothing. */
	void drain();

	const network_address &get_caller_address() const { return _callers.get_address(); }
	const network_address &get_admin_address() const { return _admin.get_address(); }
	const network_address &get_link_address() { return _fleet.get_link().get_address(); }
};

} // namespace calicoscale

#endif // NODE_H
