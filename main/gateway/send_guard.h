/*
 * calicoscale: send_guard.h
 * Keeps what this node sends within the limits that endpoints advertise.
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
#include "servers/gateway/service_queue.h"
#include "servers/routing/router.h"

#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Checks before each send whether the endpoint accepts it, and applies what each answer reports about its endpoint: a limit, which
 * nodes exchange with each other, that the endpoint is leaving, or that it requests a back-off.
 */
class send_guard {
	gateway_context &_context;
	configuration_follower &_configuration;
	gateway_fleet &_fleet;
	endpoint_follower &_endpoints;
	rollout_service &_rollouts;
	endpoint_limits _limits;
	hub_relay<limit_record> _relay;
	service_queue _queue;

	void _on_link_up(const std::string &p_vm);
	void _on_limits_reported(const std::string &p_vm, const report_limits_message &p_message);
	void _send(const std::string &p_vm, const std::vector<limit_record> &p_records);
	void _log_change(limit_change p_change, const endpoint_identity &p_endpoint, std::string_view p_source);

public:
	send_guard(gateway_context &p_context, configuration_follower &p_configuration, gateway_fleet &p_fleet, endpoint_follower &p_endpoints, rollout_service &p_rollouts);

	endpoint_limits &get_limits() { return _limits; }

	/** Roll-outs, which decide what the versions of a service may be sent. */
	rollout_service &get_rollouts() { return _rollouts; }

	/** Whether this node may send one more request to an endpoint now. */
	bool may_send(const endpoint_identity &p_endpoint, sender_share p_part, instant p_now) { return _limits.may_send(p_endpoint, p_part, p_now); }

	/** Records that this node sent a request. */
	void on_sent(const endpoint_identity &p_endpoint, instant p_now) { _limits.on_sent(p_endpoint, p_now); }

	/**
	 * Applies the notices in the head of an answer.
	 * @param p_is_signed Whether the answer is verified to come from the endpoint.
	 * @param p_sent_at Time at which the request was sent.
	 */
	void on_answer(const endpoint_identity &p_endpoint, const endpoint_notice &p_notice, bool p_is_signed, instant p_sent_at);

	/**
	 * Predicts when this node may send a request to one of the endpoints open to it. Predicts no wait if there are none, as this
	 * case isn't decided by limits.
	 * @param p_before Number of requests that must be sent before it.
	 */
	send_prospect predict(router &r_choices, const choice_request &p_request, std::size_t p_before);

	/** Queue of requests that were admitted and have not been sent yet. */
	service_queue &get_queue() { return _queue; }

	/** Updates the senders with the members of the zone and removes expired limits. Must be called often. */
	void tick(bool p_is_settled);

	/** Sets the gauges in the metrics. */
	void report();
};

} // namespace calicoscale

#endif // SEND_GUARD_H
