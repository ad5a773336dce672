/*
 * calicoscale: rollout_table.h
 * State of all roll-outs at one node.
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

/** Change of a roll-out, for logs. */
struct rollout_change {
	enum class kind {
		ORDERED,
		WITHDRAWN,
		CONFIRMED, ///< The store holds the order's state, so the canary phase begins.
		MOVING, ///< The target's share begins to rise.
		COMPLETED,
		ROLLED_BACK,
		COUNT,
	};
	kind what = kind::ORDERED;
	std::string service;
	std::string target_version;
	version_verdict verdict;
};

/** Returns the name of a change, e.g. "moving". */
std::string_view get_name(rollout_change::kind p_kind);

/** Newest order of each service. The table reflects the operator's log up to a position, like the evacuations do. */
class rollout_table {
	rollout_bounds _bounds;
	std::map<std::string, rollout> _rollouts;
	std::map<std::string, rollout_order> _waiting_orders; ///< Newest orders of services that wait because of MAX_SERVICES.
	std::map<std::string, rollout_change::kind> _reported_kinds; ///< Last change of each service that take_changes() returned.
	std::map<std::string, log_position> _reported_orders; ///< Order that this change belongs to.
	std::map<std::string, std::vector<std::pair<std::string, std::string>>> _endpoints; ///< By service: name and version.
	log_position _known_position; ///< End of the part of the operator's log that was applied.

	bool _must_wait(const rollout_order &p_order) const;
	void _apply(const rollout_order &p_order, instant p_now);
	void _start_waiting_orders(instant p_now);
	rollout *_find(const std::string &p_service);

public:
	/** Maximum number of open orders; further ones wait until one is over. This limits the size of the counts in heartbeats. */
	static constexpr std::size_t MAX_SERVICES = 16;

	explicit rollout_table(const rollout_bounds &p_bounds) :
			_bounds(p_bounds) {}

	/** Applies consecutive records of the operator's log. */
	void apply_records(const std::vector<rollout_order> &p_orders, instant p_now);

	/** Applies a snapshot: the newest orders of all services as of a position. Orders that it lacks were withdrawn. */
	void apply_snapshot(const std::vector<rollout_order> &p_orders, const log_position &p_known, instant p_now);

	/** Applies updates of a peer. Returns whether any of them contains something new. */
	bool apply_update(const std::vector<rollout_update> &p_updates, instant p_now);

	/** Sets the endpoints that aren't leaving: pairs of name and version by service. */
	void set_endpoints(std::map<std::string, std::vector<std::pair<std::string, std::string>>> p_endpoints);

	/** Re-evaluates each roll-out. @param p_get_view returns the state of the fleet for a roll-out. */
	void consider(const std::function<rollout_view(const rollout &)> &p_get_view, instant p_now);

	/** Returns the roll-out of a service; nullptr if there never was one. */
	const rollout *find(const std::string &p_service) const;
	rollout *find(const std::string &p_service) { return _find(p_service); }

	bool is_empty() const { return _rollouts.empty(); }
	const std::map<std::string, rollout> &get_all() const { return _rollouts; }

	/** Returns this node's counts of open roll-outs by service. */
	rollout_reports get_reports(instant p_now) const;

	/** Returns the updates for peers, including the given reports. */
	std::vector<rollout_update> make_update(const rollout_reports &p_reports, instant p_now) const;

	/** Returns the changes since the last call. */
	std::vector<rollout_change> take_changes();
};

} // namespace calicoscale

#endif // ROLLOUT_TABLE_H
