/*
 * calicoscale: rollout_table.h
 * All roll-outs, as one node knows them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_TABLE_H
#define ROLLOUT_TABLE_H

#include "servers/rollout/rollout.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** A change of a roll-out that is to be logged. */
struct rollout_change {
	enum class kind {
		ORDERED,
		WITHDRAWN,
		CONFIRMED, ///< The store holds its state, so that the trial begins.
		MOVING, ///< The share begins to rise.
		COMPLETED,
		ROLLED_BACK,
		COUNT,
	};
	kind what = kind::ORDERED;
	std::string service;
	std::string target_version;
	version_verdict verdict;
};

/** Name of a change, e.g. "moving". */
std::string_view get_name(rollout_change::kind p_kind);

/** Keeps the newest order of each service. Orders are known as of a position in the operator's log, as evacuations are. */
class rollout_table {
	rollout_bounds _bounds;
	std::map<std::string, rollout> _rollouts;
	std::map<std::string, rollout_order> _waiting; ///< Newest orders of services for which there is no place yet.
	std::map<std::string, rollout_change::kind> _noted; ///< Last change of each order that was handed out.
	std::map<std::string, log_position> _noted_orders;
	std::map<std::string, std::vector<std::pair<std::string, std::string>>> _endpoints; ///< By service: name and version.
	log_position _known;

	bool _must_wait(const rollout_order &p_order) const;
	void _take(const rollout_order &p_order, instant p_now);
	void _begin_waiting(instant p_now);
	rollout *_find(const std::string &p_service);

public:
	/** Orders beyond these wait until one is over; bounds the counts in heartbeats. */
	static constexpr std::size_t MOST_SERVICES = 16;

	explicit rollout_table(const rollout_bounds &p_bounds) :
			_bounds(p_bounds) {}

	/** Takes records that follow each other in the operator's log. */
	void take_records(const std::vector<rollout_order> &p_orders, instant p_now);

	/** Takes a whole reading: the newest orders of all services as of a position. What it lacks was taken back. */
	void take_whole(const std::vector<rollout_order> &p_orders, const log_position &p_known, instant p_now);

	/** Takes what a peer told. Returns whether any of it is news. */
	bool take_told(const std::vector<told_rollout> &p_told, instant p_now);

	/** Takes the endpoints that stay, by service: name and version. */
	void set_endpoints(std::map<std::string, std::vector<std::pair<std::string, std::string>>> p_endpoints);

	/** Decides anew on each roll-out. @param p_get_view what is known for one of them. */
	void consider(const std::function<rollout_view(const rollout &)> &p_get_view, instant p_now);

	/** Roll-out of a service; nullptr when there never was one. */
	const rollout *find(const std::string &p_service) const;
	rollout *find(const std::string &p_service) { return _find(p_service); }

	bool is_empty() const { return _rollouts.empty(); }
	const std::map<std::string, rollout> &get_all() const { return _rollouts; }

	/** What this node counts, by service. */
	rollout_reports get_reports(instant p_now) const;

	/** What to tell peers, with the reports given. */
	std::vector<told_rollout> get_told(const rollout_reports &p_reports, instant p_now) const;

	/** Differences since the last call. */
	std::vector<rollout_change> take_changes();
};

} // namespace calicoscale

#endif // ROLLOUT_TABLE_H
