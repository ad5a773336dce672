/*
 * calicoscale: store_fleet.h
 * A whole fleet in virtual time that follows the endpoints in a simulated store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_FLEET_H
#define STORE_FLEET_H

#include "servers/gateway/read_schedule.h"
#include "servers/membership/list_budget.h"
#include "servers/membership/list_request.h"
#include "tests/servers/simulated_store.h"

#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace calicoscale {

/** How the nodes of a store_fleet read the store when their reader does not send them the data. */
enum class read_policy {
	IN_TURNS, ///< One after the other; whoever reads tells its zone, and lists come from peers.
	EACH_BY_ITSELF, ///< Each node at once, for itself.
};

/** What disturbs a fleet. */
enum class store_trigger {
	STORE_REFUSES,
	STORE_SILENT,
	STORE_SLOW,
	ALL_START,
	READERS_LOST,
	THIRD_TURNED_AWAY,
	FIRST_READERS_TURNED_AWAY, ///< As before, with the first two nodes of each zone in the order of reading among them.
	STORE_RESTORED,
	LISTS_DIFFER,
};

/** What a play of a fleet showed. Node times are in seconds of virtual time. */
struct fleet_result {
	double first_check = 0.0; ///< When the data must be recent again: three seconds after the end of the trigger.
	std::size_t outdated_nodes = 0; ///< Nodes whose data were older than two seconds after first_check.
	double oldest_age = 0.0; ///< Highest age of a node's data after first_check, in seconds.
	double last_outdated_at = 0.0; ///< When a node last had data older than two seconds; 0 if none had.
	std::size_t outdated_turned_away = 0; ///< Nodes turned away by the store whose data were older than two seconds at any time.
	double oldest_turned_away = 0.0; ///< Highest age of the data of a node turned away, in seconds.
	double most_asked_bytes = 0.0; ///< Most bytes asked of the store in a second after first_check.
	double calls_per_node = 0.0; ///< Reads of the store in the whole play.
	std::size_t differing_lists = 0; ///< Nodes whose list is wrong at the end.
};

/**
 * Plays a fleet of five zones, ten endpoints a node. The nodes decide by read_schedule, find_read_position(), get_read_step(),
 * choose_reader(), list_request and list_budget; the simulation replaces the event loop, the links and the store. Messages
 * between nodes arrive after 1 ms plus the time of their bytes on the sender's link.
 */
class store_fleet {
	struct node {
		std::string vm;
		std::size_t zone = 0;
		std::size_t position = 0; ///< In the order of reading.
		bool is_alive = true;
		bool is_reader = false;
		bool is_hub = false;
		bool is_linked = false;
		bool is_turned_away = false;
		bool was_outdated = false;
		bool was_outdated_turned_away = false;
		read_schedule schedule;
		list_request request;
		list_budget budget;
		log_position known;
		bool is_loaded = false;
		bool was_loaded = false;
		bool is_substitute = false;
		bool is_era_unreported = false;
		bool has_list_need = false;
		bool is_missed_delta = false; ///< The list is needed because of a missed delta.
		bool asks_lists = false; ///< An event that requests lists is scheduled.
		std::uint64_t list = 0; ///< Contents of the list; 0 is what the store has.
		instant ready_at{}; ///< When it first knew a list.
		duration answer_time{}; ///< Time that the store recently took to answer.
		instant list_needed_at{};
		instant difference_found_at{};
		instant due_at{};
		instant answered_at{};
		instant state_at{}; ///< Age of the data: when the store had this state.
		instant link_free_at{};
		std::uint64_t timer = 0; ///< Timers set earlier are void.
		std::uint64_t list_timer = 0;

		node(std::string p_vm, std::size_t p_zone);
	};

	struct event {
		instant at{};
		std::uint64_t number = 0;
		std::function<void()> act;
		bool operator>(const event &p_other) const { return at != p_other.at ? at > p_other.at : number > p_other.number; }
	};

	/** Data that a node sends to others; see endpoint_delta. */
	struct delta {
		log_position from;
		log_position to;
		instant state_at{};
		std::uint64_t list = 0;
		bool is_whole = false;
	};

	const read_policy _policy;
	const store_trigger _trigger;
	std::vector<node> _nodes;
	std::vector<std::vector<std::size_t>> _zones;
	simulated_store _store;
	std::priority_queue<event, std::vector<event>, std::greater<>> _events;
	std::uint64_t _event_count = 0;
	instant _now{};
	instant _first_check{};
	std::mt19937_64 _random{ 7 };
	fleet_result _result;

	void _at(instant p_at, std::function<void()> p_act);
	double _get_unit();
	bool _is_in_turns() const { return _policy == read_policy::IN_TURNS; }

	void _start_trigger();
	void _end_trigger();
	void _assign_roles();
	void _assign_roles(const std::vector<std::size_t> &p_zone);
	void _start_running();
	void _start_unlinked();

	void _set_timer(node &r_node, duration p_wait);
	void _read_in(node &r_node, duration p_wait);
	void _check(node &r_node);
	duration _get_check_time(const node &p_node, const planned_read &p_read) const;
	duration _get_turn_wait(const node &p_node, bool p_is_whole) const;
	duration _get_read_interval(const node &p_node) const;
	void _read(node &r_node);
	void _load_snapshot(node &r_node);
	void _send_read(node &r_node, const planned_read &p_read);
	void _on_page(node &r_node, const planned_read &p_read);
	void _on_failed(node &r_node, std::uint64_t p_reading);
	void _on_answered(node &r_node, std::uint64_t p_reading, const simulated_answer &p_answer, bool p_is_whole);

	void _send_message(node &r_node, double p_bytes, std::function<void()> p_receive);
	void _publish(node &r_node, const delta &p_delta);
	void _apply(node &r_node, const delta &p_delta);
	void _compare(node &r_node, const delta &p_delta);
	void _need_list(node &r_node, bool p_is_missed_delta);
	void _on_list_read(node &r_node, bool p_is_whole);
	void _set_list_timer(node &r_node, duration p_wait);
	void _on_list_timer(node &r_node);
	void _ask_list(node &r_node);
	void _schedule_asking(node &r_node);
	void _on_list_asked(node &r_source, node &r_node);
	void _adopt(node &r_node, const delta &p_delta);

	void _set_state(node &r_node, instant p_state_at);
	void _record_age(node &r_node);

public:
	store_fleet(std::size_t p_nodes, read_policy p_policy, store_trigger p_trigger);

	/** Plays 30 s. */
	fleet_result play();
};

} // namespace calicoscale

#endif // STORE_FLEET_H
