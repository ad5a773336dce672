/*
 * calicoscale: soak_fleet.h
 * The processes, links and endpoints of a soak, and what is done to them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include "tests/soak/fault_proxy.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/later_queue.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_endpoint.h"
#include "tests/soak/soak_schedule.h"
#include "tests/standins/standin_store.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Where the program and the files of one soak are. */
struct soak_place {
	std::string program;
	std::string directory; ///< For settings and logs of the nodes.
};

/** Starts all that takes part, and does to it what the schedule says. */
class soak_fleet {
	struct node {
		std::unique_ptr<fault_proxy> callers;
		std::unique_ptr<fault_proxy> store;
		std::unique_ptr<fault_proxy> peers;
		std::unique_ptr<gateway_process> process;
		bool is_killed = false;
		instant started_at{}; ///< When its program ran.
		bool is_stopping = false;
		instant must_end_at{}; ///< Of a stop.
	};

	struct endpoint {
		std::unique_ptr<soak_endpoint> server;
		std::unique_ptr<fault_proxy> link;
		bool is_in_use = true; ///< Neither crashed nor leaving.
		std::size_t returns = 0;
		std::optional<std::size_t> next_version; ///< Of its software, from its next start on.
	};

	event_loop &_loop;
	promise_book &_book;
	disturbance_log &_disturbances;
	notice_book _notices;
	std::vector<caller_site> &_sites;
	soak_place _place;
	soak_size _size;
	later_queue _later;
	standin_store _store;
	std::vector<node> _nodes;
	std::vector<endpoint> _endpoints;
	std::unique_ptr<caller_server> _trap;
	std::size_t _spoilt = 0;
	std::size_t _replacements = 0; ///< Of the seeds.
	timer _watch_timer;
	instant _watched_at{};

	void _add_node(std::size_t p_number);
	void _write_settings(std::size_t p_number, bool p_is_first_start) const;
	void _start_node(std::size_t p_number);
	void _watch();
	void _on_node_ended(std::size_t p_number);
	void _kill(std::size_t p_number);
	void _stop(std::size_t p_number);
	/** Addresses that the settings of a node name. Nodes that are no seeds keep those of the first seeds. */
	std::vector<network_address> _get_seeds(std::size_t p_number) const;
	void _replace_seeds();
	void _stand_still(std::size_t p_number, duration p_length);
	void _harm_link(disturbance p_kind, std::size_t p_subject, fault_proxy &r_link, const soak_event &p_event);
	void _disturb_store(const soak_event &p_event);
	void _copy_store(duration p_age);
	void _come_back_from_copy();
	void _write_again(std::size_t p_endpoint);
	void _put_endpoint(std::size_t p_number, bool p_is_leaving);
	void _end_endpoint(std::size_t p_number, duration p_until_start);
	void _start_endpoint(std::size_t p_number);
	void _check_returned(std::size_t p_number, instant p_since);
	void _leave(std::size_t p_number, duration p_until_start);
	void _misbehave(const soak_event &p_event);
	void _vary_ends(const soak_event &p_event);
	void _send_malformed(const soak_event &p_event);
	void _repeat_answers(const soak_event &p_event);
	/** An endpoint says something in its answers for a while. */
	void _say(const soak_event &p_event);
	void _leave_by_word(std::size_t p_number, duration p_until_end);
	void _put_spoilt(std::size_t p_choice);
	std::vector<std::size_t> _find_zone_mates(std::size_t p_endpoint) const;

public:
	soak_fleet(event_loop &p_loop, promise_book &p_book, disturbance_log &p_disturbances, std::vector<caller_site> &r_sites, soak_place p_place, const soak_size &p_size);
	soak_fleet(const soak_fleet &) = delete;
	soak_fleet &operator=(const soak_fleet &) = delete;

	void apply(const soak_event &p_event);

	/** Puts the next version of the configuration. */
	void configure();

	/** Whether the node's process runs and was not told to stop. */
	bool is_in_service(std::size_t p_node) const;
	network_address get_readiness_address(std::size_t p_node) const;
	network_address get_metrics_address(std::size_t p_node) const;

	/** Up to when turns that held the soak up are noted. */
	instant get_watched_at() const { return _watched_at; }
};

} // namespace calicoscale

#endif // SOAK_FLEET_H
