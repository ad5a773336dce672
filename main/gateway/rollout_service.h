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
#include "servers/membership/hub_sums.h"
#include "servers/rollout/call_share.h"
#include "servers/rollout/rollout_table.h"
#include "servers/rollout/version_runs.h"
#include "servers/rollout/version_times.h"
#include "servers/routing/router.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/** A run at an endpoint, as far as versions are concerned. */
struct version_run {
	std::string service;
	std::string endpoint;
	std::string version;
};

/**
 * Follows the operator's orders in the configuration's topic, tells peers of them and of answers with heartbeats, bounds what
 * versions get, and writes the outcome.
 */
class rollout_service {
	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	gateway_fleet &_fleet;
	rollout_table _table;
	rollout_writer _writer;
	hub_sums<rollout_reports> _sums{ &add_reports };
	beat_sender _role;
	instant _total_at{}; ///< When the hub that this node relies on last told the sum of all.
	version_runs _runs;
	version_times _times;
	std::map<std::string, call_share> _call_shares; ///< By service, for calls that this node dispatches.
	std::unordered_map<std::string, std::string> _versions; ///< Of endpoints of services that are rolled out, by name.
	timer _tick_timer;

	void _take_answer(const store_answer &p_answer, bool p_is_whole);
	void _write_beat(beat_peer p_peer, const beat_sender &p_sender, heartbeat_message &r_message);
	void _read_beat(const beat_source &p_source, const heartbeat_message &p_message);
	rollout_view _get_view(const rollout &p_rollout, instant p_now) const;
	void _tell_changes();
	void _tick();

public:
	rollout_service(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, gateway_fleet &p_fleet);

	/** Takes the endpoints of the services that are rolled out, from the list of all. */
	void set_endpoints(const std::vector<endpoint_listing> &p_listings);

	/** Whether there is, or was, an order to move a service. */
	bool is_rolled_out(const std::string &p_service) const { return _table.find(p_service) != nullptr; }

	/** Whether requests of a service that are chosen for it go to the target of a roll-out. */
	bool is_for_target(const std::string &p_service, const std::string &p_request) const;

	/** Whether all requests of a service go to the target. */
	bool has_moved(const std::string &p_service) const;

	/** Whether an endpoint may get requests, of those for the target or of the others. */
	bool admits(const endpoint_listing &p_listing, bool p_for_target) const;

	/** Whether a call to a stage pool's replica keeps to the shares. @param p_pieces that it may carry. */
	bool may_call(const std::string &p_service, const std::string &p_replica, std::size_t p_pieces) const;

	/** A call was sent. Returns what to end it with. */
	version_run on_call(const std::string &p_service, const std::string &p_replica, std::size_t p_pieces);

	/** A request was sent. */
	void on_started(const version_run &p_run) { _runs.on_started(p_run.service, p_run.version); }

	/** A run ended, however. */
	void on_ended(const version_run &p_run) { _runs.on_ended(p_run.service, p_run.version); }

	/** An endpoint answered, or failed to. @param p_elapsed since it was asked. */
	void on_answer(const version_run &p_run, const std::string &p_route, bool p_has_failed, duration p_elapsed);

	/** Writes gauges. */
	void report();
};

} // namespace calicoscale

#endif // ROLLOUT_SERVICE_H
