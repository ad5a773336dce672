/*
 * calicoscale: rollout_service.h
 * Moves services to other versions as the operator orders.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_SERVICE_H
#define ROLLOUT_SERVICE_H

#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/rollout_writer.h"
#include "servers/membership/hub_aggregate.h"
#include "servers/rollout/call_share.h"
#include "servers/rollout/open_run_counter.h"
#include "servers/rollout/rollout_table.h"
#include "servers/rollout/version_times.h"
#include "servers/routing/router.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/** Identifies a run at an endpoint for the accounting by version. */
struct version_run {
	std::string service;
	std::string endpoint;
	std::string version;
};

/**
 * Follows the operator's orders in the configuration's topic, exchanges them and counts of answers with peers by heartbeats, limits
 * the share of requests that each version gets, and writes the outcome to the store.
 */
class rollout_service {
	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	gateway_fleet &_fleet;
	rollout_table _table;
	rollout_writer _writer;
	hub_aggregate<rollout_reports> _sums{ &add_reports };
	heartbeat_sender _role;
	instant _total_received_at{}; ///< When the hub that this node follows last sent the total of all nodes.
	open_run_counter _runs;
	version_times _times;
	std::map<std::string, call_share> _call_shares; ///< By service, for calls that this node dispatches.
	std::unordered_map<std::string, std::string> _versions; ///< Version of each endpoint of the services that are rolled out, by endpoint name.
	timer _tick_timer;

	void _apply_answer(const store_answer &p_answer, bool p_is_whole);
	void _write_heartbeat(heartbeat_peer p_peer, const heartbeat_sender &p_sender, heartbeat_message &r_message);
	void _read_heartbeat(const heartbeat_source &p_source, const heartbeat_message &p_message);
	rollout_view _get_view(const rollout &p_rollout, instant p_now) const;
	void _publish_changes();
	void _tick();

public:
	rollout_service(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, gateway_fleet &p_fleet);

	/** Selects the endpoints of the services that are rolled out from the list of all endpoints. */
	void set_endpoints(const std::vector<endpoint_listing> &p_listings);

	/** Whether there is or was an order to move a service. */
	bool is_rolled_out(const std::string &p_service) const { return _table.find(p_service) != nullptr; }

	/** Whether a request of a service is among those selected for the target version of its roll-out. */
	bool is_for_target(const std::string &p_service, const std::string &p_request) const;

	/** Whether a version is the target of its service's roll-out. */
	bool is_target(const std::string &p_service, const std::string &p_version) const;

	/** Whether all requests of a service go to the target version. */
	bool has_moved(const std::string &p_service) const;

	/** Whether an endpoint may get requests: those selected for the target version if p_for_target, otherwise the others. */
	bool admits(const endpoint_listing &p_listing, bool p_for_target) const;

	/**
	 * Whether a call to a replica of a stage pool stays within the versions' shares.
	 * @param p_items number of items that the call may carry.
	 */
	bool may_call(const std::string &p_service, const std::string &p_replica, std::size_t p_items) const;

	/** Records that a call was sent. Returns the run to pass to on_ended(). */
	version_run on_call(const std::string &p_service, const std::string &p_replica, std::size_t p_items);

	/** Records that a request was sent. */
	void on_started(const version_run &p_run) { _runs.on_started(p_run.service, p_run.version); }

	/** Records that a run ended, with any outcome. */
	void on_ended(const version_run &p_run) { _runs.on_ended(p_run.service, p_run.version); }

	/** Records an answer or a failure of an endpoint. @param p_elapsed time since the request was sent. */
	void on_answer(const version_run &p_run, const std::string &p_route, bool p_has_failed, duration p_elapsed);

	/** Updates the gauges of all roll-outs. */
	void report();
};

} // namespace calicoscale

#endif // ROLLOUT_SERVICE_H
