/*
 * calicoscale: rollout.h
 * One service's roll-out, as one node knows it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "servers/rollout/rollout_course.h"
#include "servers/rollout/rollout_order.h"
#include "servers/rollout/rollout_report.h"
#include "servers/rollout/version_record.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** What a node tells its peers of a roll-out. */
struct told_rollout {
	rollout_order order;
	duration age = duration::zero(); ///< Since the order was learnt by the first of the nodes it was told through.
	bool is_age_estimated = false; ///< It follows from times of day, which may be set, and no node has acted on it yet.
	rollout_state state = rollout_state::IN_PROGRESS;
	bool is_confirmed = false; ///< The store holds a state of this order, or held one.
	bool is_written = false; ///< The store holds this final state.
	bool is_moving = false; ///< The share has begun to rise.
	std::vector<std::string> barred; ///< Versions that get nothing.
	rollout_report report; ///< A sum, as the receiver's role asks for it.
	version_tally past; ///< Answers of closed windows; told with a report.
};

/** Which part of a service's work an endpoint may get. */
enum class version_side {
	PRESENT, ///< What is not for the target.
	TARGET, ///< What is for the target.
	BARRED, ///< Nothing.
};

/** What a node knows of its service and its fleet when it considers a roll-out. */
struct rollout_view {
	std::size_t live_nodes = 1;
	bool is_fresh = true; ///< The sum of the fleet was told or heard just now.
	duration quiet_time = duration::zero(); ///< What endpoints made is needed so long after they are done.
	rollout_report total;
};

/**
 * The course of one order at one node. Every node decides alike from what is told; nothing is agreed on. The first state that is
 * written to the store is final: a node that holds another one takes it over.
 */
class rollout {
	rollout_bounds _bounds;
	rollout_order _order;
	instant _learnt_at{};
	bool _is_age_estimated = false;
	rollout_state _state = rollout_state::IN_PROGRESS;
	bool _is_confirmed = false;
	bool _is_written = false;
	std::optional<instant> _moving_since;
	std::set<std::string> _barred;
	std::set<std::string> _versions; ///< Of the service's endpoints that stay.
	std::vector<std::string> _target_endpoints; ///< Of those that stay.
	std::size_t _present_endpoints = 0;
	bool _is_fresh = false;
	instant _quiet_since{}; ///< When nothing was at work any more at the present version, all nodes having moved.
	bool _is_quiet = false;
	version_verdict _verdict;
	version_windows _answers; ///< Of this node.
	version_record _record; ///< Of the fleet.
	std::uint32_t _open_at_present = 0;

	void _begin(const rollout_order &p_order, instant p_learnt_at);
	void _take_told_age(const told_rollout &p_told, instant p_now);
	void _take_stored_age(const rollout_status &p_status, instant p_now);
	void _set_state(rollout_state p_state);
	bool _is_ended() const { return _state != rollout_state::IN_PROGRESS || _order.is_withdrawn; }
	double _get_share(instant p_now) const;
	bool _is_moved(instant p_now) const { return _get_share(p_now) >= 1.0; }
	void _consider_moving(const rollout_view &p_view, instant p_now);
	void _consider_end(const rollout_view &p_view, instant p_now);

public:
	rollout(const rollout_bounds &p_bounds, const rollout_order &p_order, instant p_now);

	/** Takes what the operator wrote; older records change nothing. Returns whether it is news. */
	bool take_order(const rollout_order &p_order, instant p_now);

	/** Takes what a peer told. Returns whether it is news to tell on. */
	bool take_told(const told_rollout &p_told, instant p_now);

	/** Takes the state that the store holds. Returns whether it is of this order. */
	bool take_status(const rollout_status &p_status, instant p_now);

	/** The store was read and holds no state of this order. */
	void on_written(rollout_state p_state);

	/** Takes the service's endpoints that stay, by name and version. */
	void set_endpoints(const std::vector<std::pair<std::string, std::string>> &p_endpoints);

	/** Decides anew. To be called some times a second. */
	void consider(const rollout_view &p_view, instant p_now);

	version_side get_side(std::string_view p_version) const;

	/** Whether a request is for the target. */
	bool is_for_target(std::string_view p_request, instant p_now) const;

	/** Share of calls that are for the target, where they are not chosen by a request. */
	double get_share(instant p_now) const { return _is_ended() ? 0.0 : _get_share(p_now); }

	/** Whether an endpoint of the target may get what is for it. */
	bool is_on_trial(std::string_view p_endpoint, instant p_now) const;

	/** Whether nothing goes to the present version any more. */
	bool has_moved(instant p_now) const { return !_is_ended() && _is_moved(p_now); }

	/** Sets how much of this node's work is at endpoints of other versions. */
	void set_open_at_present(std::uint32_t p_count) { _open_at_present = p_count; }

	/** An endpoint answered. */
	void add_answer(std::string_view p_endpoint, std::string_view p_version, std::string_view p_route, bool p_is_bad);

	/** Answers of the fleet in windows that are closed, to be told with sums. */
	const version_tally &get_past() const { return _record.get_past(); }

	/** What this node counts. */
	rollout_report get_report(instant p_now) const;

	/** What to tell peers, without a report. */
	told_rollout get_told(instant p_now) const;

	/** The state to be written to the store; empty when the store holds it. */
	std::optional<rollout_status> get_unwritten() const;

	/** Since the order was learnt. */
	duration get_age(instant p_now) const { return p_now - _learnt_at; }

	const rollout_order &get_order() const { return _order; }
	rollout_state get_state() const { return _state; }
	bool is_confirmed() const { return _is_confirmed; }
	bool is_moving() const { return _moving_since.has_value(); }
	bool is_over() const { return _is_ended(); }

	/** What the answers said when they were last considered. */
	const version_verdict &get_verdict() const { return _verdict; }
};

} // namespace calicoscale

#endif // ROLLOUT_H
