/*
 * calicoscale: send_guard.h
 * Keeps what this node sends within what endpoints say that they take.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SEND_GUARD_H
#define SEND_GUARD_H

#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/hub_relay.h"
#include "main/gateway/rollout_service.h"
#include "platform/request_codec.h"
#include "servers/gateway/endpoint_limits.h"
#include "servers/gateway/waiting_line.h"
#include "servers/routing/router.h"

#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Asks before each send whether the endpoint takes it, and takes from each answer what it says of its endpoint: a limit, of which
 * it tells the other nodes and hears from them, that it leaves, and that it wants rest.
 */
class send_guard {
	gateway_context &_context;
	configuration_follower &_configuration;
	gateway_fleet &_fleet;
	endpoint_follower &_endpoints;
	rollout_service &_rollouts;
	endpoint_limits _limits;
	hub_relay<limit_record> _relay;
	waiting_line _line;

	void _on_link_up(const std::string &p_vm);
	void _on_told(const std::string &p_vm, const tell_limits_message &p_message);
	void _send(const std::string &p_vm, const std::vector<limit_record> &p_records);
	void _note(limit_change p_change, const endpoint_identity &p_endpoint, std::string_view p_source);

public:
	send_guard(gateway_context &p_context, configuration_follower &p_configuration, gateway_fleet &p_fleet, endpoint_follower &p_endpoints, rollout_service &p_rollouts);

	endpoint_limits &get_limits() { return _limits; }

	/** What versions of a service may get. */
	rollout_service &get_rollouts() { return _rollouts; }

	/** Whether this node may send an endpoint one request more now. */
	bool may_send(const endpoint_identity &p_endpoint, sender_part p_part, instant p_now) { return _limits.may_send(p_endpoint, p_part, p_now); }

	/** This node sent a request. */
	void on_sent(const endpoint_identity &p_endpoint, instant p_now) { _limits.on_sent(p_endpoint, p_now); }

	/**
	 * The head of an answer came.
	 * @param p_is_signed whether the answer is the endpoint's own beyond doubt.
	 * @param p_sent_at when its request was sent.
	 */
	void on_answer(const endpoint_identity &p_endpoint, const endpoint_notice &p_notice, bool p_is_signed, instant p_sent_at);

	/**
	 * When a request may be sent from this node to one of the endpoints open to it; at once when there is none, as that is not
	 * for limits to judge.
	 * @param p_before requests that are to be sent before it.
	 */
	send_prospect predict(router &r_choices, const choice_request &p_request, std::size_t p_before);

	/** Requests that were admitted and not sent yet. */
	waiting_line &get_line() { return _line; }

	/** Follows the members of the zone and forgets what is over. To be called often. */
	void tick(bool p_is_settled);

	/** Writes gauges. */
	void report();
};

} // namespace calicoscale

#endif // SEND_GUARD_H
