/*
 * calicoscale: rollout_fleet.h
 * Simulated fleet in virtual time that serves one service during a roll-out.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_FLEET_H
#define ROLLOUT_FLEET_H

#include "core/random_source.h"
#include "platform/rollout_codec.h"
#include "servers/rollout/open_run_counter.h"
#include "servers/rollout/rollout_table.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace calicoscale {

/** Behaviour of the target version's endpoints. */
struct version_traits {
	double bad_share = 0.0; ///< Share of answers that fail or are several times slower than typical.
	duration bad_after = duration::zero(); ///< Time after the order from which answers are bad.
	std::string bad_route; ///< Route with bad answers; empty for all.
	double bad_above = 0.0; ///< Requests per second at one endpoint from which its answers are bad.
	std::string bad_endpoint; ///< Endpoint with bad answers; empty for all.
};

/** Requests and answers counted at the endpoints. */
struct seen_load {
	std::size_t at_target = 0;
	std::size_t at_present = 0;
	std::size_t bad_at_target = 0;
	instant fiftieth_bad{}; ///< When the target gave its 50th bad answer.
	instant last_at_target{};
	std::size_t at_barred = 0; ///< Requests that reached a version after the sending node had blocked it.
};

/**
 * Simulated fleet. Nodes exchange their counts and decisions with the delay of some heartbeats; a disconnected node neither sends
 * nor receives. Nodes get different shares of the requests, and endpoints answer after a configurable time.
 */
class rollout_fleet {
	struct node {
		rollout_table table;
		open_run_counter runs;
		bool is_cut_off = false;
		bool is_running = true;
		duration clock_step = duration::zero(); ///< Error of the node's time of day.
		double weight = 1.0;
		explicit node(const rollout_bounds &p_bounds) :
				table(p_bounds) {}
	};

	struct open_request {
		std::size_t at = 0; ///< Index of the node.
		std::string endpoint;
		std::string version;
		std::string route;
		instant ends_at{};
	};

	struct fleet_update {
		instant at{};
		std::vector<rollout_update> updates;
		rollout_reports total;
		std::size_t live = 0;
	};

	std::vector<node> _nodes;
	std::optional<rollout_order> _order; ///< Newest order in the operator's log.
	std::vector<std::pair<std::string, std::string>> _endpoints;
	std::deque<open_request> _open;
	std::deque<fleet_update> _updates;
	random_source _random{ 7 };
	std::size_t _next_request = 0;
	instant _ordered_at{};
	std::map<std::string, std::deque<instant>> _arrivals;

public:
	static constexpr const char *SERVICE = "search";
	const rollout_bounds bounds;
	version_traits target;
	double baseline_bad_share = 0.01; ///< Share of bad answers of every version.
	double rate = 200.0; ///< Requests per second at all nodes together.
	duration answer_time = std::chrono::milliseconds(50);
	duration propagation_time = std::chrono::milliseconds(450); ///< Time that an update takes from one node through the hubs to all others.
	bool is_store_up = true;
	seen_load seen;
	instant now{ std::chrono::hours(1) };
	std::vector<rollout_state> written; ///< States in the order in which they were written to the store.
	std::optional<std::string> stored; ///< State record of the service in the store.
	std::size_t refused = 0; ///< Requests for which there was no endpoint.
	std::size_t unserved = 0; ///< Requests that arrived while no node was running.

	rollout_fleet(std::size_t p_nodes, std::size_t p_target_endpoints, std::size_t p_present_endpoints) {
		for (std::size_t i = 0; i < p_nodes; i++) {
			_nodes.emplace_back(bounds);
			_nodes.back().weight = i % 5 == 0 ? 6.0 : 1.0;
		}
		for (std::size_t i = 0; i < p_present_endpoints; i++) {
			_endpoints.emplace_back("old-" + std::to_string(i), "1");
		}
		for (std::size_t i = 0; i < p_target_endpoints; i++) {
			_endpoints.emplace_back("new-" + std::to_string(i), "2");
		}
	}

	rollout_order make_order(duration p_time, std::uint64_t p_offset = 5, const std::string &p_version = "2") const {
		return rollout_order{ SERVICE, p_version, p_time, log_position{ 0, p_offset }, false };
	}

	void order(const rollout_order &p_order) {
		_ordered_at = now;
		_order = p_order;
		for (node &entry : _nodes) {
			if (entry.is_running) {
				entry.table.apply_records({ p_order }, now);
				entry.table.set_endpoints({ { SERVICE, _endpoints } });
			}
		}
	}

	/** Kills a node; its state and open requests are lost. */
	void kill(std::size_t p_node) {
		node &killed = _nodes.at(p_node);
		killed.is_running = false;
		killed.table = rollout_table(bounds);
		killed.runs = open_run_counter();
		std::erase_if(_open, [p_node](const open_request &p_request) { return p_request.at == p_node; });
	}

	/** Starts a node without state; it reads the newest order. */
	void start(std::size_t p_node) {
		node &started = _nodes.at(p_node);
		started.is_running = true;
		if (_order) {
			started.table.apply_snapshot({ *_order }, log_position{ _order->at.era, _order->at.offset + 1 }, now);
			started.table.set_endpoints({ { SERVICE, _endpoints } });
		}
	}

	/** Kills all nodes. Resets the count of bad answers, as the time bound after the 50th one applies anew. */
	void kill_all() {
		for (std::size_t i = 0; i < _nodes.size(); i++) {
			kill(i);
		}
		_updates.clear();
		seen.bad_at_target = 0;
	}

	void start_all() {
		for (std::size_t i = 0; i < _nodes.size(); i++) {
			start(i);
		}
	}

	/** Kills all nodes and starts them again after a pause. */
	void restart_all(duration p_pause) {
		kill_all();
		run(p_pause);
		start_all();
	}

	void set_clock_step(std::size_t p_node, duration p_step) { _nodes.at(p_node).clock_step = p_step; }

	/** Replaces the order in the log, as if the log was restored from an older copy and the operator wrote the order again. */
	void order_again(const rollout_order &p_order) { _order = p_order; }

	/** Returns the stored state as the operator reads it; COUNT if there is none. */
	rollout_state get_stored_state() const {
		const std::optional<rollout_status> status = stored ? _read_status(_nodes.front()) : std::nullopt;
		return status ? status->state : rollout_state::COUNT;
	}

	void set_cut_off(std::size_t p_node, bool p_is_cut_off) { _nodes.at(p_node).is_cut_off = p_is_cut_off; }
	rollout &get(std::size_t p_node) { return *_nodes.at(p_node).table.find(SERVICE); }
	std::size_t size() const { return _nodes.size(); }

	/** Advances the virtual time by p_time in steps of 10 ms. */
	void run(duration p_time) {
		constexpr duration STEP = std::chrono::milliseconds(10);
		constexpr duration BEAT = std::chrono::milliseconds(200);
		double owed = 0.0;
		for (const instant until = now + p_time; now < until; now += STEP) {
			if ((now - instant{}) % BEAT < STEP) {
				_exchange();
			}
			_end_requests();
			const bool is_any_running = std::any_of(_nodes.begin(), _nodes.end(), [](const node &p_node) { return p_node.is_running; });
			for (owed += rate * to_seconds(STEP); owed >= 1.0; owed -= 1.0) {
				if (!is_any_running) {
					unserved++;
					continue;
				}
				_send(_pick_node());
			}
		}
	}

	bool is_all(rollout_state p_state) {
		for (std::size_t i = 0; i < _nodes.size(); i++) {
			if (_nodes.at(i).is_running && get(i).get_state() != p_state) {
				return false;
			}
		}
		return true;
	}

	/** Returns the maximum number of requests that a bad version may get. */
	double get_exposure_bound() const { return bounds.exposure_share * static_cast<double>(seen.at_target + seen.at_present) + 50.0; }

private:
	unix_milliseconds _get_wall(const node &p_node) const {
		constexpr unix_milliseconds START = 1800000000000;
		return START + std::chrono::duration_cast<std::chrono::milliseconds>(now - instant{} + p_node.clock_step).count();
	}

	std::optional<rollout_status> _read_status(const node &p_node) const {
		return find_rollout_status({ store_record{ get_rollout_status_key(SERVICE), stored, 0 } }, SERVICE, _get_wall(p_node));
	}

	std::size_t _pick_node() {
		while (true) {
			const std::size_t index = static_cast<std::size_t>(_random.get_unit() * static_cast<double>(_nodes.size()));
			if (_nodes.at(index).is_running && _random.get_unit() * 6.0 < _nodes.at(index).weight) {
				return index;
			}
		}
	}

	bool _is_bad(const std::string &p_endpoint, const std::string &p_version, const std::string &p_route) {
		if (_random.get_unit() < baseline_bad_share) {
			return true;
		}
		std::deque<instant> &arrivals = _arrivals[p_endpoint];
		arrivals.push_back(now);
		while (now - arrivals.front() > std::chrono::seconds(2)) {
			arrivals.pop_front();
		}
		const bool is_affected = p_version == "2" && now - _ordered_at >= target.bad_after && (target.bad_route.empty() || target.bad_route == p_route) && (target.bad_endpoint.empty() || target.bad_endpoint == p_endpoint);
		return is_affected && static_cast<double>(arrivals.size()) / 2.0 >= target.bad_above && _random.get_unit() < target.bad_share;
	}

	void _send(std::size_t p_node) {
		node &entry = _nodes.at(p_node);
		rollout &known = *entry.table.find(SERVICE);
		const std::string request = "r" + std::to_string(_next_request++);
		const std::string route = "route-" + std::to_string(_next_request % 4);
		const bool for_target = known.is_for_target(request, now);
		std::vector<const std::pair<std::string, std::string> *> usable;
		for (const auto &endpoint : _endpoints) {
			const version_role side = known.get_side(endpoint.second);
			const bool may_get = for_target ? side == version_role::TARGET && known.is_canary_endpoint(endpoint.first, now) : side == version_role::CURRENT;
			if (may_get) {
				usable.push_back(&endpoint);
			}
		}
		if (usable.empty()) {
			refused++;
			return;
		}
		const auto &chosen = *usable.at(static_cast<std::size_t>(_random.get_unit() * static_cast<double>(usable.size())));
		if (chosen.second == "2") {
			seen.at_target++;
			seen.last_at_target = now;
		} else {
			seen.at_present++;
			entry.runs.on_started(SERVICE, "1");
		}
		_open.push_back(open_request{ p_node, chosen.first, chosen.second, route, now + answer_time });
	}

	void _end_requests() {
		while (!_open.empty() && _open.front().ends_at <= now) {
			const open_request request = _open.front();
			_open.pop_front();
			rollout &known = get(request.at);
			const bool is_bad = _is_bad(request.endpoint, request.version, request.route);
			known.add_answer(request.endpoint, request.version, request.route, is_bad);
			if (request.version != "2") {
				_nodes.at(request.at).runs.on_ended(SERVICE, "1");
			} else if (is_bad && ++seen.bad_at_target == 50) {
				seen.fiftieth_bad = now;
			}
		}
	}

	void _exchange() {
		constexpr std::size_t HUBS = 3;
		fleet_update update;
		update.at = now;
		for (node &entry : _nodes) {
			if (!entry.is_running) {
				continue;
			}
			entry.table.find(SERVICE)->set_open_at_present(entry.runs.count_others(SERVICE, "2"));
			if (!entry.is_cut_off) {
				add_reports(update.total, entry.table.get_reports(now));
				const std::vector<rollout_update> updates = entry.table.make_update(update.live < HUBS ? entry.table.get_reports(now) : rollout_reports(), now);
				update.updates.insert(update.updates.end(), updates.begin(), updates.end());
				update.live++;
			}
		}
		_updates.push_back(std::move(update));
		while (_updates.size() > 1 && now - _updates.at(1).at >= propagation_time) {
			_updates.pop_front();
		}
		if (now - _updates.front().at < propagation_time) {
			return;
		}
		const fleet_update &received = _updates.front();
		for (node &entry : _nodes) {
			if (!entry.is_running) {
				continue;
			}
			if (!entry.is_cut_off) {
				entry.table.apply_update(received.updates, now);
			}
			entry.table.consider(
					[&received, &entry](const rollout &p_rollout) {
						const auto total = received.total.find(p_rollout.get_order().service);
						return rollout_view{ received.live, !entry.is_cut_off, duration::zero(), total == received.total.end() ? rollout_report() : total->second };
					},
					now);
		}
		_write();
	}

	/** Lets every connected node write its unwritten state; the first final state of an order wins. */
	void _write() {
		for (node &entry : _nodes) {
			if (!entry.is_running || entry.is_cut_off || !is_store_up) {
				continue;
			}
			rollout &known = *entry.table.find(SERVICE);
			std::optional<rollout_status> status = known.get_unwritten();
			if (!status) {
				continue;
			}
			const std::optional<rollout_status> read = stored ? _read_status(entry) : std::nullopt;
			const bool is_of_order = read && known.apply_status(*read, now);
			if (is_of_order && (read->state == status->state || read->state != rollout_state::IN_PROGRESS)) {
				continue;
			}
			status->age = known.get_age(now);
			stored = write_rollout_status(*status, _get_wall(entry));
			written.push_back(status->state);
			known.on_written(status->state);
		}
	}
};

} // namespace calicoscale

#endif // ROLLOUT_FLEET_H
