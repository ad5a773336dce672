/*
 * calicoscale: gateway.h
 * One entry node on a platform with a keyed store: makes its services and ties them together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_H
#define GATEWAY_H

#include "main/gateway/activity_report.h"
#include "main/gateway/admission.h"
#include "main/gateway/commitment_exchange.h"
#include "main/gateway/gateway_request.h"

#include <functional>
#include <map>
#include <memory>

namespace calicoscale {

/** One gateway node. */
class gateway {
	enum class stop_phase {
		NONE,
		LISTENING, ///< Not ready any more; the balancer has time to notice.
		ENDING, ///< Idle connections are closed; what surely ends in time is still served, as a zone with few nodes left gets it.
		FINISHING, ///< Accepts no connections; what is in flight goes on.
		ANSWERING, ///< The grace is nearly over: what has no answer yet gets its final one.
	};

	gateway_context _context;
	configuration_follower _configuration;
	endpoint_follower _endpoints;
	evacuation_follower _evacuations;
	commitment_table _commitments;
	commitment_exchange _commitments_told;
	gateway_fleet _fleet;
	rollout_service _rollouts;
	send_guard _guard;
	stage_dispatcher _dispatcher;
	router _services;
	router _engines;
	engine_view _engine_caches;
	prompt_exchange _prompts;
	crash_guard _crashes;
	std::map<std::string, retry_window> _repeats;
	std::map<std::string, duration> _usual_times;
	std::map<std::string, duration> _first_event_times;
	request_services _shared;
	admission _admission;
	std::map<std::uint64_t, std::unique_ptr<gateway_request>> _requests;
	std::uint64_t _next_request = 1;
	caller_server _callers;
	caller_server _readiness;
	std::unique_ptr<caller_server> _metrics_server;
	activity_report _activities;
	timer _tick_timer;
	std::vector<std::shared_ptr<caller_exchange>> _waiting; ///< Came before this node knew what others do, or what changed while it was away.
	instant _away_until{}; ///< When it was last away for longer than it may serve unasked.
	timer _settle_timer;
	instant _started_at{};
	bool _settled = false;
	stop_phase _phase = stop_phase::NONE;
	instant _stop_started{};
	bool _was_ready = false;
	bool _has_stopped = false;
	sigc::connection _held_up; ///< The loop outlives this.

	bool _is_ready() const;
	void _on_configuration();
	void _on_endpoints();
	void _on_evacuation(const evacuation_change &p_change);
	std::vector<endpoint_identity> _note_changes(router &r_choices);
	void _end_replaced(const std::vector<endpoint_identity> &p_replaced, const router &p_choices);
	/** Ends the runs of endpoints at whose addresses others started. */
	void _end_superseded();
	void _on_reach_changed(const std::set<std::string> &p_zones);
	void _on_exchange(const std::shared_ptr<caller_exchange> &p_exchange);
	void _refuse(caller_exchange &p_exchange, int p_status, reason p_reason);
	void _settle();
	void _take_waiting();
	bool _must_wait(const gateway_route &p_route) const;
	/** Keeps a request until this node may decide on it. */
	void _hold(const std::shared_ptr<caller_exchange> &p_exchange);
	void _update_readiness();
	/** Once the balancer has noticed the stop: whether the request might outlast it. */
	bool _refuse_if_stopping(const admitted_request &p_request);
	/** Sends a refusal if there is one. */
	bool _refuse_if(const std::optional<refusal> &p_refusal, const admitted_request &p_request);
	void _run(admitted_request p_request);
	void _on_readiness(caller_exchange &p_exchange);
	void _on_metrics(caller_exchange &p_exchange);
	void _on_held_up(const hold_up &p_hold_up);
	bool _is_catching_up() const;
	duration _get_idle_limit() const;
	void _on_slow_reader(const slow_reader &p_reader);
	void _on_crossed(const crossed_end &p_crossed);
	void _tick();
	void _enter(stop_phase p_phase, const char *p_name);
	void _advance_stop();
	void _for_each_request(const std::function<void(gateway_request &)> &p_hook);
	void _answer_all();

public:
	/**
	 * Opens all ports at once.
	 * @throws std::runtime_error when one cannot be bound.
	 */
	gateway(event_loop &p_loop, const gateway_settings &p_settings);
	~gateway();
	gateway(const gateway &) = delete;
	gateway &operator=(const gateway &) = delete;

	/** Begins to work. */
	void start();

	/** Begins a planned stop; the loop is stopped when it is done. A second call does nothing. */
	void stop();

	/** Whether a planned stop is over and the loop was stopped for it. */
	bool has_stopped() const { return _has_stopped; }

	/** Tells what a reading of the settings file brought. */
	void note_reload(const std::string &p_outcome);

	/** Stage work of other nodes, and of this one, that this node dispatches now. */
	std::size_t get_handed_work() const { return _dispatcher.get_accepted_count(); }

	/** Whether it takes requests, as its readiness address tells. */
	bool is_ready() const { return _is_ready(); }

	/** Bytes that it sent to other nodes, by kind of message. */
	const std::map<std::string_view, std::uint64_t> &get_link_bytes() const { return _fleet.get_link().get_bytes_by_kind(); }

	/** Nodes that this one heard just now, itself included. */
	std::size_t get_live_count() const { return _fleet.get_live_count(); }

	/** Nodes that this one has a link to. */
	std::size_t get_link_count() { return _fleet.get_link().get_linked().size(); }

	const network_address &get_caller_address() const { return _callers.get_address(); }
	const network_address &get_readiness_address() const { return _readiness.get_address(); }
	/** Only with an address for metrics in its settings. */
	const network_address &get_metrics_address() const { return _metrics_server->get_address(); }
	const network_address &get_link_address() { return _fleet.get_link().get_address(); }
};

} // namespace calicoscale

#endif // GATEWAY_H
