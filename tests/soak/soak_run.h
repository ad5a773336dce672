/*
 * calicoscale: soak_run.h
 * One soak: a seed, a schedule, a verdict.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_RUN_H
#define SOAK_RUN_H

#include "drivers/endpoint_channels.h"
#include "tests/soak/soak_fleet.h"

#include <list>
#include <memory>
#include <ostream>
#include <vector>

namespace calicoscale {

/** Plays the schedule of one seed and keeps what was found. */
class soak_run {
	/** What the platform's balancer knows of a node. */
	struct balancer_view {
		exchange_id question = 0;
		int status = 0;
		int misses = 2;
	};

	/** Asks one node which version is in force. */
	struct probe {
		std::unique_ptr<soak_connection> connection;
		std::shared_ptr<soak_attempt> attempt;
	};

	event_loop _loop;
	soak_size _size;
	std::uint64_t _seed;
	disturbance_log _disturbances;
	promise_book _book;
	std::vector<caller_site> _sites;
	soak_fleet _fleet;
	caller_context _context;
	std::vector<std::unique_ptr<soak_caller>> _callers;
	std::vector<balancer_view> _views;
	std::vector<probe> _probes;
	bool _is_ending = false; ///< No probe is sent any more.
	endpoint_channels _questions;
	later_queue _later;
	instant _started_at;
	std::size_t _probe_count = 0;
	std::size_t _malformed_count = 0;
	instant _served_to{}; ///< When the callers stopped.

	void _ask_readiness();
	void _probe_nodes();
	void _send_probe(std::size_t p_node);
	void _end_probe(std::size_t p_node);
	/** Sends each node in turn a request that is not valid HTTP. Endpoints judge whether one of its ids arrives. */
	void _send_malformed_request();
	void _stop_callers_once_judged(int p_extensions);
	void _stop_callers();
	/**
	 * Asks a node how many nodes it counts as live, until it counts all that run. Callers can't see that a fleet is in parts unless many
	 * of their streams break.
	 */
	void _check_fleet(std::size_t p_node, instant p_latest);
	void _on_live_count(std::size_t p_node, instant p_latest, const std::string &p_metrics);
	bool _is_anybody_waiting() const;
	/** Stops the loop when the last requests are judged; what is open at the latest time goes without an answer. */
	void _stop_once_judged(instant p_latest);
	/** Requests begun from then on must be served. */
	instant _get_served_from() const;

public:
	soak_run(std::uint64_t p_seed, const soak_size &p_size, const soak_place &p_place);

	/** Runs to its end. */
	void play();

	const promise_book &get_book() const { return _book; }
	void write_report(std::ostream &r_out) const;
};

} // namespace calicoscale

#endif // SOAK_RUN_H
