/*
 * calicoscale: gateway.h
 * One gateway node on a platform with a keyed store: creates its services and connects them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_H
#define GATEWAY_H

#include "main/gateway/activity_report.h"
#include "main/gateway/admission.h"
#include "main/gateway/commitment_sync.h"
#include "main/gateway/gateway_request.h"
#include "main/gateway/store_report.h"
#include "servers/limits/connection_shedder.h"

#include <functional>
#include <map>
#include <memory>

namespace calicoscale {

/** One gateway node. */
class gateway {
	enum class stop_phase {
		NONE,
		LISTENING, ///< No longer ready; the balancer is given time to notice.
		ENDING, ///< Idle connections are closed. Requests that are certain to complete in time are still served, as a zone with few nodes left still receives them.
		FINISHING, ///< Accepts no connections; requests in flight continue.
		ANSWERING, ///< The grace period is nearly over: requests without an answer receive their final one.
	};

	gateway_context _context;
	configuration_follower _configuration;
	endpoint_follower _endpoints;
	evacuation_follower _evacuations;
	commitment_table _commitments;
	commitment_sync _commitment_sync;
	gateway_fleet _fleet;
	endpoint_exchanges _exchanges;
	rollout_service _rollouts;
	send_guard _guard;
	stage_dispatcher _dispatcher;
	router _services;
	router _engines;
	engine_view _engine_caches;
	prompt_sync _prompts;
	crash_guard _crashes;
	stream_sync _streams;
	origin_sync _origins;
	stream_resolver _resolver;
	retry_budget _repeats;
	std::map<std::string, duration> _typical_times;
	std::map<std::string, duration> _first_event_times;
	answer_buffers _buffers;
	request_services _shared;
	admission _admission;
	std::map<std::uint64_t, std::unique_ptr<gateway_request>> _requests;
	std::uint64_t _next_request = 1;
	connection_shedder _shedder;
	caller_server _callers;
	caller_server _readiness;
	std::unique_ptr<caller_server> _metrics_server;
	activity_report _activities;
	store_report _store_report;
	timer _tick_timer;
	std::vector<std::shared_ptr<caller_exchange>> _waiting; ///< Requests that arrived before this node knew the fleet, or before it knew what changed during a process stall.
	instant _stalled_until{}; ///< End of the last process stall that was so long that changes must be requested before serving.
	timer _settle_timer;
	instant _started_at{};
	bool _settled = false;
	stop_phase _phase = stop_phase::NONE;
	instant _stop_started{};
	bool _was_ready = false;
	bool _has_stopped = false;
	sigc::connection _stall_connection; ///< Disconnected on destruction, as the loop outlives this object.

	bool _is_ready() const;
	void _on_configuration();
	void _on_endpoints();
	void _on_evacuation(const evacuation_change &p_change);
	std::vector<endpoint_identity> _apply_changes(router &r_choices);
	void _end_replaced(const std::vector<endpoint_identity> &p_replaced, const router &p_choices);
	/** Ends the runs at endpoints whose addresses are now used by other endpoints. */
	void _end_superseded();
	void _on_reach_changed(const std::set<std::string> &p_zones);
	void _on_exchange(const std::shared_ptr<caller_exchange> &p_exchange);
	/** Continues with a request that resumes a stream once it is known which version began the stream. */
	void _resume(admitted_request p_request);
	/** Starts a request, or refuses it. */
	void _admit(admitted_request p_request);
	void _refuse(caller_exchange &p_exchange, reason p_reason);
	/** Refuses a request whose route or key the known configuration lacks. @param p_reason reason if the configuration is confirmed. */
	void _refuse_unknown(caller_exchange &p_exchange, reason p_reason);
	void _settle();
	void _process_waiting();
	bool _must_wait(const gateway_route &p_route) const;
	/** Defers a request until this node may decide on it. */
	void _defer(const std::shared_ptr<caller_exchange> &p_exchange);
	void _update_readiness();
	/** Refuses a request that might outlast the stop, once the balancer has noticed the stop. Returns whether it was refused. */
	bool _refuse_if_stopping(const admitted_request &p_request);
	/** Sends the refusal, if any. Returns whether there was one. */
	bool _refuse_if(const std::optional<refusal> &p_refusal, const admitted_request &p_request);
	void _run(admitted_request p_request);
	void _on_readiness(caller_exchange &p_exchange);
	void _on_metrics(caller_exchange &p_exchange);
	void _on_stall(const process_stall &p_hold_up);
	bool _is_catching_up() const;
	duration _get_idle_limit() const;
	void _on_slow_reader(const slow_reader &p_reader);
	void _on_post_close_input(const post_close_input &p_crossed);
	/** Whether to close a new connection that has waited to be accepted for a time. */
	bool _should_shed(duration p_waited);
	void _tick();
	void _enter(stop_phase p_phase, const char *p_name);
	void _advance_stop();
	void _for_each_request(const std::function<void(gateway_request &)> &p_hook);
	void _answer_all();

public:
	/**
	 * Opens all ports.
	 * @throws std::runtime_error if a port cannot be bound.
	 */
	gateway(event_loop &p_loop, const gateway_settings &p_settings);
	~gateway();
	gateway(const gateway &) = delete;
	gateway &operator=(const gateway &) = delete;

	void start();

	/** Begins a planned stop, at the end of which the loop is stopped. A second call does nothing. */
	void stop();

	/** Whether a planned stop has completed and stopped the loop. */
	bool has_stopped() const { return _has_stopped; }

	/** Logs the outcome of reloading the settings file. */
	void note_reload(const std::string &p_outcome);

	/** Number of works, of this and other nodes, that this node currently dispatches. */
	std::size_t get_accepted_work_count() const { return _dispatcher.get_accepted_count(); }

	/** Simulates failed paths from this node to endpoints, for failure tests. */
	void set_path_faults(std::function<path_fault(const network_address &)> p_find) { _context.channels.set_path_faults(std::move(p_find)); }

	/** Whether the node accepts requests, as reported at its readiness address. */
	bool is_ready() const { return _is_ready(); }

	/** Bytes sent to other nodes, by kind of message. */
	const std::map<std::string_view, std::uint64_t> &get_link_bytes() const { return _fleet.get_link().get_bytes_by_kind(); }

	/** Number of live nodes known to this node, including itself. */
	std::size_t get_live_count() const { return _fleet.get_live_count(); }

	/** Number of nodes to which this node has a link. */
	std::size_t get_link_count() { return _fleet.get_link().get_linked().size(); }

	const network_address &get_caller_address() const { return _callers.get_address(); }
	const network_address &get_readiness_address() const { return _readiness.get_address(); }
	/** May be called only if the settings contain an address for metrics. */
	const network_address &get_metrics_address() const { return _metrics_server->get_address(); }
	const network_address &get_link_address() { return _fleet.get_link().get_address(); }
};

} // namespace calicoscale

#endif // GATEWAY_H
