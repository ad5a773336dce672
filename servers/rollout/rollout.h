/*
 * calicoscale: rollout.h
 * State of one service's roll-out at one node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "servers/rollout/rollout_order.h"
#include "servers/rollout/rollout_report.h"
#include "servers/rollout/rollout_schedule.h"
#include "servers/rollout/version_history.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Update on a roll-out that nodes send to their peers. */
struct rollout_update {
	rollout_order order;
	duration age = duration::zero(); ///< Time since the first node on the update's path learned of the order.
	bool is_age_estimated = false; ///< The age was computed from times of day, which may be set, and no node has acted on it yet.
	rollout_state state = rollout_state::IN_PROGRESS;
	bool is_confirmed = false; ///< The store holds or held a state of this order.
	bool is_written = false; ///< The store holds this state, which is final.
	bool is_moving = false; ///< The target's share has begun to rise.
	std::vector<std::string> barred; ///< Blocked versions, which get no work.
	rollout_report report; ///< Sum of reports, over the nodes that the receiver's role requires.
	version_tally past; ///< Answers of closed windows; sent with a report.
};

/** Role of a version in a roll-out: which share of a service's work its endpoints may get. */
enum class version_role {
	CURRENT, ///< A current version: gets the work that isn't selected for the target.
	TARGET, ///< The ordered version: gets the work that is selected for it.
	BLOCKED, ///< A blocked version: gets no work.
};

/** State of the fleet and the service on which a node bases its decisions about a roll-out. */
struct rollout_view {
	std::size_t live_nodes = 1;
	bool is_fresh = true; ///< The sum over the fleet is current.
	duration quiet_time = duration::zero(); ///< Time for which results are still needed at their endpoints after they were produced.
	rollout_report total; ///< Sum over the fleet.
};

/**
 * Progress of one order at one node. There is no agreement protocol: each node decides by the same rules from the data that
 * the nodes exchange. The first final state that is written to the store wins: a node with another one adopts it.
 */
class rollout {
	rollout_bounds _bounds;
	rollout_order _order;
	instant _learned_at{};
	bool _is_age_estimated = false;
	rollout_state _state = rollout_state::IN_PROGRESS;
	bool _is_confirmed = false;
	bool _is_written = false;
	std::optional<instant> _moving_since;
	std::set<std::string> _blocked_versions;
	std::set<std::string> _versions; ///< Versions of the service's endpoints that aren't leaving.
	std::vector<std::string> _target_endpoints; ///< Names of the target's endpoints that aren't leaving.
	std::size_t _current_endpoint_count = 0;
	bool _is_fresh = false;
	instant _quiet_since{}; ///< Time since which no request or call is open at the current version and all nodes send to the target only.
	bool _is_quiet = false;
	version_verdict _verdict;
	version_windows _answers; ///< Counted by this node.
	version_history _record; ///< Counted by the fleet.
	std::uint32_t _open_at_present = 0;

	void _begin(const rollout_order &p_order, instant p_learned_at);
	void _apply_reported_age(const rollout_update &p_update, instant p_now);
	void _apply_stored_age(const rollout_status &p_status, instant p_now);
	void _set_state(rollout_state p_state);
	bool _is_ended() const { return _state != rollout_state::IN_PROGRESS || _order.is_withdrawn; }
	double _get_share(instant p_now) const;
	bool _is_moved(instant p_now) const { return _get_share(p_now) >= 1.0; }
	void _consider_moving(const rollout_view &p_view, instant p_now);
	void _consider_end(const rollout_view &p_view, instant p_now);

public:
	rollout(const rollout_bounds &p_bounds, const rollout_order &p_order, instant p_now);

	/** Applies an order of the operator; an older one is ignored. Returns whether it is new. */
	bool apply_order(const rollout_order &p_order, instant p_now);

	/** Applies an update of a peer. Returns whether it contains anything new that has to be forwarded. */
	bool apply_update(const rollout_update &p_update, instant p_now);

	/** Applies the state that was read from the store. Returns whether it belongs to this order. */
	bool apply_status(const rollout_status &p_status, instant p_now);

	/** Records that this node has written a state of this order to the store. */
	void on_written(rollout_state p_state);

	/** Sets the service's endpoints that aren't leaving, as pairs of name and version. */
	void set_endpoints(const std::vector<std::pair<std::string, std::string>> &p_endpoints);

	/** Re-evaluates the roll-out. Must be called several times per second. */
	void consider(const rollout_view &p_view, instant p_now);

	version_role get_side(std::string_view p_version) const;

	/** Returns whether a request is selected for the target. */
	bool is_for_target(std::string_view p_request, instant p_now) const;

	/** Returns the share of calls for the target, for calls that aren't selected by a request. */
	double get_share(instant p_now) const { return _is_ended() ? 0.0 : _get_share(p_now); }

	/** Returns whether an endpoint of the target may get work. During the canary phase only some of them may. */
	bool is_canary_endpoint(std::string_view p_endpoint, instant p_now) const;

	/** Returns whether this node sends nothing to the current version any more. */
	bool has_moved(instant p_now) const { return !_is_ended() && _is_moved(p_now); }

	/** Sets the number of open requests and calls of this node at endpoints of versions other than the target. */
	void set_open_at_present(std::uint32_t p_count) { _open_at_present = p_count; }

	/** Counts an answer of an endpoint. */
	void add_answer(std::string_view p_endpoint, std::string_view p_version, std::string_view p_route, bool p_is_bad);

	/** Returns the fleet's answers in closed windows, which are sent along with sums. */
	const version_tally &get_past() const { return _record.get_past(); }

	/** Returns the counts of this node. */
	rollout_report get_report(instant p_now) const;

	/** Returns the update for peers, without a report. */
	rollout_update make_update(instant p_now) const;

	/** Returns the state that has to be written to the store; empty if the store holds it. */
	std::optional<rollout_status> get_unwritten() const;

	/** Returns the time since the order was learned. */
	duration get_age(instant p_now) const { return p_now - _learned_at; }

	const rollout_order &get_order() const { return _order; }
	rollout_state get_state() const { return _state; }
	bool is_confirmed() const { return _is_confirmed; }
	bool is_moving() const { return _moving_since.has_value(); }
	bool is_over() const { return _is_ended(); }

	/** Returns the verdict of the last consider(). */
	const version_verdict &get_verdict() const { return _verdict; }
};

} // namespace calicoscale

#endif // ROLLOUT_H
